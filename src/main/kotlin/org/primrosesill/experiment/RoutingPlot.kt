/*
 * Plots of routing measurements as self-contained SVG files: grouped bars, and lines over time.
 */
package org.primrosesill.experiment

import java.nio.file.Files
import java.nio.file.Path

private const val WIDTH = 960
private const val HEIGHT = 420
private const val LEFT = 60
private const val BOTTOM = 340
private const val TOP = 50
private val colors = listOf("#0b6e4f", "#c8553d", "#588b8b", "#f28f3b", "#8d6a9f", "#333333")

/** Values of one series, for one label each in the order of the plot's labels. */
internal data class PlotSeries(val name: String, val values: List<Double>)

/** Writes load skew (maximum over mean, 10 s average) of each policy and pool to [file]. */
public fun plotSkew(file: Path, results: List<SkewResult>): Unit =
    writeBars(file, "Load skew: maximum over mean, 10 s average", results, limit = 1.25) { it.windowRatio }

/** Writes prompt cache reuse of each policy and pool, as a part of the oracle's, to [file]. */
public fun plotCacheReuse(file: Path, results: List<SkewResult>): Unit =
    writeBars(file, "Prompt cache reuse over that of the oracle", results, limit = 0.9) { it.reuseOfOracle }

/** Writes the p95 time to the first token over time of each policy in the pool [size] to [file]. */
public fun plotZoneOutage(file: Path, results: List<ZoneResult>, size: PoolSize) {
    val buckets = 60_000L until 240_000L step 5_000L
    val series =
        results.filter { it.size == size }.map { result ->
            val byBucket = result.firstTokens.groupBy { it.first / 5_000 * 5_000 }
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
    Files.writeString(file, svg(title, lines(series)))
}

private fun percentile95(values: List<Double>): Double =
    if (values.isEmpty()) 0.0 else values.sorted()[(values.size * 0.95).toInt().coerceAtMost(values.size - 1)]

private fun writeBars(
    file: Path,
    title: String,
    results: List<SkewResult>,
    limit: Double,
    value: (SkewResult) -> Double,
) {
    val sizes = results.map { it.size }.distinct()
    val series =
        results.groupBy { it.policy }.map { (policy, own) ->
            PlotSeries(policy, sizes.map { size -> own.filter { it.size == size }.maxOf(value) })
        }
    val labels = sizes.map { "${it.routers} routers, ${it.engines} engines, ${it.meanLoad}" }
    Files.writeString(file, svg(title, bars(series, labels, limit)))
}

private fun svg(title: String, body: String): String =
    """<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 $WIDTH $HEIGHT" font-size="11">""" +
        """<rect width="100%" height="100%" fill="white"/><text x="$LEFT" y="20" font-size="14">$title</text>$body</svg>"""

private fun legend(series: List<PlotSeries>): String =
    series.withIndex().joinToString("") { (index, one) ->
        val x = LEFT + index * 140
        """<rect x="$x" y="28" width="10" height="10" fill="${colors[index % colors.size]}"/>""" +
            """<text x="${x + 14}" y="37">${one.name}</text>"""
    }

private fun scale(value: Double, highest: Double): Double = BOTTOM - (BOTTOM - TOP) * value / highest

private fun axis(highest: Double): String =
    (0..4).joinToString("") {
        val value = highest * it / 4
        val y = scale(value, highest)
        """<line x1="$LEFT" x2="$WIDTH" y1="$y" y2="$y" stroke="#dddddd"/>""" +
            """<text x="${LEFT - 6}" y="${y + 4}" text-anchor="end">${"%.2f".format(value)}</text>"""
    }

private fun bars(series: List<PlotSeries>, labels: List<String>, limit: Double): String {
    val highest = maxOf(limit, series.maxOf { it.values.max() })
    val groupWidth = (WIDTH - LEFT).toDouble() / labels.size
    val barWidth = groupWidth * 0.8 / series.size
    val rectangles =
        series.withIndex().joinToString("") { (place, one) ->
            one.values.withIndex().joinToString("") { (group, value) ->
                val x = LEFT + group * groupWidth + place * barWidth
                val y = scale(value, highest)
                """<rect x="$x" y="$y" width="$barWidth" height="${BOTTOM - y}" fill="${colors[place % colors.size]}"/>"""
            }
        }
    val texts =
        labels.withIndex().joinToString("") { (group, label) ->
            """<text x="${LEFT + group * groupWidth}" y="${BOTTOM + 16}" font-size="8">$label</text>"""
        }
    val target = scale(limit, highest)
    val line = """<line x1="$LEFT" x2="$WIDTH" y1="$target" y2="$target" stroke="red" stroke-dasharray="4"/>"""
    return axis(highest) + rectangles + texts + line + legend(series)
}

private fun lines(series: List<PlotSeries>): String {
    val highest = series.maxOf { it.values.max() }
    val paths =
        series.withIndex().joinToString("") { (place, one) ->
            val step = (WIDTH - LEFT).toDouble() / (one.values.size - 1)
            val points =
                one.values.withIndex().joinToString(" ") { (index, value) ->
                    "${LEFT + index * step},${scale(value, highest)}"
                }
            """<polyline fill="none" stroke="${colors[place % colors.size]}" stroke-width="1.5" points="$points"/>"""
        }
    return axis(highest) + paths + legend(series)
}
