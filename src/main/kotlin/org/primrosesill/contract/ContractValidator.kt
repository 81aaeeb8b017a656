/*
 * Validates a contract before it comes into force. The result depends on the document alone, so that every router
 * reaches the same result for the same revision, whatever the order in which documents arrive.
 */
package org.primrosesill.contract

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.nonEmptyListOf
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import org.primrosesill.generated.Contract
import org.primrosesill.model.CustomerId
import org.primrosesill.model.firstLine

/** Validates contracts. */
public object ContractValidator {
    /** Returns the contract in [body], or all errors in it. */
    public fun validate(body: JsonObject): Either<NonEmptyList<DocumentError>, Contract> =
        validateAndDecode(body, contractRule, Contract.serializer()) { contract, errors ->
            // A request whose key expires while the first attempt still runs could be executed a second time.
            if (contract.keyRetentionMillis < contract.serviceDeadlineMillis) {
                errors.add(
                    DocumentError.Contradiction(
                        "/keyRetentionMillis",
                        contract.keyRetentionMillis.toString(),
                        "at least serviceDeadlineMillis (${contract.serviceDeadlineMillis})",
                    ),
                )
            }
        }

    /** Validates [body] as the contract of [customer], whose id is part of the document name. */
    public fun validate(body: JsonObject, customer: CustomerId): Either<NonEmptyList<DocumentError>, Contract> =
        when (val result = validate(body)) {
            is Either.Left -> result
            is Either.Right ->
                if (result.value.customer == customer) {
                    result
                } else {
                    val found = "'${result.value.customer}'"
                    nonEmptyListOf(
                        DocumentError.Contradiction("/customer", found, "'$customer', as in the document name"),
                    ).left()
                }
        }
}

/** Validates [body] against [rule], decodes it if it is valid, and then applies [crossFieldChecks]. */
internal fun <T : Any> validateAndDecode(
    body: JsonObject,
    rule: ObjectRule,
    deserializer: DeserializationStrategy<T>,
    crossFieldChecks: (T, ErrorCollector) -> Unit,
): Either<NonEmptyList<DocumentError>, T> {
    val found = ErrorCollector()
    rule.validate(body, "", found)
    found.errors.toNonEmptyListOrNull()?.let { return it.left() }
    val decoded =
        try {
            Json.decodeFromJsonElement(deserializer, body)
        } catch (exception: SerializationException) {
            val message = exception.firstLine()
            return nonEmptyListOf(DocumentError.WrongType("", message, rule.allowed)).left()
        }
    crossFieldChecks(decoded, found)
    return found.errors.toNonEmptyListOrNull()?.left() ?: decoded.right()
}
