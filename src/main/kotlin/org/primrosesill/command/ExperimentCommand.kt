/*
 * Commands that measure the product's decisions in virtual time, each beside its baselines. The same seed gives the same
 * table.
 */
package org.primrosesill.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import org.primrosesill.experiment.printCacheReuse
import org.primrosesill.experiment.printSkew
import org.primrosesill.experiment.printZoneOutage

internal fun experimentCommand(): CliktCommand = ExperimentCommand().subcommands(experiments)

private class ExperimentCommand : NoOpCliktCommand("experiment") {
    override fun help(context: Context): String = "Measure the decisions of the fleet beside baselines."
}

/** Prints one table; [measure] gets the output and the seed. */
private class TableCommand(name: String, private val title: String, private val measure: (Appendable, Long) -> Unit) :
    CliktCommand(name) {
    private val seed by option("--seed", help = "Seed of the random numbers.").long().default(1)

    override fun help(context: Context): String = title

    override fun run() = measure(System.out, seed)
}

private val experiments: List<CliktCommand>
    get() =
        listOf(
            TableCommand(
                "skew",
                "Load of the busiest engine over the mean.",
            ) { output, seed -> printSkew(output, seed) },
            TableCommand("cache-reuse", "Prompt cache reuse while engines churn.") { output, seed ->
                printCacheReuse(output, seed)
            },
            TableCommand(
                "zone",
                "Service while a zone leaves and returns.",
            ) { output, seed -> printZoneOutage(output, seed) },
        )
