/*
 * Reads JSON of the platform field by field. Fields may be missing or of another type, and then say where and what was
 * found instead.
 */
package org.primrosesill.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.Raise
import arrow.core.raise.either
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull
import org.primrosesill.model.firstLine

/** A field that cannot be used: where it stands, what was found, and what is allowed. */
internal data class WireError(val place: String, val found: String, val allowed: String) {
    override fun toString(): String = "$place: found $found, allowed is $allowed"
}

/** One JSON object and where it stands in its message. */
internal class WireObject(
    private val raise: Raise<WireError>,
    private val json: JsonObject,
    private val place: String,
) {
    fun text(name: String): String = optionalText(name) ?: missing(name, "text")

    fun optionalText(name: String): String? =
        read(name, "text") { value -> (value as? JsonPrimitive)?.takeIf { it.isString }?.content }

    fun integer(name: String): Long = optionalInteger(name) ?: missing(name, "a whole number")

    fun optionalInteger(name: String): Long? =
        read(name, "a whole number") { value -> (value as? JsonPrimitive)?.takeIf { !it.isString }?.longOrNull }

    fun number(name: String): Double =
        read(name, "a number") { value ->
            (value as? JsonPrimitive)?.takeIf { !it.isString }?.doubleOrNull?.takeIf { it.isFinite() }
        } ?: missing(name, "a number")

    fun flag(name: String): Boolean = optionalFlag(name) ?: missing(name, "true or false")

    fun optionalFlag(name: String): Boolean? =
        read(name, "true or false") { value -> (value as? JsonPrimitive)?.takeIf { !it.isString }?.booleanOrNull }

    fun objects(name: String): List<WireObject> = optionalObjects(name) ?: missing(name, "a list of objects")

    fun optionalObjects(name: String): List<WireObject>? {
        val list = read(name, "a list of objects") { it as? JsonArray } ?: return null
        return list.mapIndexed { index, entry ->
            val path = "$place.$name[$index]"
            if (entry is JsonObject) WireObject(raise, entry, path) else raise.raise(wrong(path, entry, "an object"))
        }
    }

    fun optionalObject(name: String): WireObject? =
        read(name, "an object") { it as? JsonObject }?.let { WireObject(raise, it, "$place.$name") }

    fun objectOf(name: String): WireObject = optionalObject(name) ?: missing(name, "an object")

    fun texts(name: String): List<String> =
        read(name, "a list of texts") { value ->
            val entries =
                (value as? JsonArray)?.map {
                    (it as? JsonPrimitive)
                        ?.takeIf { text ->
                            text.isString
                        }?.content
                }
            entries?.filterNotNull()?.takeIf { it.size == entries.size }
        } ?: missing(name, "a list of texts")

    /** A list of lists, whose entries are given as texts. */
    fun rows(name: String): List<List<String>> =
        read(name, "a list of rows") { value ->
            val rows =
                (value as? JsonArray)?.map { row ->
                    (row as? JsonArray)?.map { (it as? JsonPrimitive)?.content.orEmpty() }
                }
            rows?.filterNotNull()?.takeIf { it.size == rows.size }
        } ?: missing(name, "a list of rows")

    /** Ends the reading with an error at the field [name]. */
    fun refuse(name: String, found: Any, allowed: String): Nothing =
        raise.raise(WireError("$place.$name", found.toString(), allowed))

    private fun <T : Any> read(name: String, allowed: String, convert: (JsonElement) -> T?): T? {
        val value = json[name]?.takeIf { it !is JsonNull } ?: return null
        return convert(value) ?: raise.raise(wrong("$place.$name", value, allowed))
    }

    private fun missing(name: String, allowed: String): Nothing =
        raise.raise(WireError("$place.$name", "nothing", allowed))

    private fun wrong(path: String, value: JsonElement, allowed: String) =
        WireError(path, value.toString().take(MAXIMUM_FOUND_LENGTH), allowed)

    private companion object {
        const val MAXIMUM_FOUND_LENGTH = 60
    }
}

/** Reads [text] as one JSON object named [place] in errors, and returns what [read] makes of it. */
internal fun <T> readWireObject(text: String, place: String, read: (WireObject) -> T): Either<WireError, T> {
    val json =
        try {
            Json.parseToJsonElement(text)
        } catch (exception: SerializationException) {
            val line = exception.firstLine()
            return WireError(place, "text that is not JSON ($line)", "a JSON object").left()
        }
    if (json !is JsonObject) return WireError(place, "another JSON value", "a JSON object").left()
    return either { read(WireObject(this, json, place)) }
}
