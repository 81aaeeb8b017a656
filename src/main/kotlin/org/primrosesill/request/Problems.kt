/*
 * Conversion of failures to problem details (RFC 9457).
 */
package org.primrosesill.request

import org.primrosesill.generated.Problem
import org.primrosesill.model.Failure
import org.primrosesill.model.RequestId
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Returns the problem details of [failure] for the caller of request [id]. */
public fun problemOf(failure: Failure, id: RequestId): Problem =
    Problem(
        type = "urn:primrosesill:problem:${failure.type}",
        title = failure.title,
        status = failure.status,
        detail = failure.detail,
        ran = failure.ran,
        requestId = id,
        retryAfterSeconds = failure.retryAfter?.let(::wholeSeconds),
    )

/** Returns [duration] in whole seconds, rounded up, at least 1: a caller that retries earlier is rejected again. */
public fun wholeSeconds(duration: Duration): Int =
    kotlin.math
        .ceil(duration.toDouble(DurationUnit.SECONDS))
        .toInt()
        .coerceAtLeast(1)
