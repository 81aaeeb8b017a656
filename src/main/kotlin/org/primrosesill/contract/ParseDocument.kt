/*
 * Parsing of documents before their fields are validated.
 */
package org.primrosesill.contract

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import org.primrosesill.model.firstLine

/** Parses one JSON object. Errors contain [allowed] as the description of the expected value. */
internal fun parseDocument(text: String, allowed: String = "a JSON object"): Either<DocumentError, JsonObject> =
    try {
        val element = Json.parseToJsonElement(text)
        (element as? JsonObject)?.right() ?: DocumentError.WrongType("", "another JSON value", allowed).left()
    } catch (exception: SerializationException) {
        DocumentError.WrongType("", "text that is not JSON (${exception.firstLine()})", allowed).left()
    }
