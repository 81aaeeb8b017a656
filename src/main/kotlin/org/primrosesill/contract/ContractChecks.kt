/*
 * Checks a contract before it comes into force. The verdict depends on the document alone, so that every router that
 * sees the same revision comes to the same one, in whatever order documents arrive.
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

/** Checks contracts. */
public object ContractChecks {
    /** Returns the contract of [body], or every fault in it. */
    public fun check(body: JsonObject): Either<NonEmptyList<DocumentError>, Contract> =
        decode(body, contractRule, Contract.serializer()) { contract, errors ->
            // A key that expires while its first request still runs could run a second time.
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

    /** Checks [body] as the contract of [customer], whose name is part of the document's name. */
    public fun check(body: JsonObject, customer: CustomerId): Either<NonEmptyList<DocumentError>, Contract> =
        when (val checked = check(body)) {
            is Either.Left -> checked
            is Either.Right ->
                if (checked.value.customer == customer) {
                    checked
                } else {
                    val found = "'${checked.value.customer}'"
                    nonEmptyListOf(
                        DocumentError.Contradiction("/customer", found, "'$customer', as in the name"),
                    ).left()
                }
        }
}

/** Applies [rule] to [body], decodes it when it holds, and then applies [relations] between its fields. */
internal fun <T : Any> decode(
    body: JsonObject,
    rule: ObjectRule,
    deserializer: DeserializationStrategy<T>,
    relations: (T, ErrorList) -> Unit,
): Either<NonEmptyList<DocumentError>, T> {
    val found = ErrorList()
    rule.check(body, "", found)
    found.errors.toNonEmptyListOrNull()?.let { return it.left() }
    val decoded =
        try {
            Json.decodeFromJsonElement(deserializer, body)
        } catch (exception: SerializationException) {
            val message = exception.firstLine()
            return nonEmptyListOf(DocumentError.WrongType("", message, rule.allowed)).left()
        }
    relations(decoded, found)
    return found.errors.toNonEmptyListOrNull()?.left() ?: decoded.right()
}
