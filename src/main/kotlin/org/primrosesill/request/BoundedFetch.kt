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
 * @property readTimeout time until the response head must arrive, and then until each part of the body must arrive
 * @property totalTimeout time for the whole call, so that a slow trickle of bytes does not keep it open
 * @property maximumIdle longest idle time after which a connection may still be reused
 * @property maximumBytes size up to which a response body is accepted
 */
internal class FetchLimits(
    val readTimeout: Duration,
    val totalTimeout: Duration,
    val maximumIdle: Duration,
    val maximumBytes: Int,
)

/** A complete response. */
internal class FetchedResponse(val status: Int, val headers: HeaderFields, val body: ByteArray)

/** The reason why a call returned no complete response. */
internal sealed class FetchFailure(val reason: String) {
    class Unavailable(reason: String) : FetchFailure(reason)

    class TooLarge : FetchFailure("the response is too large")

    /** The response began and did not end in time. */
    class Incomplete(reason: String) : FetchFailure(reason)
}

/** Sends a GET request for [path] to [address], and returns the complete response. */
internal suspend fun UpstreamClient.fetch(
    address: String,
    path: String,
    limits: FetchLimits,
    headers: HeaderFields = HeaderFields(),
): Either<FetchFailure, FetchedResponse> {
    val call =
        UpstreamCall(
            upstream = UpstreamId(address),
            address = address,
            method = "GET",
            path = path,
            requestId = "",
            headers = headers,
            body = null,
            timeout = limits.readTimeout,
            connection = ConnectionUse.Pooled(limits.maximumIdle),
        )
    val result =
        withTimeoutOrNull(limits.totalTimeout) { exchange(call) { receiveBody(it, limits) } }
            ?: return FetchFailure.Incomplete("the response was incomplete after ${limits.totalTimeout}").left()
    return when (result) {
        is ExchangeResult.Responded -> result.value
        is ExchangeResult.NotSent -> FetchFailure.Unavailable(result.reason).left()
        is ExchangeResult.ConnectionFailed -> FetchFailure.Unavailable(result.reason).left()
        ExchangeResult.TimedOut -> FetchFailure.Unavailable("no response within ${limits.readTimeout}").left()
    }
}

private suspend fun receiveBody(
    response: UpstreamResponse,
    limits: FetchLimits,
): Either<FetchFailure, FetchedResponse> {
    val body = ByteArrayOutputStream()
    while (true) {
        val part =
            withTimeoutOrNull(limits.readTimeout) { response.body.next() }
                ?: return FetchFailure
                    .Unavailable(
                        "received nothing for ${limits.readTimeout} after ${body.size()} bytes",
                    ).left()
        when (part) {
            is BodyPart.Bytes -> body.write(part.bytes)
            is BodyPart.Truncated -> return FetchFailure.Unavailable(part.reason).left()
            BodyPart.End -> return FetchedResponse(response.status, response.headers, body.toByteArray()).right()
        }
        if (body.size() > limits.maximumBytes) return FetchFailure.TooLarge().left()
    }
}
