/*
 * The root of the command line. A new subcommand only needs an entry in the map of factories.
 */
package org.primrosesill.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.context
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.output.MordantHelpFormatter

private val subcommandFactories: Map<String, () -> CliktCommand> =
    mapOf(
        "gateway" to ::GatewayCommand,
        "router" to ::RouterCommand,
        "check" to ::CheckCommand,
        "check-configuration" to ::CheckConfigurationCommand,
        "status" to ::StatusCommand,
        "timeline" to ::TimelineCommand,
        "experiment" to ::experimentCommand,
        "rehearse" to ::RehearsalCommand,
        "stand-in" to ::standInCommand,
    )

/**
 * Returns the `primrosesill` command. Every option can also be set by an environment variable.
 *
 * @param subcommand the subcommand to run, if known; the others are then not created, which shortens the start
 */
public fun rootCommand(subcommand: String? = null): CliktCommand =
    RootCommand()
        .subcommands((subcommandFactories[subcommand]?.let(::listOf) ?: subcommandFactories.values).map { it() })
        .context {
            autoEnvvarPrefix = "PRIMROSESILL"
            helpFormatter = { MordantHelpFormatter(it, showDefaultValues = true) }
        }

private class RootCommand : NoOpCliktCommand("primrosesill") {
    override fun help(context: Context): String = "A fleet of HTTP routers between callers and upstreams."

    override fun helpEpilog(context: Context): String =
        "Every option can also be set by an environment variable: --caller-address of the router command is " +
            "PRIMROSESILL_ROUTER_CALLER_ADDRESS."
}

/** Ends the process with exit status [status] and prints [failure], of the form `type: detail`, on standard error. */
internal fun commandFailed(failure: Any, status: Int = 2): Nothing =
    throw CliktError("Error: $failure", statusCode = status)
