/*
 * GET requests to the platform, engines and peers. Size and duration are bounded, and a request is never sent twice.
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
 * Limits of one call.
 *
 * @property timeout time until the response head must arrive, and then until each part of the body must arrive
 * @property total time for the whole call, so that a slow trickle of bytes does not keep it open
 * @property maximumIdle longest idle time after which a connection may still be reused
 * @property maximumBytes size up to which a response body is accepted
 */
internal class ReadBounds(val timeout: Duration, val total: Duration, val maximumIdle: Duration, val maximumBytes: Int)

/** A complete response. */
internal class ReadAnswer(val status: Int, val headers: HeaderFields, val body: ByteArray)

/** The reason why a call returned no complete response. */
internal sealed class ReadFailure(val reason: String) {
    class Unavailable(reason: String) : ReadFailure(reason)

    class TooLarge : ReadFailure("the response is too large")
}

/** Sends a GET request for [path] to [address], and returns the complete response. */
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
            connection = ConnectionUse.Pooled(bounds.maximumIdle),
        )
    val result =
        withTimeoutOrNull(bounds.total) { exchange(call) { readFully(it, bounds) } }
            ?: return ReadFailure.Unavailable("the response was incomplete after ${bounds.total}").left()
    return when (result) {
        is ExchangeResult.Responded -> result.value
        is ExchangeResult.NotSent -> ReadFailure.Unavailable(result.reason).left()
        is ExchangeResult.ConnectionFailed -> ReadFailure.Unavailable(result.reason).left()
        ExchangeResult.TimedOut -> ReadFailure.Unavailable("no response within ${bounds.timeout}").left()
    }
}

private suspend fun readFully(response: UpstreamResponse, bounds: ReadBounds): Either<ReadFailure, ReadAnswer> {
    val body = ByteArrayOutputStream()
    while (true) {
        val part =
            withTimeoutOrNull(bounds.timeout) { response.body.next() }
                ?: return ReadFailure
                    .Unavailable(
                        "received nothing for ${bounds.timeout} after ${body.size()} bytes",
                    ).left()
        when (part) {
            is BodyPart.Bytes -> body.write(part.bytes)
            is BodyPart.Truncated -> return ReadFailure.Unavailable(part.reason).left()
            BodyPart.End -> return ReadAnswer(response.status, response.headers, body.toByteArray()).right()
        }
        if (body.size() > bounds.maximumBytes) return ReadFailure.TooLarge().left()
    }
}
