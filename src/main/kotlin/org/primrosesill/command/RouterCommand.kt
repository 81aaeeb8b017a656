/*
 * The command that runs one router in the foreground until SIGTERM or SIGINT.
 */
package org.primrosesill.command

import arrow.core.getOrElse
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import com.github.ajalt.clikt.parameters.types.restrictTo
import kotlinx.coroutines.runBlocking
import org.primrosesill.generated.RouterSettings
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.router.startRouter

internal class RouterCommand : CliktCommand("router") {
    private val availabilityZone by option("--availability-zone", help = "Availability zone of this VM.").required()
    private val callerAddress by addressOption("--caller-address", "Listener address for callers.").required()
    private val peerAddress by addressOption("--peer-address", "Listener address for other routers.").required()
    private val operatorAddress by addressOption("--operator-address", "Listener address for operators.").required()
    private val platformAddress by addressOption("--platform-address", "Address of the configuration service, if any.")
    private val peers by addressOption(
        "--peer",
        "Peer addresses of other routers, separated by commas or repeated.",
    ).split(",").multiple()
    private val eventFile by option(
        "--events",
        help = "File to which events are appended; standard output by default.",
    ).path(canBeDir = false)
    private val exchangeIntervalMillis by millisOption(
        "--exchange-interval",
        DEFAULTS.exchangeIntervalMillis,
        "Time between two exchange rounds.",
    )
    private val suspicionTimeoutMillis by millisOption(
        "--suspicion-timeout",
        DEFAULTS.suspicionTimeoutMillis,
        "Time without a heartbeat until a router counts as lost.",
    )
    private val stopNoticeMillis by millisOption(
        "--stop-notice",
        DEFAULTS.stopNoticeMillis,
        "Time to serve callers after a stop signal.",
    )
    private val clockToleranceMillis by millisOption(
        "--clock-tolerance",
        DEFAULTS.clockToleranceMillis,
        "Largest difference between two clocks of the fleet.",
    )
    private val maximumConcurrentRequests by option(
        "--maximum-concurrent-requests",
        help = "Maximum concurrent requests.",
    ).int()
        .restrictTo(min = 1)
        .default(DEFAULTS.maximumConcurrentRequests)
    private val peerToken by option("--peer-token", help = "Bearer token for requests between routers.").default("")
    private val operatorToken by option("--operator-token", help = "Bearer token that operators must send.").default("")

    override fun help(context: Context): String = "Run one router."

    override fun run() {
        // The router closes its listeners after the requests in flight; Ktor's hook would close the listeners first.
        System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
        val router = runBlocking { startRouter(settings()) }.getOrElse { commandFailed(it) }
        Runtime.getRuntime().addShutdownHook(Thread { runBlocking { router.stop() } })
        Thread.currentThread().join()
    }

    private fun settings() =
        RouterSettings(
            availabilityZone = AvailabilityZoneId(availabilityZone),
            callerAddress = callerAddress.toString(),
            peerAddress = peerAddress.toString(),
            operatorAddress = operatorAddress.toString(),
            platformAddress = platformAddress?.toString().orEmpty(),
            peers = peers.flatten().map { it.toString() },
            exchangeIntervalMillis = exchangeIntervalMillis,
            suspicionTimeoutMillis = suspicionTimeoutMillis,
            stopNoticeMillis = stopNoticeMillis,
            clockToleranceMillis = clockToleranceMillis,
            maximumConcurrentRequests = maximumConcurrentRequests,
            peerToken = peerToken,
            operatorToken = operatorToken,
            eventFile = eventFile?.toString().orEmpty(),
        )

    private fun millisOption(name: String, default: Long, help: String) =
        option(name, help = help, metavar = "millis").long().restrictTo(min = 0).default(default)

    private companion object {
        val DEFAULTS = RouterSettings(AvailabilityZoneId(""), "", "", "")
    }
}
