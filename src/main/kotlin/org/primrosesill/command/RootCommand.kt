/*
 * The root of the command line. A new command is added to the list of subcommands and to nothing else.
 */
package org.primrosesill.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.context
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.output.MordantHelpFormatter

private val subcommands: Map<String, () -> CliktCommand> =
    mapOf(
        "gateway" to ::GatewayCommand,
        "router" to ::RouterCommand,
        "check" to ::CheckCommand,
        "status" to ::StatusCommand,
        "timeline" to ::TimelineCommand,
        "experiment" to ::experimentCommand,
        "rehearse" to ::RehearsalCommand,
        "stand-in" to ::standInCommand,
    )

/**
 * Returns the `primrosesill` command. Each option can also be given by an environment variable.
 *
 * @param named the subcommand that will run, when it is known; the others are then left out, which shortens the start
 */
public fun rootCommand(named: String? = null): CliktCommand =
    RootCommand()
        .subcommands((subcommands[named]?.let(::listOf) ?: subcommands.values).map { it() })
        .context {
            autoEnvvarPrefix = "PRIMROSESILL"
            helpFormatter = { MordantHelpFormatter(it, showDefaultValues = true) }
        }

private class RootCommand : NoOpCliktCommand("primrosesill") {
    override fun help(context: Context): String = "A fleet of routers between callers and upstreams."

    override fun helpEpilog(context: Context): String =
        "Each option is also read from the environment: --caller-address of the command router is " +
            "PRIMROSESILL_ROUTER_CALLER_ADDRESS."
}

/** Ends the process with [status] after one line of the form `type: detail` on standard error. */
internal fun commandFailed(failure: Any, status: Int = 2): Nothing =
    throw CliktError("Error: $failure", statusCode = status)
