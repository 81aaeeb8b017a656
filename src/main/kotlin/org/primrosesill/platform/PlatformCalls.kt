/*
 * Calls that read from the platform and its engines.
 */
package org.primrosesill.platform

import arrow.core.Either
import org.primrosesill.discovery.FeedError
import org.primrosesill.request.ReadAnswer
import org.primrosesill.request.ReadBounds
import org.primrosesill.request.ReadFailure
import org.primrosesill.request.UpstreamClient
import org.primrosesill.request.read
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A page of the store has up to 1 MB of values, and base64 adds a third. */
private const val MAXIMUM_ANSWER_BYTES = 4 * 1024 * 1024

private val MAXIMUM_IDLE = 500.milliseconds

/** Time in which a large page arrives, beside the time for its head. */
private val TRANSFER_TIMEOUT = 2.seconds

/** Reads [path] at [address] within [timeout]. */
internal suspend fun UpstreamClient.get(
    address: String,
    path: String,
    timeout: Duration,
): Either<FeedError, ReadAnswer> {
    val bounds = ReadBounds(timeout, timeout + TRANSFER_TIMEOUT, MAXIMUM_IDLE, MAXIMUM_ANSWER_BYTES)
    return read(address, path, bounds).mapLeft { failure ->
        when (failure) {
            is ReadFailure.Unavailable -> FeedError.Unavailable(failure.reason)
            is ReadFailure.TooLarge -> FeedError.Malformed(failure.reason)
        }
    }
}
