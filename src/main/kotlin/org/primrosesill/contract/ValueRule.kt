/*
 * Rules for JSON values. A document is described by a tree of rules, and checking it collects every fault at once,
 * where deserialization would stop at the first.
 */
package org.primrosesill.contract

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** Bounds what is kept of one refused document, because routers hold and pass on its errors. */
private const val MAXIMUM_ERRORS = 100
private const val MAXIMUM_FOUND_LENGTH = 60

/** Collects the faults of one document. */
internal class ErrorList {
    private val collected = ArrayList<DocumentError>()
    val errors: List<DocumentError> get() = collected

    fun add(error: DocumentError) {
        if (collected.size < MAXIMUM_ERRORS) collected += error
    }
}

/** What a JSON value must look like. */
internal sealed interface ValueRule {
    /** Says in words what is allowed. */
    val allowed: String

    fun check(value: JsonElement, pointer: String, errors: ErrorList)
}

internal class NumberRule(private val bounds: ClosedFloatingPointRange<Double>) : ValueRule {
    override val allowed = "a number from ${bounds.start} to ${bounds.endInclusive}"

    override fun check(value: JsonElement, pointer: String, errors: ErrorList) {
        val number = numberText(value)?.toDoubleOrNull()
        when {
            number == null -> errors.add(DocumentError.WrongType(pointer, shown(value), allowed))
            number !in bounds -> errors.add(DocumentError.OutOfBounds(pointer, shown(value), allowed))
        }
    }
}

internal class WholeNumberRule(private val bounds: LongRange) : ValueRule {
    override val allowed = "a whole number from ${bounds.first} to ${bounds.last}"

    override fun check(value: JsonElement, pointer: String, errors: ErrorList) {
        val number = numberText(value)?.toLongOrNull()
        when {
            number == null -> errors.add(DocumentError.WrongType(pointer, shown(value), allowed))
            number !in bounds -> errors.add(DocumentError.OutOfBounds(pointer, shown(value), allowed))
        }
    }
}

/** @property secret the value may be a credential that was pasted by mistake, so only its length is reported */
internal class TextRule(
    override val allowed: String,
    private val pattern: Regex,
    private val secret: Boolean = false,
) : ValueRule {
    override fun check(value: JsonElement, pointer: String, errors: ErrorList) {
        val text = (value as? JsonPrimitive)?.takeIf { it.isString }?.content
        if (text == null) {
            errors.add(DocumentError.WrongType(pointer, shown(value), allowed))
        } else if (!pattern.matches(text)) {
            val found = if (secret) "a text of ${text.length} characters" else shown(value)
            errors.add(DocumentError.OutOfBounds(pointer, found, allowed))
        }
    }
}

internal data object FlagRule : ValueRule {
    override val allowed = "true or false"

    override fun check(value: JsonElement, pointer: String, errors: ErrorList) {
        if (value !is JsonPrimitive || value.isString || value.content !in setOf("true", "false")) {
            errors.add(DocumentError.WrongType(pointer, shown(value), allowed))
        }
    }
}

/** @property identity what makes an entry a duplicate of another, or null when it has none */
internal class ListRule(
    private val entry: ValueRule,
    private val sizes: IntRange,
    private val identity: (JsonElement) -> JsonElement? = { it },
) : ValueRule {
    override val allowed = "a list of ${sizes.first} to ${sizes.last} entries"

    override fun check(value: JsonElement, pointer: String, errors: ErrorList) {
        if (value !is JsonArray) {
            errors.add(DocumentError.WrongType(pointer, shown(value), allowed))
            return
        }
        if (value.size !in sizes) errors.add(DocumentError.OutOfBounds(pointer, "${value.size} entries", allowed))
        val seen = HashSet<JsonElement>()
        value.take(sizes.last).forEachIndexed { index, element ->
            entry.check(element, "$pointer/$index", errors)
            val key = identity(element)
            if (key != null &&
                !seen.add(key)
            ) {
                errors.add(DocumentError.Duplicate("$pointer/$index", "a repeated entry"))
            }
        }
    }
}

/** A field of an [ObjectRule]. */
internal class Field(val name: String, val rule: ValueRule, val required: Boolean = false)

internal class ObjectRule(private vararg val fields: Field) : ValueRule {
    private val rules = fields.associateBy { it.name }
    override val allowed = "an object with ${fields.joinToString { it.name }}"

    override fun check(value: JsonElement, pointer: String, errors: ErrorList) {
        if (value !is JsonObject) {
            errors.add(DocumentError.WrongType(pointer, shown(value), allowed))
            return
        }
        for (field in fields) {
            if (field.required && field.name !in value) {
                errors.add(DocumentError.MissingField("$pointer/${field.name}", field.rule.allowed))
            }
        }
        for ((name, element) in value) {
            val rule = rules[name]?.rule
            val place = "$pointer/${name.take(MAXIMUM_FOUND_LENGTH).replace("~", "~0").replace("/", "~1")}"
            if (rule == null) {
                errors.add(
                    DocumentError.UnknownField(place, "an unknown field", "the fields ${rules.keys.joinToString()}"),
                )
            } else {
                rule.check(element, place, errors)
            }
        }
    }
}

private fun numberText(value: JsonElement): String? =
    (value as? JsonPrimitive)?.takeIf { !it.isString && it !is JsonNull }?.content

private fun shown(value: JsonElement): String =
    when (value) {
        is JsonObject -> "an object"
        is JsonArray -> "a list"
        else -> value.toString().take(MAXIMUM_FOUND_LENGTH)
    }
