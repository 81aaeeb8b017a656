/*
 * What a routing trial counts.
 */
package org.primrosesill.experiment

import org.HdrHistogram.Histogram
import org.primrosesill.routing.loadBound

/** Loads over the engines in service at one sample. */
internal class LoadSample(val atMillis: Long, val maximum: Int, val mean: Double, val count: Int)

/** Samples of 10 s, a little more than one request takes. */
private const val WINDOW_SAMPLES = 40

internal class TrialMeasures(private val loadMultiple: Double) {
    val samples = mutableListOf<LoadSample>()
    var requests = 0L
    var refused = 0L
    var promptTokens = 0L
    var cachedTokens = 0L

    /** Engine samples, and those of them over the bound for whole requests and over it by more than one. */
    var engineSamples = 0L
    var overBound = 0L
    var overBoundByMore = 0L

    /** Requests sent to an engine that the true loads would not have allowed. */
    var sentOverBound = 0L

    /** Requests that reached a cold engine beyond what it bears. */
    var overBears = 0L

    /** Requests started in a zone, or at an engine, over 5 s after it was taken out or began to leave. */
    var startedTooLate = 0L
    val firstTokenMillis = Histogram(600_000, 3)
    val firstTokenByTime = mutableListOf<Pair<Long, Double>>()

    val reuse: Double get() = if (promptTokens == 0L) 0.0 else cachedTokens.toDouble() / promptTokens
    val worstRatio: Double get() = samples.maxOfOrNull { it.maximum / it.mean } ?: 0.0
    val meanRatio: Double get() = samples.map { it.maximum / it.mean }.average()

    /** Part of the engine samples over the bound for whole requests. */
    val overShare: Double get() = if (engineSamples == 0L) 0.0 else overBound.toDouble() / engineSamples

    /** Highest load of an engine over that of its pool, both as averages over [WINDOW_SAMPLES] samples. */
    var worstWindowRatio = 0.0
    private val window = ArrayDeque<Map<Int, Int>>()

    /** Takes the loads of the engines that are in service and warm. */
    fun sampleLoads(nowMillis: Long, loadByEngine: Map<Int, Int>) {
        val loads = loadByEngine.values.toList()
        sampleWindow(loadByEngine)
        val total = loads.sum()
        if (total == 0) return
        samples += LoadSample(nowMillis, loads.max(), total.toDouble() / loads.size, loads.size)
        val bound = loadBound(total, loads.size.toDouble(), loadMultiple)
        engineSamples += loads.size
        overBound += loads.count { it > bound }
        overBoundByMore += loads.count { it > bound + 1 }
    }

    private fun sampleWindow(loadByEngine: Map<Int, Int>) {
        window += loadByEngine
        if (window.size > WINDOW_SAMPLES) window.removeFirst()
        if (window.size < WINDOW_SAMPLES) return
        // Engines that came or went within the window have no average over it.
        val present = window.map { it.keys }.reduce { left, right -> left intersect right }
        val sums = present.map { engine -> window.sumOf { it.getValue(engine) } }
        if (sums.sum() > 0) worstWindowRatio = maxOf(worstWindowRatio, sums.max() / sums.average())
    }

    fun recordPrompt(tokens: Int, cached: Int) {
        promptTokens += tokens
        cachedTokens += cached
    }

    fun recordFirstToken(nowMillis: Long, millis: Double) {
        firstTokenMillis.recordValue(millis.toLong().coerceIn(0, 600_000))
        firstTokenByTime += nowMillis to millis
    }

    /** p95 of the time to the first token of requests that started within [range], in milliseconds. */
    fun firstTokenP95(range: LongRange): Double {
        val values = firstTokenByTime.filter { it.first in range }.map { it.second }.sorted()
        return if (values.isEmpty()) 0.0 else values[(values.size * 0.95).toInt().coerceAtMost(values.size - 1)]
    }
}
