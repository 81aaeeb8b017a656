/*
 * The averages from which the speeds of upstreams are estimated.
 */
package org.primrosesill.load

import org.primrosesill.model.UpstreamId
import kotlin.math.exp
import kotlin.math.sqrt

/** The exponentially weighted average of observations, which may arrive out of order. Not thread-safe. */
internal class SpeedAverage {
    private var weight = 0.0
    private var sum = 0.0
    private var sumOfSquares = 0.0

    /** Time of the latest observation. */
    var atMillis = 0L
        private set

    val isEmpty: Boolean get() = weight == 0.0

    val mean: Double get() = sum / weight

    val dispersion: Double get() = sqrt((sumOfSquares / weight - mean * mean).coerceAtLeast(0.0))

    fun add(value: Double, atMillis: Long) {
        if (isEmpty) this.atMillis = atMillis
        val advance = atMillis - this.atMillis
        if (advance > 0) {
            val remaining = exp(-advance / TIME_CONSTANT_MILLIS)
            weight *= remaining
            sum *= remaining
            sumOfSquares *= remaining
            this.atMillis = atMillis
        }
        val added = if (advance < 0) exp(advance / TIME_CONSTANT_MILLIS) else 1.0
        weight += added
        sum += added * value
        sumOfSquares += added * value * value
    }

    companion object {
        /** Between the length of the slow periods of a machine, about 0.6 s, and that of a fault, several seconds. */
        const val TIME_CONSTANT_MILLIS = 1_000.0
    }
}

/** The durations of comparable work at the upstreams of a pool. Thread-safe. */
internal class PoolDurations {
    private val averages = HashMap<UpstreamId, SpeedAverage>()

    /**
     * Records a duration at [upstream]. Returns it relative to the median of the upstreams, each of which counts once, as a
     * slow upstream has more streams in flight; or null if too few upstreams have been measured.
     */
    @Synchronized
    fun relativeToMedian(upstream: UpstreamId, millis: Double, nowMillis: Long): Double? {
        averages.getOrPut(upstream) { SpeedAverage() }.add(millis, nowMillis)
        val recent = averages.values.filter { nowMillis - it.atMillis < COMPARED_MILLIS }
        if (recent.size < MINIMUM_UPSTREAMS) return null
        return millis / lowerMedian(DoubleArray(recent.size) { recent[it].mean })
    }

    @Synchronized
    fun retain(known: Set<UpstreamId>) {
        averages.keys.retainAll(known)
    }

    private companion object {
        /** Of two upstreams it is not known which one is slow. */
        const val MINIMUM_UPSTREAMS = 3

        /** Long enough that a gateway has measured most upstreams, short enough that the load of the pool is about the same. */
        const val COMPARED_MILLIS = 10_000L
    }
}

/**
 * The prefill rate of the engines of a pool: the median of the latest measurements. Waiting makes a measured rate too low, and
 * a cached part of the prompt of which this gateway does not know makes it too high. Thread-safe.
 */
internal class PrefillRate {
    private val rates = DoubleArray(MEASUREMENTS)
    private var count = 0

    /** The rate in tokens per millisecond, or null until it has been learned. */
    @Volatile
    var tokensPerMillisecond: Double? = null
        private set

    @Synchronized
    fun add(rate: Double) {
        if (rate !in PLAUSIBLE_RATES) return
        rates[count++ % MEASUREMENTS] = rate
        if (count >= MINIMUM_MEASUREMENTS) {
            tokensPerMillisecond = lowerMedian(rates.copyOf(minOf(count, MEASUREMENTS)))
        }
    }

    private companion object {
        const val MEASUREMENTS = 63
        const val MINIMUM_MEASUREMENTS = 5

        /** A rate outside of this range comes from a prompt that waited or was cached. */
        val PLAUSIBLE_RATES = 1.0..2_000.0
    }
}
