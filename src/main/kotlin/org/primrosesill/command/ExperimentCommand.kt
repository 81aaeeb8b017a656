/*
 * Commands that measure the product's decisions in virtual time, each beside its baselines. The same seed gives the same
 * table.
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
    override fun help(context: Context): String = "Measure the decisions of the fleet beside baselines."
}

/** Prints one table and draws it when asked to; [measure] gets the output, the seed and the sizes. */
private class TableCommand<R>(
    name: String,
    private val title: String,
    private val defaults: List<PoolSize>,
    private val measure: (Appendable, Long, List<PoolSize>) -> List<R>,
    private val draw: (Path, List<R>, List<PoolSize>) -> Unit,
) : CliktCommand(name) {
    private val seed by option("--seed", help = "Seed of the random numbers.").long().default(1)
    private val size by option("--size", help = "One size only: routers, engines and mean load, as in 48,128,15.")
        .convert { text -> parsePoolSize(text) ?: fail("'$text' is not of the form 48,128,15") }

    private val plot by option("--plot", help = "SVG file for a plot of the table.").path(canBeDir = false)

    override fun help(context: Context): String = title

    override fun run() {
        val sizes = size?.let(::listOf) ?: defaults
        val results = measure(System.out, seed, sizes)
        plot?.let { draw(it, results, sizes) }
    }
}

/** Prints a table whose sizes and seeds are fixed. */
private class FleetCommand(name: String, private val title: String, private val measure: () -> Unit) :
    CliktCommand(name) {
    override fun help(context: Context): String = title

    override fun run() = measure()
}

private fun parsePoolSize(text: String): PoolSize? {
    val numbers = text.split(',').map { it.toDoubleOrNull() ?: return null }
    return if (numbers.size == 3) PoolSize(numbers[0].toInt(), numbers[1].toInt(), numbers[2]) else null
}

private val experiments: List<CliktCommand>
    get() =
        listOf(
            TableCommand(
                "skew",
                "Load of the busiest engine over the mean.",
                routingPoolSizes,
                ::printSkew,
            ) { file, results, _ -> plotSkew(file, results) },
            TableCommand(
                "cache-reuse",
                "Prompt cache reuse while engines churn.",
                routingPoolSizes,
                ::printCacheReuse,
            ) { file, results, _ -> plotCacheReuse(file, results) },
            FleetCommand("control-traffic", "Control bytes a second of a node, by the size of the fleet.") {
                printExchangeTraffic(measureExchangeTraffic())
            },
            FleetCommand("dissemination", "Messages and rounds of ways to spread news.") {
                printDissemination(compareDissemination())
            },
            TableCommand(
                "zone",
                "Service while a zone leaves and returns.",
                zonePoolSizes,
                ::printZoneOutage,
            ) { file, results, sizes -> plotZoneOutage(file, results, sizes.first()) },
        )
