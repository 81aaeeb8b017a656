/*
 * One gateway process: passes requests of callers on to upstreams by the routes that the platform publishes.
 */
package org.primrosesill.gateway

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.primrosesill.concurrent.launchRestarting
import org.primrosesill.event.EventLog
import org.primrosesill.forwarding.PlatformAdapter
import org.primrosesill.generated.EventType
import org.primrosesill.generated.GatewaySettings
import org.primrosesill.transport.HttpListener
import org.primrosesill.transport.ListenerLimits
import org.primrosesill.transport.startHttpListener
import kotlin.time.Duration.Companion.milliseconds

private val TICK_INTERVAL = 400.milliseconds

/** A started gateway. */
public class Gateway internal constructor(private val parts: GatewayParts, private val callers: HttpListener) :
    AutoCloseable {
        /** Puts the settings in [text], as the file holds them now, in force as far as they can change while it runs. */
        public fun reload(text: String): Unit = parts.inForce.reload(text)

        /** Records that the file of the settings cannot be read, for [reason]. */
        public fun reloadFailed(reason: String): Unit = parts.inForce.unreadable(reason)

        /** Serves until the platform sends no more callers and all requests have ended, or the grace is over. */
        public suspend fun stop(): Unit = StopSequence(parts, callers).run()

        /** Ends at once, with requests in flight. */
        override fun close(): Unit = parts.close()
    }

/** Binds the addresses of [settings] and starts the loops of a gateway on the platform behind [adapter]. */
public suspend fun startGateway(settings: GatewaySettings, adapter: PlatformAdapter, events: EventLog): Gateway {
    val parts = GatewayParts(settings, adapter, events)
    val callers = startHttpListener(parts.loop, settings.callerAddress, parts::callerLimits, parts.forwarder)
    startHttpListener(parts.loop, settings.readinessAddress, ::ListenerLimits, parts.readiness)
    startHttpListener(parts.loop, settings.peerAddress, ::ListenerLimits, parts.peerHandler)
    startHttpListener(parts.loop, settings.metricsAddress, ::ListenerLimits, parts.operatorHandler)
    startLoops(parts)
    events.record(EventType.PROCESS_STARTED, "callers at ${settings.callerAddress}, peers at ${settings.peerAddress}")
    return Gateway(parts, callers)
}

private fun startLoops(parts: GatewayParts) {
    parts.controlScope.launchRestarting(parts.faults) { parts.platformLoop.run() }
    parts.controlScope.launch { parts.heldPartsLoop.run() }
    parts.gossip.start()
    parts.controlScope.launchRestarting(parts.faults) { parts.exchange.run() }
    parts.controlScope.launchRestarting(parts.faults) {
        while (true) {
            parts.tick()
            delay(TICK_INTERVAL)
        }
    }
}
