/*
 * Plots of routing experiments as self-contained SVG files: grouped bars, and lines over time.
 */
package org.primrosesill.experiment

import java.nio.file.Files
import java.nio.file.Path

// Lengths are in units of the SVG view box.
private const val WIDTH = 960
private const val HEIGHT = 420
private const val PLOT_LEFT = 60
private const val PLOT_BOTTOM = 340
private const val PLOT_TOP = 50
private val colors = listOf("#0b6e4f", "#c8553d", "#588b8b", "#f28f3b", "#8d6a9f", "#333333")

/** Values of one series in the order of the labels of the plot. */
internal data class PlotSeries(val name: String, val values: List<Double>)

/** Writes a plot of the load skew (maximum over mean, 10 s average) of each policy and pool to [file]. */
public fun plotSkew(file: Path, results: List<RoutingResult>): Unit =
    writeBars(file, "Load skew: maximum over mean, 10 s average", results, target = 1.25) { it.highestWindowSkew }

/** Writes a plot of the prompt cache reuse of each policy and pool, relative to the oracle, to [file]. */
public fun plotCacheReuse(file: Path, results: List<RoutingResult>): Unit =
    writeBars(file, "Prompt cache reuse relative to the oracle", results, target = 0.9) { it.relativeCacheReuse }

/** Writes a plot of the p95 time to the first token of each policy over time, in the pool [size], to [file]. */
public fun plotZoneOutage(file: Path, results: List<ZoneOutageResult>, size: PoolSize) {
    val buckets = 60_000L until 240_000L step 5_000L
    val series =
        results.filter { it.size == size }.map { result ->
            val byBucket = result.firstTokenSamples.groupBy { it.first / 5_000 * 5_000 }
            PlotSeries(
                result.policy,
                buckets.map {
                    percentile95(
                        byBucket[it].orEmpty().map { sample ->
                            sample.second
                        },
                    )
                },
            )
        }
    val title = "p95 time to the first token in ms; one of three zones out from 120 s to 180 s"
    Files.writeString(file, svg(title, linePlot(series)))
}

private fun percentile95(values: List<Double>): Double =
    if (values.isEmpty()) 0.0 else values.sorted()[(values.size * 0.95).toInt().coerceAtMost(values.size - 1)]

private fun writeBars(
    file: Path,
    title: String,
    results: List<RoutingResult>,
    target: Double,
    value: (RoutingResult) -> Double,
) {
    val sizes = results.map { it.size }.distinct()
    val series =
        results.groupBy { it.policy }.map { (policy, policyResults) ->
            PlotSeries(policy, sizes.map { size -> policyResults.filter { it.size == size }.maxOf(value) })
        }
    val labels = sizes.map { "${it.routers} routers, ${it.engines} engines, ${it.meanLoad}" }
    Files.writeString(file, svg(title, barPlot(series, labels, target)))
}

private fun svg(title: String, body: String): String =
    """<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 $WIDTH $HEIGHT" font-size="11">""" +
        """<rect width="100%" height="100%" fill="white"/><text x="$PLOT_LEFT" y="20" font-size="14">$title</text>$body</svg>"""

private fun legend(series: List<PlotSeries>): String =
    series.withIndex().joinToString("") { (index, current) ->
        val x = PLOT_LEFT + index * 140
        """<rect x="$x" y="28" width="10" height="10" fill="${colors[index % colors.size]}"/>""" +
            """<text x="${x + 14}" y="37">${current.name}</text>"""
    }

private fun scale(value: Double, highest: Double): Double = PLOT_BOTTOM - (PLOT_BOTTOM - PLOT_TOP) * value / highest

private fun gridLines(highest: Double): String =
    (0..4).joinToString("") {
        val value = highest * it / 4
        val y = scale(value, highest)
        """<line x1="$PLOT_LEFT" x2="$WIDTH" y1="$y" y2="$y" stroke="#dddddd"/>""" +
            """<text x="${PLOT_LEFT - 6}" y="${y + 4}" text-anchor="end">${"%.2f".format(value)}</text>"""
    }

private fun barPlot(series: List<PlotSeries>, labels: List<String>, target: Double): String {
    val highest = maxOf(target, series.maxOf { it.values.max() })
    val groupWidth = (WIDTH - PLOT_LEFT).toDouble() / labels.size
    val barWidth = groupWidth * 0.8 / series.size
    val rectangles =
        series.withIndex().joinToString("") { (seriesIndex, current) ->
            current.values.withIndex().joinToString("") { (groupIndex, value) ->
                val x = PLOT_LEFT + groupIndex * groupWidth + seriesIndex * barWidth
                val y = scale(value, highest)
                """<rect x="$x" y="$y" width="$barWidth" height="${PLOT_BOTTOM - y}" fill="${colors[seriesIndex % colors.size]}"/>"""
            }
        }
    val texts =
        labels.withIndex().joinToString("") { (groupIndex, label) ->
            """<text x="${PLOT_LEFT + groupIndex * groupWidth}" y="${PLOT_BOTTOM + 16}" font-size="8">$label</text>"""
        }
    val targetY = scale(target, highest)
    val line = """<line x1="$PLOT_LEFT" x2="$WIDTH" y1="$targetY" y2="$targetY" stroke="red" stroke-dasharray="4"/>"""
    return gridLines(highest) + rectangles + texts + line + legend(series)
}

private fun linePlot(series: List<PlotSeries>): String {
    val highest = series.maxOf { it.values.max() }
    val paths =
        series.withIndex().joinToString("") { (seriesIndex, current) ->
            val step = (WIDTH - PLOT_LEFT).toDouble() / (current.values.size - 1)
            val points =
                current.values.withIndex().joinToString(" ") { (index, value) ->
                    "${PLOT_LEFT + index * step},${scale(value, highest)}"
                }
            """<polyline fill="none" stroke="${colors[seriesIndex % colors.size]}" stroke-width="1.5" points="$points"/>"""
        }
    return gridLines(highest) + paths + legend(series)
}
