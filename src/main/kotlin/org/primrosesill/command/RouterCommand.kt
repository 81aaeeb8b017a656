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
    private val availabilityZone by option("--availability-zone", help = "Zone of this VM.").required()
    private val caller by addressOption("--caller-address", "Where callers reach this router.").required()
    private val peer by addressOption("--peer-address", "Where other routers reach this router.").required()
    private val operator by addressOption("--operator-address", "Status, metrics and health.").required()
    private val platform by addressOption("--platform-address", "The configuration service; none when left out.")
    private val peers by addressOption(
        "--peer",
        "Peer address of another router; can be repeated.",
    ).split(",").multiple()
    private val events by option("--events", help = "File that event lines are appended to.").path(canBeDir = false)
    private val exchangeInterval by millis(
        "--exchange-interval",
        DEFAULTS.exchangeIntervalMillis,
        "Time between rounds.",
    )
    private val suspicion by millis("--suspicion-timeout", DEFAULTS.suspicionTimeoutMillis, "Silence of a lost router.")
    private val stopNotice by millis("--stop-notice", DEFAULTS.stopNoticeMillis, "Service after a stop was asked for.")
    private val clockTolerance by millis(
        "--clock-tolerance",
        DEFAULTS.clockToleranceMillis,
        "Difference of two clocks.",
    )
    private val maximumRequests by option("--maximum-concurrent-requests", help = "Requests served at once.")
        .int()
        .restrictTo(min = 1)
        .default(DEFAULTS.maximumConcurrentRequests)
    private val peerToken by option("--peer-token", help = "Bearer token between routers.").default("")
    private val operatorToken by option("--operator-token", help = "Bearer token of operators.").default("")

    override fun help(context: Context): String = "Run one router."

    override fun run() {
        // The router stops by its own rules; Ktor's hook would close the listeners first.
        System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
        val router = runBlocking { startRouter(settings()) }.getOrElse { commandFailed(it) }
        Runtime.getRuntime().addShutdownHook(Thread { runBlocking { router.stop() } })
        Thread.currentThread().join()
    }

    private fun settings() =
        RouterSettings(
            availabilityZone = AvailabilityZoneId(availabilityZone),
            callerAddress = caller.toString(),
            peerAddress = peer.toString(),
            operatorAddress = operator.toString(),
            platformAddress = platform?.toString().orEmpty(),
            peers = peers.flatten().map { it.toString() },
            exchangeIntervalMillis = exchangeInterval,
            suspicionTimeoutMillis = suspicion,
            stopNoticeMillis = stopNotice,
            clockToleranceMillis = clockTolerance,
            maximumConcurrentRequests = maximumRequests,
            peerToken = peerToken,
            operatorToken = operatorToken,
            eventFile = events?.toString().orEmpty(),
        )

    private fun millis(name: String, default: Long, help: String) =
        option(name, help = help, metavar = "millis").long().restrictTo(min = 0).default(default)

    private companion object {
        val DEFAULTS = RouterSettings(AvailabilityZoneId(""), "", "", "")
    }
}
