/*
 * Writes responses to callers through Ktor. A truncated response ends with an exception in the body writer, which makes
 * Ktor close the connection without a final chunk, so that no caller mistakes it for a complete response.
 */
package org.primrosesill.http

import io.ktor.http.BadContentTypeFormatException
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.OutgoingContent
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.httpMethod
import io.ktor.server.response.header
import io.ktor.server.response.respond
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import org.primrosesill.generated.Problem
import org.primrosesill.model.Failure
import org.primrosesill.model.RequestId
import org.primrosesill.request.CallerDisconnectedException
import org.primrosesill.request.CallerResponse
import org.primrosesill.request.CallerResponseHead
import org.primrosesill.request.ResponseBodyWriter
import org.primrosesill.request.StreamEnd
import org.primrosesill.request.problemOf
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource

private val statusesWithoutBody = setOf(204, 304)

private class ResponseAbortedException : IOException("the response was aborted")

private fun parseContentTypeOrNull(value: String): ContentType? =
    try {
        ContentType.parse(value)
    } catch (_: BadContentTypeFormatException) {
        null
    }

internal class KtorCallerResponse(
    private val call: ApplicationCall,
    private val id: RequestId,
    private val settings: CallerListenerSettings,
) : CallerResponse {
    private var started = false

    override suspend fun respondWithFailure(failure: Failure) {
        // The head of another response has been sent, and Ktor has aborted the connection.
        if (started) return
        val problem = problemOf(failure, id)
        val headers = mutableMapOf("content-type" to "application/problem+json")
        problem.retryAfterSeconds?.let { headers["retry-after"] = it.toString() }
        if (failure is Failure.MethodNotAllowed) headers["allow"] = failure.allowed.joinToString(", ")
        if (failure is Failure.UnknownCustomer) headers["www-authenticate"] = "Bearer"
        // The unread rest of the body would be parsed as the next request.
        if (failure is Failure.BodyTooLarge || failure is Failure.BodyIncomplete) headers["connection"] = "close"
        val body = Json.encodeToString(Problem.serializer(), problem).toByteArray()
        respond(CallerResponseHead(failure.status, headers, body.size.toLong()), body)
    }

    override suspend fun respond(head: CallerResponseHead, body: ByteArray) =
        stream(CallerResponseHead(head.status, head.headers, head.contentLength ?: body.size.toLong())) { writer ->
            if (body.isNotEmpty()) writer.write(body)
            StreamEnd.COMPLETE
        }

    override suspend fun stream(head: CallerResponseHead, produce: suspend (ResponseBodyWriter) -> StreamEnd) {
        started = true
        call.response.header("X-Request-Id", id.value)
        head.headers.forEach { (name, value) ->
            if (!name.equals(HttpHeaders.ContentType, ignoreCase = true)) call.response.header(name, value)
        }
        try {
            if (call.request.httpMethod == HttpMethod.Head || head.status in statusesWithoutBody) {
                produce { }
                call.respond(NoBodyContent(head))
            } else {
                call.respond(StreamedContent(head, produce))
            }
        } catch (_: ResponseAbortedException) {
            // The aborted connection signals the failure to the caller.
        } catch (exception: CallerDisconnectedException) {
            throw exception
        } catch (exception: IOException) {
            throw CallerDisconnectedException("the response could not be written", exception)
        }
    }

    private inner class StreamedContent(
        private val head: CallerResponseHead,
        private val produce: suspend (ResponseBodyWriter) -> StreamEnd,
    ) : OutgoingContent.WriteChannelContent() {
        override val status = HttpStatusCode.fromValue(head.status)
        override val contentLength = head.contentLength
        override val contentType = head.headers["content-type"]?.let(::parseContentTypeOrNull)

        override suspend fun writeTo(channel: ByteWriteChannel): Unit =
            coroutineScope {
                val progress = WriteProgress()
                val watchdog = launch { progress.enforceTimeout(settings.writeTimeout) }
                val end = produce { bytes -> progress.track { write(channel, bytes) } }
                watchdog.cancel()
                if (end == StreamEnd.TRUNCATED) throw ResponseAbortedException()
            }
    }

    /** A response to HEAD, or one whose status excludes a body. Its head may contain the length of the omitted body. */
    private class NoBodyContent(head: CallerResponseHead) : OutgoingContent.NoContent() {
        override val status = HttpStatusCode.fromValue(head.status)
        override val contentLength = head.contentLength
        override val contentType = head.headers["content-type"]?.let(::parseContentTypeOrNull)
    }

    private suspend fun write(channel: ByteWriteChannel, bytes: ByteArray) {
        try {
            channel.writeFully(bytes)
            channel.flush()
        } catch (exception: CancellationException) {
            currentCoroutineContext().ensureActive()
            throw CallerDisconnectedException("the caller closed the connection", exception)
        } catch (exception: IOException) {
            throw CallerDisconnectedException("the caller closed the connection", exception)
        }
    }
}

/** Detects a stalled write. One timer covers all writes of a response, because a stream has many writes. */
private class WriteProgress {
    @Volatile
    private var writeStart: TimeMark? = null

    suspend fun track(write: suspend () -> Unit) {
        writeStart = TimeSource.Monotonic.markNow()
        write()
        writeStart = null
    }

    suspend fun enforceTimeout(timeout: Duration): Nothing {
        while (true) {
            delay(timeout / 4)
            val elapsed = writeStart?.elapsedNow() ?: continue
            if (elapsed > timeout) throw CallerDisconnectedException("the caller reads too slowly")
        }
    }
}
