/*
 * Estimates how many requests all gateways have in progress at each upstream of a small service that reports no load. Each
 * gateway knows its own requests exactly, and the average of the requests of the others from gossip. It also records the
 * rejections that it has received, which prove that an upstream was full.
 *
 * Load pattern: dozens of gateways send short requests to a few upstreams, so that each gateway has less than one request of
 * its own at any upstream, and a request ends long before gossip has told the others about it.
 */
package org.primrosesill.load

import org.primrosesill.model.UpstreamId
import kotlin.math.exp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * The requests of one gateway, or of several ones, at an upstream, as exponentially weighted averages.
 *
 * @property inProgress requests in progress
 * @property startsPerSecond requests sent in a second
 */
public data class UpstreamUse(public val inProgress: Double, public val startsPerSecond: Double) {
    public operator fun plus(other: UpstreamUse): UpstreamUse =
        UpstreamUse(inProgress + other.inProgress, startsPerSecond + other.startsPerSecond)
}

/**
 * The requests that one gateway has at the upstreams of small services.
 *
 * @property gateway the short code of the gateway
 */
public data class GatewayUse(
    public val gateway: String,
    public val ageMillis: Long,
    public val upstreams: Map<UpstreamId, UpstreamUse>,
)

/**
 * What is known of the load of an upstream.
 *
 * @property own requests of this gateway in progress
 * @property others estimated requests of all other gateways in progress
 * @property average the requests of all gateways whose use is known, this one included
 * @property fullFor time for which the upstream is known to be full, zero if it is not
 * @property sinceRejection time since the upstream last rejected a request of this gateway as it was full, or null
 */
public data class ServiceLoad(
    public val own: Int,
    public val others: Double,
    public val average: UpstreamUse,
    public val fullFor: Duration,
    public val sinceRejection: Duration?,
)

/**
 * Thread-safe. Times are milliseconds of a monotonic clock.
 *
 * @param ownCode the short code of this gateway
 */
public class ServiceConcurrency(private val ownCode: String, private val nowMillis: () -> Long) {
    private val records = HashMap<UpstreamId, Record>()
    private val received = HashMap<String, ReceivedUse>()
    private var othersSum = OthersSum(emptyMap(), scale = 0.0, atMillis = 0)

    /** Estimated requests of all gateways in progress at all small services to which this gateway sends requests. */
    public val requestsInProgress: Double
        @Synchronized get() = loadsOf(records.keys).values.sumOf { it.own + it.others }

    /** Returns the loads of the upstreams [service], and records their requests from now on. */
    @Synchronized
    public fun loads(service: Collection<UpstreamId>, slots: (UpstreamId) -> Int): Map<UpstreamId, ServiceLoad> {
        val now = nowMillis()
        for (upstream in service) {
            val record = records.getOrPut(upstream) { Record() }
            record.slots = slots(upstream)
            record.usedAtMillis = now
        }
        return loadsOf(service)
    }

    private fun loadsOf(service: Collection<UpstreamId>): Map<UpstreamId, ServiceLoad> {
        val now = nowMillis()
        if (now - othersSum.atMillis >= SUM_EXPIRY_MILLIS) othersSum = sumOfOthers(now)
        return service.associateWith { upstream ->
            val record = records.getValue(upstream)
            val others = othersSum.upstreams[upstream] ?: NO_USE
            ServiceLoad(
                record.inProgress,
                others.inProgress * othersSum.scale,
                others + record.average(now),
                record.fullFor(now),
                record.sinceRejection(now),
            )
        }
    }

    private fun sumOfOthers(nowMillis: Long): OthersSum {
        received.values.removeIf { nowMillis - it.atMillis > GATEWAY_EXPIRY_MILLIS }
        val fresh = received.values.filter { nowMillis - it.atMillis <= USE_EXPIRY_MILLIS }
        val sums = HashMap<UpstreamId, UpstreamUse>()
        fresh.forEach { use ->
            use.upstreams.forEach { (upstream, added) -> sums.merge(upstream, added, UpstreamUse::plus) }
        }
        // Gateways whose use has expired are assumed to have as many requests as the others have on average.
        val scale = if (fresh.isEmpty()) 0.0 else minOf(received.size.toDouble() / fresh.size, MAXIMUM_SCALE)
        return OthersSum(sums, scale, nowMillis)
    }

    /** Records that a request of this gateway was sent to [upstream]. */
    @Synchronized
    public fun recordStart(upstream: UpstreamId) {
        records[upstream]?.change(1, nowMillis())
    }

    /** Records that a request of this gateway to [upstream] has ended. */
    @Synchronized
    public fun recordEnd(upstream: UpstreamId) {
        records[upstream]?.change(-1, nowMillis())
    }

    /** Records that [upstream] completed a request of this gateway in [duration]. */
    @Synchronized
    public fun recordCompleted(upstream: UpstreamId, duration: Duration) {
        records[upstream]?.recordCompleted(duration.toDouble(DurationUnit.MILLISECONDS))
    }

    /**
     * Records that [upstream] rejected a request of this gateway without running it, as it was full if [isFull]. Such a request
     * does not count as started: a rejection takes no time, and would make the upstream seem fast.
     */
    @Synchronized
    public fun recordNotRun(upstream: UpstreamId, isFull: Boolean) {
        val record = records[upstream] ?: return
        record.withdrawStart(nowMillis())
        if (isFull) record.rejectedAtMillis = nowMillis()
    }

    /** Returns the use of this gateway and the received ones that have not expired, the newest first, for peers. */
    @Synchronized
    public fun uses(): List<GatewayUse> {
        val now = nowMillis()
        records.values.removeIf { now - it.usedAtMillis > SERVICE_EXPIRY_MILLIS && it.inProgress == 0 }
        if (records.isEmpty()) return emptyList()
        val own = GatewayUse(ownCode, ageMillis = 0, records.mapValues { it.value.average(now) })
        val others =
            received.entries
                .filter { now - it.value.atMillis <= USE_EXPIRY_MILLIS }
                .sortedByDescending { it.value.atMillis }
                .map { (gateway, use) -> GatewayUse(gateway, now - use.atMillis, use.upstreams) }
        return listOf(own) + others
    }

    /** Adds the uses that a peer has sent or relayed. Older ones than those known are ignored. */
    @Synchronized
    public fun merge(uses: List<GatewayUse>) {
        val now = nowMillis()
        for (use in uses) {
            val atMillis = now - use.ageMillis
            val previous = received[use.gateway]
            if (use.gateway == ownCode || use.ageMillis > USE_EXPIRY_MILLIS) continue
            if (previous == null || previous.atMillis < atMillis) {
                received[use.gateway] = ReceivedUse(use.upstreams, atMillis)
            }
        }
    }

    /** Removes the uses of all gateways whose codes are not in [gateways], as they have stopped. */
    @Synchronized
    public fun retainGateways(gateways: Set<String>) {
        received.keys.retainAll(gateways)
    }

    /** Removes the records of all upstreams that are not in [known]. */
    @Synchronized
    public fun retainUpstreams(known: Set<UpstreamId>) {
        records.keys.retainAll(known)
    }

    /**
     * The sum of the received uses that have not expired.
     *
     * @property scale the number of all other gateways that use services, relative to those in the sum
     */
    private class OthersSum(val upstreams: Map<UpstreamId, UpstreamUse>, val scale: Double, val atMillis: Long)

    private class ReceivedUse(val upstreams: Map<UpstreamId, UpstreamUse>, val atMillis: Long)

    private class Record {
        var slots = 1
        var usedAtMillis = 0L
        var inProgress = 0
        var rejectedAtMillis: Long? = null
        private var average = NO_USE
        private var averagedAtMillis = 0L
        private var meanResponseMillis: Double? = null

        fun change(difference: Int, nowMillis: Long) {
            val starts = if (difference > 0) MILLIS_PER_SECOND / USE_TIME_CONSTANT_MILLIS else 0.0
            average = average(nowMillis) + UpstreamUse(0.0, starts)
            averagedAtMillis = nowMillis
            // A request that was sent before the upstream was recorded ends without a start.
            inProgress = (inProgress + difference).coerceAtLeast(0)
        }

        fun withdrawStart(nowMillis: Long) {
            val use = average(nowMillis)
            val starts = use.startsPerSecond - MILLIS_PER_SECOND / USE_TIME_CONSTANT_MILLIS
            average = use.copy(startsPerSecond = starts.coerceAtLeast(0.0))
            averagedAtMillis = nowMillis
        }

        fun average(nowMillis: Long): UpstreamUse {
            val remaining = exp(-(nowMillis - averagedAtMillis) / USE_TIME_CONSTANT_MILLIS)
            return UpstreamUse(
                inProgress + (average.inProgress - inProgress) * remaining,
                average.startsPerSecond * remaining,
            )
        }

        fun recordCompleted(millis: Double) {
            rejectedAtMillis = null
            meanResponseMillis = meanResponseMillis?.let { it + (millis - it) * RESPONSE_WEIGHT } ?: millis
        }

        /**
         * A full upstream frees a slot after the response time divided by its slots on average. It cannot have emptied its queue
         * by then.
         */
        fun fullFor(nowMillis: Long): Duration {
            val rejectedAt = rejectedAtMillis ?: return Duration.ZERO
            val slotMillis = ((meanResponseMillis ?: DEFAULT_RESPONSE_MILLIS) / slots).coerceAtMost(MAXIMUM_FULL_MILLIS)
            return (rejectedAt + slotMillis - nowMillis).coerceAtLeast(0.0).milliseconds
        }

        fun sinceRejection(nowMillis: Long): Duration? = rejectedAtMillis?.let { (nowMillis - it).milliseconds }
    }

    private companion object {
        /** Three gossip rounds; older values describe requests that have ended many response times ago. */
        const val USE_EXPIRY_MILLIS = 1_300L

        /** Time after which a gateway without news no longer counts. Membership usually removes it before. */
        const val GATEWAY_EXPIRY_MILLIS = 6_000L

        /** Bounds the work for a request: a sum over 330 gateways is not computed for each. */
        const val SUM_EXPIRY_MILLIS = 50L

        /** Bounds the error when only a few of the gateways are heard. */
        const val MAXIMUM_SCALE = 4.0

        /** Time after the last request of this gateway to a service for which its use is sent. */
        const val SERVICE_EXPIRY_MILLIS = 10_000L
        val NO_USE = UpstreamUse(0.0, 0.0)
        const val RESPONSE_WEIGHT = 0.2
        const val DEFAULT_RESPONSE_MILLIS = 50.0

        /** Bounds the error where responses are long or the upstream has no queue. */
        const val MAXIMUM_FULL_MILLIS = 50.0

        /** With 1 s a slow upstream was found so late that its queue grew to twice the length. */
        const val USE_TIME_CONSTANT_MILLIS = 300.0
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
