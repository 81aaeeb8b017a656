/*
 * Router startup: validates the settings, binds the listeners, and starts the background loops.
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
import org.primrosesill.concurrent.launchWithRestart
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

/** Interval for expiring table entries and publishing views. A fifth of the shortest timeout in the tables. */
private val TICK_INTERVAL = 200.milliseconds

private val LOAD_POLL_INTERVAL = 500.milliseconds
private val CATCH_UP_INTERVAL = 250.milliseconds
private val TOKEN_REPORT_INTERVAL = 1.seconds
private val READY_POLL_INTERVAL = 20.milliseconds

/** Starts a router and returns once its listeners are bound. The router becomes ready once it has a configuration. */
public suspend fun startRouter(settings: RouterSettings): Either<RouterStartError, RouterProcess> =
    either {
        val addresses = listenAddresses(settings)
        val self = newIncarnation(settings, System.currentTimeMillis())
        val events = openEventLog(settings, self.router.value)
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        val components = RouterComponents(settings, self, events, scope)
        events.record(EventType.PROCESS_STARTED, "router on ${settings.callerAddress}, peers ${settings.peerAddress}")
        val listeners = startListeners(settings, addresses, components, scope)
        startLoops(settings, components, scope)
        RunningRouter(settings, components, listeners, scope)
    }

private class ListenAddresses(val caller: SocketAddress, val peer: SocketAddress, val operator: SocketAddress)

private fun Raise<RouterStartError>.listenAddresses(settings: RouterSettings): ListenAddresses {
    ensure(settings.availabilityZone.value.isNotEmpty()) {
        RouterStartError.InvalidSetting("availability zone", "must not be empty")
    }
    return ListenAddresses(
        caller = listenAddress("caller address", settings.callerAddress),
        peer = listenAddress("peer address", settings.peerAddress),
        operator = listenAddress("operator address", settings.operatorAddress),
    )
}

private fun Raise<RouterStartError>.listenAddress(setting: String, text: String): SocketAddress =
    parseSocketAddress(text).fold({ raise(RouterStartError.InvalidSetting(setting, it.toString())) }, { it })

private fun Raise<RouterStartError>.openEventLog(settings: RouterSettings, process: String): EventLog {
    val output =
        if (settings.eventFile.isEmpty()) {
            System.out
        } else {
            try {
                PrintStream(FileOutputStream(settings.eventFile, true), true)
            } catch (failure: IOException) {
                raise(RouterStartError.FileNotUsable(settings.eventFile, failure.message.orEmpty()))
            }
        }
    return jsonEventLog(process, settings.availabilityZone, output, System::currentTimeMillis)
}

private suspend fun Raise<RouterStartError>.startListeners(
    settings: RouterSettings,
    addresses: ListenAddresses,
    components: RouterComponents,
    scope: CoroutineScope,
): RouterListeners {
    val peerHandler =
        PeerRequestHandler(
            control = components.control,
            state = components.state,
            voter = components.voter,
            grantLease = components.limits::grant,
            grantReservation = components.reservations::grant,
            currentMillis = components.currentMillis,
        )
    val caller = callerListener(addresses.caller.host, addresses.caller.port, components.flow)
    val peer = peerListener(addresses.peer, peerHandler, settings.peerToken)
    val operator =
        operatorListener(
            addresses.operator,
            ComponentStatusProvider(components),
            components.metrics,
            settings.operatorToken,
        )
    try {
        bind("peer address", addresses.peer) { peer.startSuspend(wait = false) }
        bind("operator address", addresses.operator) { operator.startSuspend(wait = false) }
        bind("caller address", addresses.caller) { caller.start() }
    } catch (failure: ListenerBindException) {
        scope.cancel()
        components.close()
        raise(RouterStartError.AddressNotUsable(failure.setting, failure.address, failure.message.orEmpty()))
    }
    return RouterListeners(caller, peer, operator)
}

private class ListenerBindException(val setting: String, val address: String, cause: IOException) :
    IOException(cause.message, cause)

private suspend fun bind(setting: String, address: SocketAddress, start: suspend () -> Unit) =
    try {
        start()
    } catch (failure: IOException) {
        throw ListenerBindException(setting, address.toString(), failure)
    }

private fun startLoops(settings: RouterSettings, components: RouterComponents, scope: CoroutineScope) {
    val exchange = ExchangeLoop(components.control, components.state, components.peers, components.currentMillis)
    val polling = LoadPollLoop(components.control, components.state, components.loadReports, components.currentMillis)
    val catchUp = CatchUpLoop(components.control, components.state, components.peers, components.currentMillis)
    val reporter = components.exceptionReporter
    scope.launchEvery(settings.exchangeInterval, reporter) { exchange.runRound() }
    scope.launchEvery(LOAD_POLL_INTERVAL, reporter) { polling.poll() }
    scope.launchEvery(CATCH_UP_INTERVAL, reporter) { catchUp.catchUp() }
    scope.launchEvery(TICK_INTERVAL, reporter) {
        components.control.run { components.state.tick(components.currentMillis()) }
    }
    if (settings.platformAddress.isNotEmpty()) {
        scope.launchWithRestart(reporter) { platformLoop(settings, components).run() }
    }
    scope.launchEvery(TOKEN_REPORT_INTERVAL, reporter) { components.limits.report() }
    scope.launch { recordWhenReady(components) }
}

private fun platformLoop(settings: RouterSettings, components: RouterComponents) =
    PlatformLoop(
        self = components.self,
        control = components.control,
        state = components.state,
        views = components.views,
        client = PlatformClient(PlatformClientSettings(settings.platformAddress)),
        events = components.events,
        currentMillis = components.currentMillis,
    )

private suspend fun recordWhenReady(components: RouterComponents) {
    while (components.notReadyReason() != null) delay(READY_POLL_INTERVAL)
    components.events.record(EventType.PROCESS_READY, "a configuration is in force")
}
