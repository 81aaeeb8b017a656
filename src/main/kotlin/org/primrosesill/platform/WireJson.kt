/*
 * Typed access to the fields of the platform's JSON messages. An error for a missing field or one of another type
 * contains the path of the field and the value found.
 */
package org.primrosesill.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.right
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

/** An invalid field: its path, the value found, and a description of the expected value. */
internal data class WireError(val path: String, val found: String, val expected: String) {
    override fun toString(): String = "$path: found $found, expected $expected"
}

/** A JSON object and its path in the message. */
internal class WireObject(
    private val raise: Raise<WireError>,
    private val json: JsonObject,
    private val path: String,
) {
    fun string(name: String): String = optionalString(name) ?: missingField(name, "a string")

    fun optionalString(name: String): String? =
        field(name, "a string") { value -> (value as? JsonPrimitive)?.takeIf { it.isString }?.content }

    fun integer(name: String): Long = optionalInteger(name) ?: missingField(name, "an integer")

    fun optionalInteger(name: String): Long? =
        field(name, "an integer") { value -> (value as? JsonPrimitive)?.takeIf { !it.isString }?.longOrNull }

    /** Returns an integer in [range], or aborts the decoding. */
    fun integerIn(name: String, range: LongRange): Long = inRange(name, integer(name), range)

    fun optionalIntegerIn(name: String, range: LongRange): Long? =
        optionalInteger(name)?.let { inRange(name, it, range) }

    private fun inRange(name: String, value: Long, range: LongRange): Long =
        if (value in range) value else fail(name, value, "an integer from ${range.first} to ${range.last}")

    fun number(name: String): Double =
        field(name, "a number") { value ->
            (value as? JsonPrimitive)?.takeIf { !it.isString }?.doubleOrNull?.takeIf { it.isFinite() }
        } ?: missingField(name, "a number")

    fun boolean(name: String): Boolean = optionalBoolean(name) ?: missingField(name, "a boolean")

    fun optionalBoolean(name: String): Boolean? =
        field(name, "a boolean") { value -> (value as? JsonPrimitive)?.takeIf { !it.isString }?.booleanOrNull }

    fun objects(name: String): List<WireObject> = optionalObjects(name) ?: missingField(name, "an array of objects")

    fun optionalObjects(name: String): List<WireObject>? {
        val list = field(name, "an array of objects") { it as? JsonArray } ?: return null
        return list.mapIndexed { index, item ->
            val path = "${this.path}.$name[$index]"
            if (item is JsonObject) WireObject(raise, item, path) else raise.raise(invalid(path, item, "an object"))
        }
    }

    fun optionalObject(name: String): WireObject? =
        field(name, "an object") { it as? JsonObject }?.let { WireObject(raise, it, "$path.$name") }

    fun requiredObject(name: String): WireObject = optionalObject(name) ?: missingField(name, "an object")

    fun strings(name: String): List<String> =
        field(name, "an array of strings") { value ->
            val entries =
                (value as? JsonArray)?.map {
                    (it as? JsonPrimitive)
                        ?.takeIf { primitive ->
                            primitive.isString
                        }?.content
                }
            entries?.filterNotNull()?.takeIf { it.size == entries.size }
        } ?: missingField(name, "an array of strings")

    /** Returns an array of arrays, with their entries as strings. */
    fun rows(name: String): List<List<String>> =
        field(name, "an array of arrays") { value ->
            val rows =
                (value as? JsonArray)?.map { row ->
                    (row as? JsonArray)?.map { (it as? JsonPrimitive)?.content.orEmpty() }
                }
            rows?.filterNotNull()?.takeIf { it.size == rows.size }
        } ?: missingField(name, "an array of arrays")

    /** Parses [text], the JSON object at [path] of the message, which is not part of this object. */
    fun parse(text: String, path: String): WireObject =
        parseObject(text, path).fold({ raise.raise(it) }, { WireObject(raise, it, path) })

    /** Aborts the decoding with an error for the field [name]. */
    fun fail(name: String, found: Any, expected: String): Nothing =
        raise.raise(WireError("$path.$name", found.toString().take(MAXIMUM_FOUND_LENGTH), expected))

    private fun <T : Any> field(name: String, expected: String, convert: (JsonElement) -> T?): T? {
        val value = json[name]?.takeIf { it !is JsonNull } ?: return null
        return convert(value) ?: raise.raise(invalid("$path.$name", value, expected))
    }

    private fun missingField(name: String, expected: String): Nothing =
        raise.raise(WireError("$path.$name", "nothing", expected))

    private fun invalid(path: String, value: JsonElement, expected: String) =
        WireError(path, value.toString().take(MAXIMUM_FOUND_LENGTH), expected)
}

/** Number of characters of a field that an error quotes. */
private const val MAXIMUM_FOUND_LENGTH = 60

/** Number of characters of a description that may quote the text in which the error was found. */
private const val MAXIMUM_PARSE_ERROR_LENGTH = 200

/** Far more than any message has. Functions that descend into a value recursively need stack for each level. */
private const val MAXIMUM_NESTING_DEPTH = 64

/** Returns the largest number of arrays and objects that are open at once in the JSON [text]. */
private fun nestingDepth(text: String): Int {
    var depth = 0
    var deepest = 0
    var inString = false
    var escaped = false
    for (character in text) {
        when {
            escaped -> escaped = false
            inString && character == '\\' -> escaped = true
            character == '"' -> inString = !inString
            inString -> Unit
            character == '[' || character == '{' -> deepest = maxOf(deepest, ++depth)
            character == ']' || character == '}' -> depth--
        }
    }
    return deepest
}

/** Parses [text] as a JSON object, called [name] in errors, and returns the result of [decode]. */
internal fun <T> readWireObject(text: String, name: String, decode: (WireObject) -> T): Either<WireError, T> =
    either { decode(WireObject(this, parseObject(text, name).bind(), name)) }

private fun parseObject(text: String, name: String): Either<WireError, JsonObject> {
    if (nestingDepth(text) > MAXIMUM_NESTING_DEPTH) {
        return WireError(name, "deeply nested JSON", "at most $MAXIMUM_NESTING_DEPTH levels").left()
    }
    val json =
        try {
            Json.parseToJsonElement(text)
        } catch (exception: SerializationException) {
            val line = exception.firstLine().take(MAXIMUM_PARSE_ERROR_LENGTH)
            return WireError(name, "text that is not JSON ($line)", "a JSON object").left()
        }
    return (json as? JsonObject)?.right() ?: WireError(name, "another JSON value", "a JSON object").left()
}
