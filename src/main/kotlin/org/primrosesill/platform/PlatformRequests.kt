/*
 * GET requests to the platform and its engines.
 */
package org.primrosesill.platform

import arrow.core.Either
import org.primrosesill.discovery.FeedError
import org.primrosesill.request.FetchFailure
import org.primrosesill.request.FetchLimits
import org.primrosesill.request.FetchedResponse
import org.primrosesill.request.UpstreamClient
import org.primrosesill.request.fetch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Limit for a response body. A page of the store has up to 1 MB of values, and base64 encoding adds a third. */
private const val MAXIMUM_RESPONSE_BYTES = 4 * 1024 * 1024

private val MAXIMUM_IDLE = 500.milliseconds

/** Time to receive the body of a large page, in addition to the time for its head. */
private val TRANSFER_TIMEOUT = 2.seconds

/**
 * Sends GET [path] to [address]. The head must arrive within [headTimeout], the body within a further
 * [TRANSFER_TIMEOUT].
 */
internal suspend fun UpstreamClient.get(
    address: String,
    path: String,
    headTimeout: Duration,
): Either<FeedError, FetchedResponse> {
    val limits = FetchLimits(headTimeout, headTimeout + TRANSFER_TIMEOUT, MAXIMUM_IDLE, MAXIMUM_RESPONSE_BYTES)
    return fetch(address, path, limits).mapLeft { failure ->
        when (failure) {
            is FetchFailure.Unavailable -> FeedError.Unavailable(failure.reason)
            is FetchFailure.TooLarge -> FeedError.Malformed(failure.reason)
            is FetchFailure.Incomplete -> FeedError.Incomplete(failure.reason)
        }
    }
}
