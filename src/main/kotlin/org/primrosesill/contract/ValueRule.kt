/*
 * Validation rules for JSON values. A tree of rules describes a document. Validation collects all errors in one pass,
 * while deserialization would stop at the first.
 */
package org.primrosesill.contract

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** Limits on the errors of one refused document, because routers store them and send them to peers. */
private const val MAXIMUM_ERRORS = 100
private const val MAXIMUM_FOUND_LENGTH = 60

/** Collects the errors of one document, up to [MAXIMUM_ERRORS]. */
internal class ErrorCollector {
    private val collected = ArrayList<DocumentError>()
    val errors: List<DocumentError> get() = collected

    fun add(error: DocumentError) {
        if (collected.size < MAXIMUM_ERRORS) collected += error
    }
}

/** A validation rule for a JSON value. */
internal sealed interface ValueRule {
    /** Description of the allowed values for error messages. */
    val allowed: String

    fun validate(value: JsonElement, pointer: String, errors: ErrorCollector)
}

internal class NumberRule(private val bounds: ClosedFloatingPointRange<Double>) : ValueRule {
    override val allowed = "a number from ${bounds.start} to ${bounds.endInclusive}"

    override fun validate(value: JsonElement, pointer: String, errors: ErrorCollector) {
        val number = numberLiteral(value)?.toDoubleOrNull()
        when {
            number == null -> errors.add(DocumentError.WrongType(pointer, describe(value), allowed))
            number !in bounds -> errors.add(DocumentError.OutOfBounds(pointer, describe(value), allowed))
        }
    }
}

internal class IntegerRule(private val bounds: LongRange) : ValueRule {
    override val allowed = "a whole number from ${bounds.first} to ${bounds.last}"

    override fun validate(value: JsonElement, pointer: String, errors: ErrorCollector) {
        val number = numberLiteral(value)?.toLongOrNull()
        when {
            number == null -> errors.add(DocumentError.WrongType(pointer, describe(value), allowed))
            number !in bounds -> errors.add(DocumentError.OutOfBounds(pointer, describe(value), allowed))
        }
    }
}

/** @property secret whether the value may be a credential entered by mistake, so that errors contain only its length */
internal class StringRule(
    override val allowed: String,
    private val pattern: Regex,
    private val secret: Boolean = false,
) : ValueRule {
    override fun validate(value: JsonElement, pointer: String, errors: ErrorCollector) {
        val text = (value as? JsonPrimitive)?.takeIf { it.isString }?.content
        if (text == null) {
            errors.add(DocumentError.WrongType(pointer, describe(value), allowed))
        } else if (!pattern.matches(text)) {
            val found = if (secret) "a string of ${text.length} characters" else describe(value)
            errors.add(DocumentError.OutOfBounds(pointer, found, allowed))
        }
    }
}

internal data object FlagRule : ValueRule {
    override val allowed = "true or false"

    override fun validate(value: JsonElement, pointer: String, errors: ErrorCollector) {
        if (value !is JsonPrimitive || value.isString || value.content !in setOf("true", "false")) {
            errors.add(DocumentError.WrongType(pointer, describe(value), allowed))
        }
    }
}

/** @property identity returns the key by which duplicate entries are detected, or null if the entry has none */
internal class ListRule(
    private val elementRule: ValueRule,
    private val sizeRange: IntRange,
    private val identity: (JsonElement) -> JsonElement? = { it },
) : ValueRule {
    override val allowed = "a list of ${sizeRange.first} to ${sizeRange.last} entries"

    override fun validate(value: JsonElement, pointer: String, errors: ErrorCollector) {
        if (value !is JsonArray) {
            errors.add(DocumentError.WrongType(pointer, describe(value), allowed))
            return
        }
        if (value.size !in sizeRange) errors.add(DocumentError.OutOfBounds(pointer, "${value.size} entries", allowed))
        val seen = HashSet<JsonElement>()
        value.take(sizeRange.last).forEachIndexed { index, element ->
            elementRule.validate(element, "$pointer/$index", errors)
            val key = identity(element)
            if (key != null && !seen.add(key)) {
                errors.add(DocumentError.Duplicate("$pointer/$index", "a repeated entry"))
            }
        }
    }
}

/** A field of an [ObjectRule] with the rule for its value. */
internal class Field(val name: String, val rule: ValueRule, val required: Boolean = false)

internal class ObjectRule(private vararg val fields: Field) : ValueRule {
    private val rules = fields.associateBy { it.name }
    override val allowed = "an object with ${fields.joinToString { it.name }}"

    override fun validate(value: JsonElement, pointer: String, errors: ErrorCollector) {
        if (value !is JsonObject) {
            errors.add(DocumentError.WrongType(pointer, describe(value), allowed))
            return
        }
        for (field in fields) {
            if (field.required && field.name !in value) {
                errors.add(DocumentError.MissingField("$pointer/${field.name}", field.rule.allowed))
            }
        }
        for ((name, element) in value) {
            val rule = rules[name]?.rule
            val fieldPointer = "$pointer/${name.take(MAXIMUM_FOUND_LENGTH).replace("~", "~0").replace("/", "~1")}"
            if (rule == null) {
                errors.add(
                    DocumentError.UnknownField(
                        fieldPointer,
                        "an unknown field",
                        "the fields ${rules.keys.joinToString()}",
                    ),
                )
            } else {
                rule.validate(element, fieldPointer, errors)
            }
        }
    }
}

private fun numberLiteral(value: JsonElement): String? =
    (value as? JsonPrimitive)?.takeIf { !it.isString && it !is JsonNull }?.content

private fun describe(value: JsonElement): String =
    when (value) {
        is JsonObject -> "an object"
        is JsonArray -> "a list"
        else -> value.toString().take(MAXIMUM_FOUND_LENGTH)
    }
