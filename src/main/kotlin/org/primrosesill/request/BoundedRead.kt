/*
 * Calls that read from the platform, engines and peers: bounded in size, and never sent twice.
 */
package org.primrosesill.request

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.withTimeoutOrNull
import org.primrosesill.model.HeaderFields
import org.primrosesill.model.UpstreamId
import java.io.ByteArrayOutputStream
import kotlin.time.Duration

/**
 * Bounds of one call.
 *
 * @property timeout time for the head of the answer, and then for each part of its body
 * @property total time for the whole call, so that a few bytes now and then do not keep it open
 * @property maximumIdle age up to which an idle connection may be used
 */
internal class ReadBounds(val timeout: Duration, val total: Duration, val maximumIdle: Duration, val maximumBytes: Int)

/** A whole answer. */
internal class ReadAnswer(val status: Int, val headers: HeaderFields, val body: ByteArray)

/** Why a call gave no answer. */
internal sealed class ReadFailure(val reason: String) {
    class Unavailable(reason: String) : ReadFailure(reason)

    class TooLarge : ReadFailure("the answer is too large")
}

/** Reads [path] at [address]. */
internal suspend fun UpstreamClient.read(
    address: String,
    path: String,
    bounds: ReadBounds,
    headers: HeaderFields = HeaderFields(),
): Either<ReadFailure, ReadAnswer> {
    val call =
        UpstreamCall(
            upstream = UpstreamId(address),
            address = address,
            method = "GET",
            path = path,
            requestId = "",
            headers = headers,
            body = null,
            timeout = bounds.timeout,
            connection = ConnectionUse.Kept(bounds.maximumIdle),
        )
    val result =
        withTimeoutOrNull(bounds.total) { exchange(call) { readWhole(it, bounds) } }
            ?: return ReadFailure.Unavailable("the answer was not whole within ${bounds.total}").left()
    return when (result) {
        is ExchangeResult.Answered -> result.value
        is ExchangeResult.NotSent -> ReadFailure.Unavailable(result.reason).left()
        is ExchangeResult.Broken -> ReadFailure.Unavailable(result.reason).left()
        ExchangeResult.TimedOut -> ReadFailure.Unavailable("no answer within ${bounds.timeout}").left()
    }
}

private suspend fun readWhole(answer: UpstreamAnswer, bounds: ReadBounds): Either<ReadFailure, ReadAnswer> {
    val body = ByteArrayOutputStream()
    while (true) {
        val part =
            withTimeoutOrNull(bounds.timeout) { answer.body.next() }
                ?: return ReadFailure
                    .Unavailable(
                        "nothing came for ${bounds.timeout} after ${body.size()} bytes",
                    ).left()
        when (part) {
            is BodyPart.Bytes -> body.write(part.bytes)
            is BodyPart.Cut -> return ReadFailure.Unavailable(part.reason).left()
            BodyPart.End -> return ReadAnswer(answer.status, answer.headers, body.toByteArray()).right()
        }
        if (body.size() > bounds.maximumBytes) return ReadFailure.TooLarge().left()
    }
}
