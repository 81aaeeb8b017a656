/*
 * Reads responses with the Ktor client. Its parser accepts some names of header fields that are no tokens, and reports what it
 * rejects with exceptions that quote the response.
 */
package org.primrosesill.http

import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.HttpStatement
import io.ktor.http.cio.ParserException
import org.primrosesill.model.MalformedResponseException
import org.primrosesill.model.ResponseDefect
import org.primrosesill.model.isStatusCode
import org.primrosesill.model.isToken

/**
 * Sends the request and returns what [read] returns for its response.
 *
 * @throws MalformedResponseException if the response violates HTTP
 * @throws java.io.IOException if the connection fails
 */
internal suspend fun <T> HttpStatement.readResponse(read: suspend (HttpResponse) -> T): T =
    try {
        execute { response ->
            response.defect()?.let { throw MalformedResponseException(it) }
            read(response)
        }
    } catch (_: ParserException) {
        throw MalformedResponseException(ResponseDefect.OTHER_HEAD)
    } catch (_: NumberFormatException) {
        // The parser reports a status or a chunk size that is no number in this way.
        throw MalformedResponseException(ResponseDefect.OTHER_HEAD)
    }

private fun HttpResponse.defect(): ResponseDefect? =
    when {
        !isStatusCode("${status.value}") -> ResponseDefect.STATUS
        !headers.names().all(::isToken) -> ResponseDefect.FIELD_NAME
        else -> null
    }
