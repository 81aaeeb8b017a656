/*
 * What it costs to serve a prompt at an engine, in prompt tokens that would have to be read for the same work.
 *
 * Load patterns: a few heavy beginnings of prompts are shared by most requests, so that reading them again at each engine
 * takes more than the requests themselves; one of them gets much of the traffic for some seconds, so that its engine falls
 * behind; engines fail a part of their requests.
 */
package org.primrosesill.placement

import org.primrosesill.discovery.KnownUpstream
import org.primrosesill.model.AvailabilityZoneId
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * One engine as seen for one prompt.
 *
 * @property inFlight requests in progress, of all routers
 * @property heldTokens tokens at the beginning of the prompt that the engine has read before
 * @property unreadTokens prompt tokens of other requests that it is still to read
 */
internal class EngineCandidate(
    val upstream: KnownUpstream,
    val inFlight: Int,
    val heldTokens: Int,
    val unreadTokens: Int,
    val failureRate: Double,
)

/**
 * The prompt that is placed.
 *
 * @property bestHeldTokens most tokens that any engine holds which others can fetch from
 * @property bytes bytes of the request and, as far as it can be told, of its answer
 */
internal class PlacedPrompt(
    val promptTokens: Int,
    val bestHeldTokens: Int,
    val latencyTarget: Duration,
    val bytes: Int,
    val zone: AvailabilityZoneId,
)

/** Returns the cost of serving [prompt] at [candidate]. */
internal fun engineCost(prompt: PlacedPrompt, candidate: EngineCandidate): Double {
    val fetched = (prompt.bestHeldTokens - candidate.heldTokens).coerceAtLeast(0)
    val read = (prompt.promptTokens - candidate.heldTokens - fetched).coerceAtLeast(0)
    return read +
        fetched * FETCHED_TOKEN_COST +
        candidate.inFlight * IN_FLIGHT_COST +
        latenessCost(prompt, candidate.unreadTokens + read) +
        candidate.failureRate * FAILURE_COST +
        distanceCost(prompt, candidate)
}

/** Nothing up to half of the target, and then as much more as it is likelier that the answer comes too late. */
private fun latenessCost(prompt: PlacedPrompt, tokensAhead: Int): Double {
    val wait = tokensAhead / READ_TOKENS_PER_MILLISECOND
    val part = wait / prompt.latencyTarget.toDouble(DurationUnit.MILLISECONDS).coerceAtLeast(1.0)
    return (part - FREE_PART_OF_TARGET).coerceAtLeast(0.0) * LATE_COST
}

private fun distanceCost(prompt: PlacedPrompt, candidate: EngineCandidate): Double =
    if (candidate.upstream.registration.availabilityZone == prompt.zone) {
        0.0
    } else {
        CROSSING_COST + prompt.bytes / CROSSING_BYTES_PER_TOKEN
    }

/** Fetching the memory of a token from another engine, against reading the token. */
private const val FETCHED_TOKEN_COST = 0.18

/** A further request slows down the others at its engine a little. */
private const val IN_FLIGHT_COST = 6.0

/** Prompt tokens that an engine reads in a millisecond. */
private const val READ_TOKENS_PER_MILLISECOND = 35.0
private const val FREE_PART_OF_TARGET = 0.5
private const val LATE_COST = 8_000.0

/** A request that fails costs its caller the answer. */
private const val FAILURE_COST = 8_000.0

/** A request to another zone takes longer and may be cut off with it. */
private const val CROSSING_COST = 30.0
private const val CROSSING_BYTES_PER_TOKEN = 90.0
