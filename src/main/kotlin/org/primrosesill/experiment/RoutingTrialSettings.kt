/*
 * Settings of one routing trial: sizes, workload, delays and what happens to the engines while it runs.
 */
package org.primrosesill.experiment

/** What happens to engines, zones or the platform at [atMillis] of the trial. */
internal sealed interface TrialEvent {
    val atMillis: Long

    /** A new engine starts, cold. */
    data class Join(override val atMillis: Long, val engine: Int) : TrialEvent

    /** The platform marks the engine as leaving. */
    data class Leave(override val atMillis: Long, val engine: Int) : TrialEvent

    /** The engine fails, and its requests with it. */
    data class Crash(override val atMillis: Long, val engine: Int) : TrialEvent

    /** The engine loses its cache and turns cold without warning. */
    data class TurnCold(override val atMillis: Long, val engine: Int) : TrialEvent

    /** Operators take exactly these [zones] out of service. */
    data class ZonesOut(override val atMillis: Long, val zones: Set<Int>) : TrialEvent

    /** The platform sends an empty VM list. */
    data class EmptyVmList(override val atMillis: Long) : TrialEvent
}

/**
 * Settings of a routing trial. Times are in milliseconds of virtual time.
 *
 * @property engines engines that are warm at the start
 * @property spareEngines engines that can join later
 * @property meanLoad requests at an engine on average
 * @property exchangeDelayMillis age of the counts of others when they arrive: beyond 9 routers they pass through one more
 *   router, which sends them on in its own next round
 * @property surgeFactor arrivals of new chats during a surge as a multiple of the usual ones
 * @property hotShare part of all requests that carry one and the same affinity key during a surge
 * @property bears requests that a cold engine bears at once
 * @property reservations whether routers ask the home of an engine for a place; off to measure what that brings
 * @property warmUpMillis time that an engine is cold after it started
 */
internal data class RoutingTrialSettings(
    val seed: Long,
    val routers: Int,
    val engines: Int,
    val meanLoad: Double,
    val spareEngines: Int = 0,
    val zones: Int = 3,
    val settleMillis: Long = 60_000,
    val measureMillis: Long = 60_000,
    val exchangeIntervalMillis: Long = if (routers <= 9) 500 else 1_000,
    val exchangeDelayMillis: Long = if (routers <= 9) 5 else 500,
    val platformLagMillis: Long = 2_000,
    val surgeFactor: Double = 1.0,
    val hotShare: Double = 0.0,
    val surgeMillis: LongRange = LongRange.EMPTY,
    val cacheTokens: Int = (meanLoad * 25_000).toInt(),
    val bears: Int = 1,
    val warmUpMillis: Long = 10_000,
    val events: List<TrialEvent> = emptyList(),
    val reservations: Boolean = true,
) {
    val endMillis: Long get() = settleMillis + measureMillis
}

/** Output tokens of a request on average, from 1.8 M tokens/s at 7,600 requests/s. */
internal const val MEAN_OUTPUT_TOKENS: Double = 237.0

/** Time between two tokens of a stream, in milliseconds. */
internal const val TOKEN_MILLIS: Double = 30.0

/** Time an engine needs to read one prompt token that is not in its cache, in milliseconds. */
internal const val PREFILL_MILLIS_PER_TOKEN: Double = 0.125

/** Time of a request on average, in milliseconds, from which the arrival rate for a mean load follows. */
internal const val MEAN_REQUEST_MILLIS: Double = MEAN_OUTPUT_TOKENS * TOKEN_MILLIS + 200

/** Requests of a chat on average. */
internal const val MEAN_TURNS: Double = 6.0
