/*
 * Commands that simulate the fleet in virtual time and compare the product with baselines. The output depends only on
 * the seed and the sizes.
 */
package org.primrosesill.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import org.primrosesill.experiment.PoolSize
import org.primrosesill.experiment.compareDissemination
import org.primrosesill.experiment.measureExchangeTraffic
import org.primrosesill.experiment.plotCacheReuse
import org.primrosesill.experiment.plotSkew
import org.primrosesill.experiment.plotZoneOutage
import org.primrosesill.experiment.printCacheReuse
import org.primrosesill.experiment.printDissemination
import org.primrosesill.experiment.printExchangeTraffic
import org.primrosesill.experiment.printSkew
import org.primrosesill.experiment.printZoneOutage
import org.primrosesill.experiment.routingPoolSizes
import org.primrosesill.experiment.zonePoolSizes
import java.nio.file.Path

internal fun experimentCommand(): CliktCommand = ExperimentCommand().subcommands(experiments)

private class ExperimentCommand : NoOpCliktCommand("experiment") {
    override fun help(context: Context): String = "Simulate the fleet and compare its decisions with baselines."
}

/**
 * Prints a table of measurements and writes a plot of it if a file is given. The arguments of [measure] are the output,
 * the seed and the pool sizes.
 */
private class SeededExperimentCommand<R>(
    name: String,
    private val description: String,
    private val defaultSizes: List<PoolSize>,
    private val measure: (Appendable, Long, List<PoolSize>) -> List<R>,
    private val writePlot: (Path, List<R>, List<PoolSize>) -> Unit,
) : CliktCommand(name) {
    private val seed by option("--seed", help = "Seed of the random number generator.").long().default(1)
    private val size by option("--size", help = "Measure one size only: routers, engines, mean load, as in 48,128,15.")
        .convert { text -> parsePoolSize(text) ?: fail("'$text' is not three numbers such as 48,128,15") }

    private val plot by option("--plot", help = "SVG file for a plot of the table.").path(canBeDir = false)

    override fun help(context: Context): String = description

    override fun run() {
        val sizes = size?.let(::listOf) ?: defaultSizes
        val results = measure(System.out, seed, sizes)
        plot?.let { writePlot(it, results, sizes) }
    }
}

/** Prints a table of measurements with fixed fleet sizes and seeds. */
private class FixedExperimentCommand(name: String, private val description: String, private val measure: () -> Unit) :
    CliktCommand(name) {
    override fun help(context: Context): String = description

    override fun run() = measure()
}

private fun parsePoolSize(text: String): PoolSize? {
    val numbers = text.split(',').map { it.toDoubleOrNull() ?: return null }
    return if (numbers.size == 3) PoolSize(numbers[0].toInt(), numbers[1].toInt(), numbers[2]) else null
}

private val experiments: List<CliktCommand>
    get() =
        listOf(
            SeededExperimentCommand(
                "skew",
                "Measure the load of the busiest engine relative to the mean.",
                routingPoolSizes,
                ::printSkew,
            ) { file, results, _ -> plotSkew(file, results) },
            SeededExperimentCommand(
                "cache-reuse",
                "Measure prompt cache reuse while engines join, leave and fail.",
                routingPoolSizes,
                ::printCacheReuse,
            ) { file, results, _ -> plotCacheReuse(file, results) },
            FixedExperimentCommand("control-traffic", "Measure control traffic per node by fleet size.") {
                printExchangeTraffic(measureExchangeTraffic())
            },
            FixedExperimentCommand("dissemination", "Compare the messages and rounds of dissemination protocols.") {
                printDissemination(compareDissemination())
            },
            SeededExperimentCommand(
                "zone",
                "Measure service while an availability zone is taken out and returned.",
                zonePoolSizes,
                ::printZoneOutage,
            ) { file, results, sizes -> plotZoneOutage(file, results, sizes.first()) },
        )
