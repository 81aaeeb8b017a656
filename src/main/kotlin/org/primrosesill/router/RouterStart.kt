/*
 * The start of one router: checks the settings, binds the listeners, and starts the loops.
 */
package org.primrosesill.router

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.primrosesill.concurrent.launchEvery
import org.primrosesill.event.EventLog
import org.primrosesill.event.jsonEventLog
import org.primrosesill.generated.EventType
import org.primrosesill.generated.RouterSettings
import org.primrosesill.http.PlatformClient
import org.primrosesill.http.PlatformClientSettings
import org.primrosesill.http.callerListener
import org.primrosesill.http.operatorListener
import org.primrosesill.http.peerListener
import org.primrosesill.model.SocketAddress
import org.primrosesill.model.parseSocketAddress
import java.io.FileOutputStream
import java.io.IOException
import java.io.PrintStream
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How often tables advance and views are published. A fifth of the shortest time-out in the tables. */
private val TICK_INTERVAL = 200.milliseconds

private val LOAD_POLL_INTERVAL = 500.milliseconds
private val CATCH_UP_INTERVAL = 250.milliseconds
private val TOKEN_REPORT_INTERVAL = 1.seconds
private val READY_POLL = 20.milliseconds

/** Starts a router and returns when its listeners are bound. It becomes ready when it has a configuration. */
public suspend fun startRouter(settings: RouterSettings): Either<RouterFailure, RouterProcess> =
    either {
        val addresses = listenAddresses(settings)
        val self = newIncarnation(settings, System.currentTimeMillis())
        val events = openEventLog(settings, self.router.value)
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        val parts = RouterParts(settings, self, events, scope)
        events.record(EventType.PROCESS_STARTED, "router on ${settings.callerAddress}, peers ${settings.peerAddress}")
        val listeners = startListeners(settings, addresses, parts, scope)
        startLoops(settings, parts, scope)
        RunningRouter(settings, parts, listeners, scope)
    }

private class ListenAddresses(val caller: SocketAddress, val peer: SocketAddress, val operator: SocketAddress)

private fun Raise<RouterFailure>.listenAddresses(settings: RouterSettings): ListenAddresses {
    ensure(settings.availabilityZone.value.isNotEmpty()) {
        RouterFailure.InvalidSetting("availability zone", "must not be empty")
    }
    return ListenAddresses(
        caller = listenAddress("caller address", settings.callerAddress),
        peer = listenAddress("peer address", settings.peerAddress),
        operator = listenAddress("operator address", settings.operatorAddress),
    )
}

private fun Raise<RouterFailure>.listenAddress(setting: String, text: String): SocketAddress =
    parseSocketAddress(text).fold({ raise(RouterFailure.InvalidSetting(setting, it.toString())) }, { it })

private fun Raise<RouterFailure>.openEventLog(settings: RouterSettings, process: String): EventLog {
    val output =
        if (settings.eventFile.isEmpty()) {
            System.out
        } else {
            try {
                PrintStream(FileOutputStream(settings.eventFile, true), true)
            } catch (failure: IOException) {
                raise(RouterFailure.FileNotUsable(settings.eventFile, failure.message.orEmpty()))
            }
        }
    return jsonEventLog(process, settings.availabilityZone, output, System::currentTimeMillis)
}

private suspend fun Raise<RouterFailure>.startListeners(
    settings: RouterSettings,
    addresses: ListenAddresses,
    parts: RouterParts,
    scope: CoroutineScope,
): RouterListeners {
    val messages =
        PeerMessages(
            control = parts.control,
            state = parts.state,
            voter = parts.voter,
            leases = parts.limits::grant,
            reservations = parts.reservations::grant,
            currentMillis = parts.currentMillis,
        )
    val caller = callerListener(addresses.caller.host, addresses.caller.port, parts.flow)
    val peer = peerListener(addresses.peer, messages, settings.peerToken)
    val operator = operatorListener(addresses.operator, StatusSource(parts), parts.metrics, settings.operatorToken)
    try {
        bind("peer address", addresses.peer) { peer.startSuspend(wait = false) }
        bind("operator address", addresses.operator) { operator.startSuspend(wait = false) }
        bind("caller address", addresses.caller) { caller.start() }
    } catch (failure: BindException) {
        scope.cancel()
        parts.close()
        raise(RouterFailure.AddressNotUsable(failure.setting, failure.address, failure.message.orEmpty()))
    }
    return RouterListeners(caller, peer, operator)
}

private class BindException(val setting: String, val address: String, cause: IOException) :
    IOException(cause.message, cause)

private suspend fun bind(setting: String, address: SocketAddress, start: suspend () -> Unit) =
    try {
        start()
    } catch (failure: IOException) {
        throw BindException(setting, address.toString(), failure)
    }

private fun startLoops(settings: RouterSettings, parts: RouterParts, scope: CoroutineScope) {
    val exchange = ExchangeLoop(parts.control, parts.state, parts.peers, parts.currentMillis)
    val polling = LoadPollLoop(parts.control, parts.state, parts.loadReports, parts.currentMillis)
    val catchUp = CatchUpLoop(parts.control, parts.state, parts.peers, parts.currentMillis)
    scope.launchEvery(settings.exchangeInterval) { exchange.runRound() }
    scope.launchEvery(LOAD_POLL_INTERVAL) { polling.poll() }
    scope.launchEvery(CATCH_UP_INTERVAL) { catchUp.catchUp() }
    scope.launchEvery(TICK_INTERVAL) { parts.control.run { parts.state.tick(parts.currentMillis()) } }
    if (settings.platformAddress.isNotEmpty()) scope.launch { platformLoop(settings, parts).run() }
    scope.launchEvery(TOKEN_REPORT_INTERVAL) { parts.limits.report() }
    scope.launch { recordReady(parts) }
}

private fun platformLoop(settings: RouterSettings, parts: RouterParts) =
    PlatformLoop(
        self = parts.self,
        control = parts.control,
        state = parts.state,
        views = parts.views,
        client = PlatformClient(PlatformClientSettings(settings.platformAddress)),
        events = parts.events,
        currentMillis = parts.currentMillis,
    )

private suspend fun recordReady(parts: RouterParts) {
    while (parts.notReadyBecause() != null) delay(READY_POLL)
    parts.events.record(EventType.PROCESS_READY, "a configuration is in force")
}
