/*
 * The measurements of a routing trial.
 */
package org.primrosesill.experiment

import org.HdrHistogram.Histogram
import org.primrosesill.routing.loadBound

/** The loads of all engines in service at one time. */
internal class LoadSample(val atMillis: Long, val maximum: Int, val mean: Double, val count: Int)

/** Number of samples in 10 s, which is slightly longer than the mean duration of a request. */
private const val WINDOW_SAMPLES = 40

/** Records the measurements of a routing trial. The load bound is computed with [loadMultiple]. */
internal class TrialMeasures(private val loadMultiple: Double) {
    val samples = mutableListOf<LoadSample>()
    var requests = 0L
    var refusedRequests = 0L
    var promptTokens = 0L
    var cachedTokens = 0L

    /** Number of engine samples, of those above the load bound, and of those above it by more than one request. */
    var engineSamples = 0L
    var samplesOverBound = 0L
    var samplesFarOverBound = 0L

    /** Requests sent to a warm engine that was at its load bound according to the actual loads. */
    var requestsOverBound = 0L

    /** Requests refused by a cold engine at its concurrency limit. */
    var overColdLimit = 0L

    /** Requests started more than 5 s after the zone was taken out of service or the engine began to leave. */
    var lateStarts = 0L
    val firstTokenMillis = Histogram(600_000, 3)

    /** Arrival time and time to the first token of each request, in milliseconds. */
    val firstTokenSamples = mutableListOf<Pair<Long, Double>>()

    val cacheReuse: Double get() = if (promptTokens == 0L) 0.0 else cachedTokens.toDouble() / promptTokens
    val highestSkew: Double get() = samples.maxOfOrNull { it.maximum / it.mean } ?: 0.0
    val meanSkew: Double get() = samples.map { it.maximum / it.mean }.average()

    /** Fraction of the engine samples above the load bound. */
    val overBoundFraction: Double get() = if (engineSamples == 0L) 0.0 else samplesOverBound.toDouble() / engineSamples

    /** Highest load of an engine divided by the mean of the pool, both averaged over [WINDOW_SAMPLES] samples. */
    var highestWindowSkew = 0.0
    private val window = ArrayDeque<Map<Int, Int>>()

    /** Records the loads of the warm engines in service. */
    fun sampleLoads(nowMillis: Long, loadByEngine: Map<Int, Int>) {
        val loads = loadByEngine.values.toList()
        sampleWindow(loadByEngine)
        val total = loads.sum()
        if (total == 0) return
        samples += LoadSample(nowMillis, loads.max(), total.toDouble() / loads.size, loads.size)
        val bound = loadBound(total, loads.size.toDouble(), loadMultiple)
        engineSamples += loads.size
        samplesOverBound += loads.count { it > bound }
        samplesFarOverBound += loads.count { it > bound + 1 }
    }

    private fun sampleWindow(loadByEngine: Map<Int, Int>) {
        window += loadByEngine
        if (window.size > WINDOW_SAMPLES) window.removeFirst()
        if (window.size < WINDOW_SAMPLES) return
        // Engines that joined or left within the window have no average over it.
        val present = window.map { it.keys }.reduce { left, right -> left intersect right }
        val sums = present.map { engine -> window.sumOf { it.getValue(engine) } }
        if (sums.sum() > 0) highestWindowSkew = maxOf(highestWindowSkew, sums.max() / sums.average())
    }

    fun recordPrompt(tokens: Int, cached: Int) {
        promptTokens += tokens
        cachedTokens += cached
    }

    fun recordFirstToken(nowMillis: Long, millis: Double) {
        firstTokenMillis.recordValue(millis.toLong().coerceIn(0, 600_000))
        firstTokenSamples += nowMillis to millis
    }

    /** Returns the p95 time to the first token of the requests that arrived within [range], in milliseconds. */
    fun firstTokenP95(range: LongRange): Double {
        val values = firstTokenSamples.filter { it.first in range }.map { it.second }.sorted()
        return if (values.isEmpty()) 0.0 else values[(values.size * 0.95).toInt().coerceAtMost(values.size - 1)]
    }
}
