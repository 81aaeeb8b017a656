/*
 * Calls that read from the platform: bounded in time and size, and never sent twice.
 */
package org.primrosesill.platform

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.primrosesill.discovery.FeedError
import org.primrosesill.model.HeaderFields
import org.primrosesill.model.UpstreamId
import org.primrosesill.request.BodyPart
import org.primrosesill.request.ConnectionUse
import org.primrosesill.request.ExchangeResult
import org.primrosesill.request.UpstreamAnswer
import org.primrosesill.request.UpstreamCall
import org.primrosesill.request.UpstreamClient
import java.io.ByteArrayOutputStream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal class TextAnswer(val status: Int, val body: String)

/** A page of the store has up to 1 MB of values, and base64 adds a third. */
private const val MAXIMUM_ANSWER_BYTES = 4 * 1024 * 1024

private val MAXIMUM_IDLE = 500.milliseconds

/** Reads [path] at [address] within [timeout]. */
internal suspend fun UpstreamClient.get(
    address: String,
    path: String,
    timeout: Duration,
): Either<FeedError, TextAnswer> {
    val call =
        UpstreamCall(
            upstream = UpstreamId(address),
            address = address,
            method = "GET",
            path = path,
            requestId = "",
            headers = HeaderFields(),
            body = null,
            timeout = timeout,
            connection = ConnectionUse.Kept(MAXIMUM_IDLE),
        )
    return when (val result = exchange(call, ::readText)) {
        is ExchangeResult.Answered -> result.value
        is ExchangeResult.NotSent -> FeedError.Unavailable(result.reason).left()
        is ExchangeResult.Broken -> FeedError.Unavailable(result.reason).left()
        ExchangeResult.TimedOut -> FeedError.Unavailable("no answer within $timeout").left()
    }
}

private suspend fun readText(answer: UpstreamAnswer): Either<FeedError, TextAnswer> {
    val body = ByteArrayOutputStream()
    while (true) {
        when (val part = answer.body.next()) {
            is BodyPart.Bytes -> body.write(part.bytes)
            is BodyPart.Cut -> return FeedError.Unavailable(part.reason).left()
            BodyPart.End -> return TextAnswer(answer.status, body.toString(Charsets.UTF_8)).right()
        }
        if (body.size() > MAXIMUM_ANSWER_BYTES) return FeedError.Malformed("the answer is too large").left()
    }
}
