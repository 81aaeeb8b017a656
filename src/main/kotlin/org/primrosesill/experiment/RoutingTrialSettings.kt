/*
 * Settings of one routing trial: sizes, workload, delays and scheduled events.
 */
package org.primrosesill.experiment

/** An event that affects engines, zones or the platform at [atMillis] of the trial. */
internal sealed interface TrialEvent {
    val atMillis: Long

    /** A new engine starts in the cold state. */
    data class Join(override val atMillis: Long, val engine: Int) : TrialEvent

    /** The platform marks the engine as leaving. */
    data class Leave(override val atMillis: Long, val engine: Int) : TrialEvent

    /** The engine fails with all its requests. */
    data class Crash(override val atMillis: Long, val engine: Int) : TrialEvent

    /** The engine loses its cache and turns cold without notice. */
    data class TurnCold(override val atMillis: Long, val engine: Int) : TrialEvent

    /** Operators set [zones] as the zones out of service. */
    data class ZonesOut(override val atMillis: Long, val zones: Set<Int>) : TrialEvent

    /** The platform sends an empty VM list. */
    data class EmptyVmList(override val atMillis: Long) : TrialEvent
}

/**
 * Settings of a routing trial. Times are in milliseconds of virtual time.
 *
 * @property engines number of engines that are warm at the start
 * @property spareEngines number of engines that can join later
 * @property meanLoad mean number of concurrent requests at an engine
 * @property settleMillis time before measurements start
 * @property exchangeDelayMillis age of the counts of other routers on arrival; with more than 9 routers, another router
 *   relays them in its next round
 * @property surgeFactor arrival rate of new chats during a surge as a multiple of the usual rate
 * @property hotChatFraction fraction of the new chats of a surge that have the same affinity key
 * @property coldConcurrencyLimit maximum number of concurrent requests at a cold engine
 * @property reservations whether routers reserve capacity at the reservation owner of an upstream; false for trials
 *   that measure the effect of reservations
 * @property warmUpMillis time for which an engine is cold after its start
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
    val hotChatFraction: Double = 0.0,
    val surgeMillis: LongRange = LongRange.EMPTY,
    val cacheTokens: Int = (meanLoad * 25_000).toInt(),
    val coldConcurrencyLimit: Int = 1,
    val warmUpMillis: Long = 10_000,
    val events: List<TrialEvent> = emptyList(),
    val reservations: Boolean = true,
) {
    val endMillis: Long get() = settleMillis + measureMillis
}

/** Mean number of output tokens of a request: 1.8 M tokens/s at 7,600 requests/s. */
internal const val MEAN_OUTPUT_TOKENS: Double = 237.0

/** Time between two tokens of a stream, in milliseconds. */
internal const val TOKEN_MILLIS: Double = 30.0

/** Time in which an engine processes one prompt token that is not in its cache, in milliseconds. */
internal const val PREFILL_MILLIS_PER_TOKEN: Double = 0.125

/** Mean duration of a request in milliseconds, from which the arrival rate for a mean load is derived. */
internal const val MEAN_REQUEST_MILLIS: Double = MEAN_OUTPUT_TOKENS * TOKEN_MILLIS + 200

/** Mean number of requests of a chat. */
internal const val MEAN_TURNS: Double = 6.0
