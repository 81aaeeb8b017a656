/*
 * The body of an upstream's answer, and how failures of the client library are read.
 */
package org.primrosesill.http

import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import org.primrosesill.answer.BodyFraming
import org.primrosesill.answer.whyNotWhole
import org.primrosesill.request.BodyPart
import org.primrosesill.request.ExchangeResult
import org.primrosesill.request.UpstreamBody
import java.io.IOException
import java.net.ConnectException
import java.nio.channels.UnresolvedAddressException

private const val BUFFER_BYTES = 16 * 1024

/** Reads the body of [response] and proves its end by [framing]. */
internal class KtorUpstreamBody(private val response: HttpResponse, private val framing: BodyFraming) : UpstreamBody {
    private val buffer = ByteArray(BUFFER_BYTES)
    private var channel: ByteReadChannel? = null
    private var received = 0L

    override suspend fun next(): BodyPart =
        try {
            val source = channel ?: response.bodyAsChannel().also { channel = it }
            val count = source.readAvailable(buffer)
            if (count >= 0) {
                received += count
                BodyPart.Bytes(buffer.copyOf(count))
            } else {
                val reason = source.closedCause?.toString() ?: whyNotWhole(framing, received)
                reason?.let(BodyPart::Cut) ?: BodyPart.End
            }
        } catch (exception: CancellationException) {
            // The library also reports a closed connection by a CancellationException.
            currentCoroutineContext().ensureActive()
            BodyPart.Cut(describe(exception))
        } catch (exception: IOException) {
            BodyPart.Cut(describe(exception))
        }
}

/**
 * Returns what a failure before the head of an answer means. Only the errors of a connection attempt prove that no byte
 * was sent. On Linux a connection that came about never fails with them, but with other kinds of IOException.
 */
internal fun failedBeforeHead(failure: Throwable): ExchangeResult<Nothing> {
    val connectFailed =
        generateSequence(failure) { it.cause }.take(MAXIMUM_CAUSES).any {
            it is ConnectException || it is UnresolvedAddressException
        }
    return if (connectFailed) ExchangeResult.NotSent(describe(failure)) else ExchangeResult.Broken(describe(failure))
}

private const val MAXIMUM_CAUSES = 8

private fun describe(failure: Throwable): String = "${failure.javaClass.simpleName}: ${failure.message.orEmpty()}"
