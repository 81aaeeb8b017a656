/*
 * Writes answers to callers through Ktor. A cut answer ends by an exception inside the body writer, which makes the
 * engine close the connection without a final chunk, so that no caller takes it for a whole one.
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
import org.primrosesill.request.AnswerHead
import org.primrosesill.request.AnswerWriter
import org.primrosesill.request.CallerAnswer
import org.primrosesill.request.CallerGoneException
import org.primrosesill.request.StreamEnd
import org.primrosesill.request.problemOf
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource

private val statusesWithoutBody = setOf(204, 304)

private class AbortedAnswerException : IOException("the answer is cut")

private fun parsedContentType(value: String): ContentType? =
    try {
        ContentType.parse(value)
    } catch (_: BadContentTypeFormatException) {
        null
    }

internal class KtorCallerAnswer(
    private val call: ApplicationCall,
    private val id: RequestId,
    private val settings: CallerListenerSettings,
) : CallerAnswer {
    private var started = false

    override suspend fun refuse(failure: Failure) {
        // The head of another answer is out, and the engine has aborted the connection.
        if (started) return
        val problem = problemOf(failure, id)
        val headers = mutableMapOf("content-type" to "application/problem+json")
        problem.retryAfterSeconds?.let { headers["retry-after"] = it.toString() }
        if (failure is Failure.MethodNotAllowed) headers["allow"] = failure.allowed.joinToString(", ")
        if (failure is Failure.UnknownCustomer) headers["www-authenticate"] = "Bearer"
        // The rest of a body that was not read would be taken for the next request.
        if (failure is Failure.BodyTooLarge || failure is Failure.BodyIncomplete) headers["connection"] = "close"
        val body = Json.encodeToString(Problem.serializer(), problem).toByteArray()
        respond(AnswerHead(failure.status, headers, body.size.toLong()), body)
    }

    override suspend fun respond(head: AnswerHead, body: ByteArray) =
        stream(AnswerHead(head.status, head.headers, head.contentLength ?: body.size.toLong())) { writer ->
            if (body.isNotEmpty()) writer.write(body)
            StreamEnd.WHOLE
        }

    override suspend fun stream(head: AnswerHead, produce: suspend (AnswerWriter) -> StreamEnd) {
        started = true
        call.response.header("X-Request-Id", id.value)
        head.headers.forEach { (name, value) ->
            if (!name.equals(HttpHeaders.ContentType, ignoreCase = true)) call.response.header(name, value)
        }
        try {
            if (call.request.httpMethod == HttpMethod.Head || head.status in statusesWithoutBody) {
                produce { }
                call.respond(BodilessContent(head))
            } else {
                call.respond(StreamedContent(head, produce))
            }
        } catch (_: AbortedAnswerException) {
            // The caller has been told by the aborted connection.
        } catch (exception: CallerGoneException) {
            throw exception
        } catch (exception: IOException) {
            throw CallerGoneException("the answer could not be written", exception)
        }
    }

    private inner class StreamedContent(
        private val head: AnswerHead,
        private val produce: suspend (AnswerWriter) -> StreamEnd,
    ) : OutgoingContent.WriteChannelContent() {
        override val status = HttpStatusCode.fromValue(head.status)
        override val contentLength = head.contentLength
        override val contentType = head.headers["content-type"]?.let(::parsedContentType)

        override suspend fun writeTo(channel: ByteWriteChannel): Unit =
            coroutineScope {
                val progress = WriteProgress()
                val watch = launch { progress.watch(settings.writeTimeout) }
                val end = produce { bytes -> progress.during { write(channel, bytes) } }
                watch.cancel()
                if (end == StreamEnd.CUT) throw AbortedAnswerException()
            }
    }

    /** The answer to HEAD, and one whose status excludes a body. It may state the length of the body it leaves out. */
    private class BodilessContent(head: AnswerHead) : OutgoingContent.NoContent() {
        override val status = HttpStatusCode.fromValue(head.status)
        override val contentLength = head.contentLength
        override val contentType = head.headers["content-type"]?.let(::parsedContentType)
    }

    private suspend fun write(channel: ByteWriteChannel, bytes: ByteArray) {
        try {
            channel.writeFully(bytes)
            channel.flush()
        } catch (exception: CancellationException) {
            currentCoroutineContext().ensureActive()
            throw CallerGoneException("the caller closed the connection", exception)
        } catch (exception: IOException) {
            throw CallerGoneException("the caller closed the connection", exception)
        }
    }
}

/** Finds a write that does not get on. One timer watches all writes of an answer, as a stream has very many. */
private class WriteProgress {
    @Volatile
    private var since: TimeMark? = null

    suspend fun during(write: suspend () -> Unit) {
        since = TimeSource.Monotonic.markNow()
        write()
        since = null
    }

    suspend fun watch(timeout: Duration): Nothing {
        while (true) {
            delay(timeout / 4)
            val waited = since?.elapsedNow() ?: continue
            if (waited > timeout) throw CallerGoneException("the caller reads too slowly")
        }
    }
}
