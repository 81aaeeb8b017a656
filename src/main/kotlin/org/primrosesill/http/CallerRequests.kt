/*
 * Converts Ktor calls to caller requests and checks the size limits of the request head.
 */
package org.primrosesill.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.request.receiveChannel
import io.ktor.server.request.uri
import io.ktor.utils.io.readAvailable
import kotlinx.coroutines.withTimeoutOrNull
import org.primrosesill.model.Failure
import org.primrosesill.request.CallerRequest
import org.primrosesill.request.requestIdFrom
import java.io.ByteArrayOutputStream
import java.io.IOException

private const val BUFFER_BYTES = 16 * 1024

internal fun callerRequest(call: ApplicationCall, settings: CallerListenerSettings): CallerRequest {
    // Ktor provides one entry for each header line.
    val lines = call.request.headers.entries()
    val headers = lines.groupBy({ it.key.lowercase() }, { it.value.first() })
    return CallerRequest(
        id = requestIdFrom(headers["x-request-id"]?.singleOrNull()),
        method = call.request.httpMethod.value,
        path = call.request.uri,
        headers = headers,
    ) { limit ->
        // A request without either header has no body, but Ktor would read until the connection ends.
        val hasBody = "content-length" in headers || "transfer-encoding" in headers
        if (!hasBody) return@CallerRequest ByteArray(0).right()
        withTimeoutOrNull(settings.bodyTimeout) { receiveBody(call, headers["content-length"]?.first(), limit) }
            ?: Failure.BodyIncomplete("not received within ${settings.bodyTimeout}").left()
    }
}

/** Returns the failure for a request head that exceeds the limits, or null. */
internal fun headFailure(call: ApplicationCall, request: CallerRequest, settings: CallerListenerSettings): Failure? {
    val values = request.headers.entries.flatMap { (name, values) -> values.map { name to it } }
    val oversized = values.firstOrNull { (_, value) -> value.length > settings.maximumHeaderValueBytes }
    return when {
        call.request.uri.length > settings.maximumHeaderValueBytes ->
            Failure.MalformedRequest("path", "is longer than ${settings.maximumHeaderValueBytes} bytes")
        oversized != null ->
            Failure.MalformedRequest(oversized.first, "is longer than ${settings.maximumHeaderValueBytes} bytes")
        values.sumOf { (name, value) -> name.length + value.length } > settings.maximumHeaderBytes ->
            Failure.MalformedRequest("headers", "are larger than ${settings.maximumHeaderBytes} bytes")
        else -> null
    }
}

private suspend fun receiveBody(
    call: ApplicationCall,
    contentLength: String?,
    limit: Int,
): Either<Failure, ByteArray> {
    if ((contentLength?.toLongOrNull() ?: 0) > limit) return Failure.BodyTooLarge(limit.toLong()).left()
    val body = ByteArrayOutputStream()
    val buffer = ByteArray(BUFFER_BYTES)
    try {
        val channel = call.receiveChannel()
        while (true) {
            val count = channel.readAvailable(buffer)
            if (count < 0) break
            body.write(buffer, 0, count)
            if (body.size() > limit) return Failure.BodyTooLarge(limit.toLong()).left()
        }
    } catch (_: IOException) {
        return Failure.BodyIncomplete("the connection failed").left()
    }
    val expected = contentLength?.toLongOrNull() ?: body.size().toLong()
    return if (body.size().toLong() == expected) {
        body.toByteArray().right()
    } else {
        Failure.BodyIncomplete("${body.size()} of $expected bytes received").left()
    }
}
