/*
 * Commands that run one stand-in in the foreground. They are for trials and tests, and are not part of the product.
 */
package org.primrosesill.command

import arrow.core.Either
import arrow.core.getOrElse
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ParameterHolder
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import com.github.ajalt.clikt.parameters.types.restrictTo
import org.primrosesill.event.EventLog
import org.primrosesill.event.jsonEventLog
import org.primrosesill.event.noOpEventLog
import org.primrosesill.generated.EventType
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.SocketAddress
import org.primrosesill.model.UpstreamId
import org.primrosesill.standin.EngineSettings
import org.primrosesill.standin.PlatformSettings
import org.primrosesill.standin.ServiceSettings
import org.primrosesill.standin.StandIn
import org.primrosesill.standin.StandInFailure
import org.primrosesill.standin.startEngine
import org.primrosesill.standin.startPlatform
import org.primrosesill.standin.startService
import java.io.FileOutputStream
import java.io.PrintStream

internal fun standInCommand(): CliktCommand =
    StandInCommand().subcommands(PlatformCommand(), EngineCommand(), ServiceCommand())

private class StandInCommand : CliktCommand("stand-in") {
    override fun help(context: Context): String = "Run a stand-in of the platform, an engine or a service."

    override fun run() {
        // Ktor's shutdown hook would hold up SIGTERM; a stand-in plays a VM that may vanish and ends at once.
        System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
    }
}

private fun ParameterHolder.countOption(name: String, default: Int, help: String) =
    option(name, help = help).int().restrictTo(min = 0).default(default)

private fun ParameterHolder.millisOption(name: String, default: Long, help: String) =
    option(name, help = help, metavar = "millis").long().restrictTo(min = 0).default(default)

/** Prints the address and runs until the process is ended, or ends it with a typed message. */
private fun CliktCommand.runUntilEnded(name: String, started: Either<StandInFailure, StandIn>) {
    val standIn = started.getOrElse { commandFailed(it) }
    echo("$name listens on ${standIn.address}")
    Thread.currentThread().join()
}

/** Options of a stand-in that plays an upstream. */
private class UpstreamOptions : OptionGroup() {
    val address by addressOption("--address", "Where to listen.").required()
    val id by option("--id", help = "Upstream id; equals its VM id.").required()
    val availabilityZone by option("--availability-zone", help = "Zone that events name.")
    val events by option("--events", help = "File that events are appended to.").path(canBeDir = false)

    fun eventLog(): EventLog {
        val file = events ?: return noOpEventLog()
        val output = PrintStream(FileOutputStream(file.toFile(), true), true)
        return jsonEventLog(id, availabilityZone?.let(::AvailabilityZoneId), output, System::currentTimeMillis)
            .also { it.record(EventType.PROCESS_STARTED, "stand-in started") }
    }
}

private class PlatformCommand : CliktCommand("platform") {
    private val defaults = PlatformSettings(SocketAddress("127.0.0.1", 0))
    private val address by addressOption("--address", "Where to listen.").required()
    private val documents by option("--documents", help = "Directory of JSON documents.").path(mustExist = true)
    private val vms by option("--vms", help = "File with a VM list.").path(mustExist = true)
    private val vmLag by millisOption("--vm-lag", defaults.vmLagMillis, "Time before readers see a VM change.")
    private val callsPerSecond by countOption("--calls-per-second", defaults.callsPerSecond, "Calls served.")
    private val weightBytes by option("--weight-bytes", help = "Size of a file in the weight store.")
        .long()
        .default(defaults.weightBytes)
    private val weightRate by option("--weight-bytes-per-second", help = "Rate of the weight store.")
        .long()
        .restrictTo(min = 1)
        .default(defaults.weightBytesPerSecond)

    override fun help(context: Context): String = "Serve configuration, a VM list and weights."

    override fun run() {
        val settings =
            PlatformSettings(
                address,
                documents,
                vms,
                vmLag,
                callsPerSecond,
                weightBytes,
                weightRate,
            )
        runUntilEnded("platform", startPlatform(settings))
    }
}

private class EngineCommand : CliktCommand("engine") {
    private val defaults = EngineSettings(UpstreamId(""))
    private val upstream by UpstreamOptions()
    private val capacity by countOption("--capacity", defaults.capacity, "Requests that run together.")
    private val queueLimit by countOption("--queue-limit", defaults.queueLimit, "Requests that wait.")
    private val firstToken by millisOption("--first-token", defaults.firstTokenMillis, "Time to the first token.")
    private val promptToken by option("--prompt-token-micros", help = "Microseconds for an uncached prompt token.")
        .long()
        .default(defaults.promptTokenMicros)
    private val betweenTokens by millisOption("--between-tokens", defaults.betweenTokensMillis, "Time between tokens.")
    private val batchGrowth by option("--batch-growth", help = "Fraction that each other request adds to both times.")
        .double()
        .default(defaults.batchGrowth)
    private val answerTokens by countOption("--answer-tokens", defaults.answerTokens, "Length without max_tokens.")
    private val cacheTokens by countOption("--cache-tokens", defaults.cacheTokens, "Memory of the prefix cache.")
    private val reportLag by millisOption("--report-lag", defaults.reportLagMillis, "Lag of the load report.")
    private val eventLag by millisOption("--cache-event-lag", defaults.cacheEventLagMillis, "Lag of cache events.")
    private val eventLoss by option("--cache-event-loss", help = "Fraction of cache events that are lost.")
        .double()
        .restrictTo(0.0, 1.0)
        .default(defaults.cacheEventLoss)
    private val cold by millisOption("--cold", defaults.coldMillis, "How long a cold start lasts; 0 starts warm.")
    private val bears by countOption("--bears", defaults.bears, "Requests borne while cold.")
    private val fall by millisOption("--fall", defaults.fallMillis, "How long it refuses all after it fell over.")
    private val unread by millisOption("--unread", defaults.unreadMillis, "Life of a stream that nobody reads.")
    private val ignoreFencing by option("--ignore-fencing", help = "Take orders with an old fencing number.").flag()
    private val seed by option("--seed", help = "Seed of the lost cache events.").long().default(defaults.seed)

    override fun help(context: Context): String = "Serve chat completions."

    override fun run() {
        runUntilEnded(upstream.id, startEngine(upstream.address, settings(), upstream.eventLog()))
    }

    private fun settings(): EngineSettings =
        EngineSettings(
            upstream = UpstreamId(upstream.id),
            capacity = capacity,
            queueLimit = queueLimit,
            firstTokenMillis = firstToken,
            promptTokenMicros = promptToken,
            betweenTokensMillis = betweenTokens,
            batchGrowth = batchGrowth,
            answerTokens = answerTokens,
            cacheTokens = cacheTokens,
            reportLagMillis = reportLag,
            cacheEventLagMillis = eventLag,
            cacheEventLoss = eventLoss,
            coldMillis = cold,
            bears = bears,
            fallMillis = fall,
            unreadMillis = unread,
            fencingCheck = !ignoreFencing,
            seed = seed,
        )
}

private class ServiceCommand : CliktCommand("service") {
    private val defaults = ServiceSettings(UpstreamId(""))
    private val upstream by UpstreamOptions()
    private val stock by countOption("--stock", defaults.stock, "Items of each kind.")
    private val answer by millisOption("--answer", defaults.answerMillis, "Time that a call takes.")

    override fun help(context: Context): String = "Serve a booking desk."

    override fun run() {
        val settings = ServiceSettings(UpstreamId(upstream.id), stock, answer)
        runUntilEnded(upstream.id, startService(upstream.address, settings, upstream.eventLog()))
    }
}
