/*
 * Commands that run one stand-in for an outside system in the foreground. Stand-ins serve tests and experiments and are
 * not part of the product.
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
    override fun help(context: Context): String = "Run a stand-in for the platform, an engine or a service."

    override fun run() {
        // Ktor's shutdown hook would delay the exit. A stand-in models a VM that can fail, so it ends at once.
        System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
    }
}

private fun ParameterHolder.countOption(name: String, default: Int, help: String) =
    option(name, help = help).int().restrictTo(min = 0).default(default)

private fun ParameterHolder.millisOption(name: String, default: Long, help: String) =
    option(name, help = help, metavar = "millis").long().restrictTo(min = 0).default(default)

/** Prints the address and blocks until the process is terminated. A failed start ends the process with its failure. */
private fun CliktCommand.runUntilTerminated(name: String, started: Either<StandInFailure, StandIn>) {
    val standIn = started.getOrElse { commandFailed(it) }
    echo("$name listens on ${standIn.address}")
    Thread.currentThread().join()
}

/** Options of a stand-in for an upstream. */
private class UpstreamOptions : OptionGroup() {
    val address by addressOption("--address", "Listener address.").required()
    val id by option("--id", help = "Upstream id, which is also the VM id.").required()
    val availabilityZone by option("--availability-zone", help = "Availability zone recorded in events.")
    val eventFile by option("--events", help = "File to which events are appended.").path(canBeDir = false)

    fun eventLog(): EventLog {
        val file = eventFile ?: return noOpEventLog()
        val output = PrintStream(FileOutputStream(file.toFile(), true), true)
        return jsonEventLog(id, availabilityZone?.let(::AvailabilityZoneId), output, System::currentTimeMillis)
            .also { it.record(EventType.PROCESS_STARTED, "stand-in started") }
    }
}

private class PlatformCommand : CliktCommand("platform") {
    private val defaults = PlatformSettings(SocketAddress("127.0.0.1", 0))
    private val address by addressOption("--address", "Listener address.").required()
    private val documents by option("--documents", help = "Directory of JSON documents.").path(mustExist = true)
    private val vms by option("--vms", help = "JSON file with a VM list.").path(mustExist = true)
    private val vmLagMillis by millisOption(
        "--vm-lag",
        defaults.vmLagMillis,
        "Delay before readers receive a VM change.",
    )
    private val callsPerSecond by countOption(
        "--calls-per-second",
        defaults.callsPerSecond,
        "Maximum calls per second.",
    )
    private val weightBytes by option("--weight-bytes", help = "Size in bytes of each file in the weight store.")
        .long()
        .default(defaults.weightBytes)
    private val weightBytesPerSecond by option("--weight-bytes-per-second", help = "Transfer rate of the weight store.")
        .long()
        .restrictTo(min = 1)
        .default(defaults.weightBytesPerSecond)

    override fun help(context: Context): String = "Serve configuration documents, a VM list and weight files."

    override fun run() {
        val settings =
            PlatformSettings(
                address,
                documents,
                vms,
                vmLagMillis,
                callsPerSecond,
                weightBytes,
                weightBytesPerSecond,
            )
        runUntilTerminated("platform", startPlatform(settings))
    }
}

private class EngineCommand : CliktCommand("engine") {
    private val defaults = EngineSettings(UpstreamId(""))
    private val upstream by UpstreamOptions()
    private val capacity by countOption("--capacity", defaults.capacity, "Maximum running requests.")
    private val queueLimit by countOption("--queue-limit", defaults.queueLimit, "Maximum queued requests.")
    private val firstTokenMillis by millisOption("--first-token", defaults.firstTokenMillis, "Time to the first token.")
    private val promptTokenMicros by option(
        "--prompt-token-micros",
        help = "Microseconds to process an uncached prompt token.",
    ).long()
        .default(defaults.promptTokenMicros)
    private val betweenTokensMillis by millisOption(
        "--between-tokens",
        defaults.betweenTokensMillis,
        "Time between tokens.",
    )
    private val batchGrowth by option(
        "--batch-growth",
        help = "Fraction that each other running request adds to both times.",
    ).double()
        .default(defaults.batchGrowth)
    private val answerTokens by countOption(
        "--answer-tokens",
        defaults.answerTokens,
        "Output tokens without max_tokens.",
    )
    private val cacheTokens by countOption("--cache-tokens", defaults.cacheTokens, "Size of the prefix cache.")
    private val reportLagMillis by millisOption("--report-lag", defaults.reportLagMillis, "Delay of load reports.")
    private val cacheEventLagMillis by millisOption(
        "--cache-event-lag",
        defaults.cacheEventLagMillis,
        "Delay of cache events.",
    )
    private val cacheEventLoss by option("--cache-event-loss", help = "Fraction of cache events that are lost.")
        .double()
        .restrictTo(0.0, 1.0)
        .default(defaults.cacheEventLoss)
    private val coldMillis by millisOption(
        "--cold",
        defaults.coldMillis,
        "Duration of the cold state at the start; 0 starts warm.",
    )
    private val coldConcurrencyLimit by countOption("--bears", defaults.bears, "Maximum requests while cold.")
    private val fallMillis by millisOption(
        "--fall",
        defaults.fallMillis,
        "Time for which all requests are refused after an overload.",
    )
    private val unreadMillis by millisOption("--unread", defaults.unreadMillis, "Time until an unread stream ends.")
    private val ignoreFencing by option("--ignore-fencing", help = "Accept orders with an old fencing number.").flag()
    private val seed by option("--seed", help = "Seed that selects lost cache events.").long().default(defaults.seed)

    override fun help(context: Context): String = "Serve chat completions."

    override fun run() {
        runUntilTerminated(upstream.id, startEngine(upstream.address, settings(), upstream.eventLog()))
    }

    private fun settings(): EngineSettings =
        EngineSettings(
            upstream = UpstreamId(upstream.id),
            capacity = capacity,
            queueLimit = queueLimit,
            firstTokenMillis = firstTokenMillis,
            promptTokenMicros = promptTokenMicros,
            betweenTokensMillis = betweenTokensMillis,
            batchGrowth = batchGrowth,
            answerTokens = answerTokens,
            cacheTokens = cacheTokens,
            reportLagMillis = reportLagMillis,
            cacheEventLagMillis = cacheEventLagMillis,
            cacheEventLoss = cacheEventLoss,
            coldMillis = coldMillis,
            bears = coldConcurrencyLimit,
            fallMillis = fallMillis,
            unreadMillis = unreadMillis,
            fencingCheck = !ignoreFencing,
            seed = seed,
        )
}

private class ServiceCommand : CliktCommand("service") {
    private val defaults = ServiceSettings(UpstreamId(""))
    private val upstream by UpstreamOptions()
    private val stock by countOption("--stock", defaults.stock, "Initial quantity of each item.")
    private val answerMillis by millisOption("--answer", defaults.answerMillis, "Processing time of a call.")

    override fun help(context: Context): String = "Serve bookings."

    override fun run() {
        val settings = ServiceSettings(UpstreamId(upstream.id), stock, answerMillis)
        runUntilTerminated(upstream.id, startService(upstream.address, settings, upstream.eventLog()))
    }
}
