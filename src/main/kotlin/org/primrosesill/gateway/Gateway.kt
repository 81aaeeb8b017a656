/*
 * One gateway process: forwards requests of callers to upstreams along the routes that the platform publishes.
 */
package org.primrosesill.gateway

import org.primrosesill.concurrent.launchEvery
import org.primrosesill.concurrent.launchWithRestart
import org.primrosesill.event.EventLog
import org.primrosesill.forwarding.PlatformAdapter
import org.primrosesill.generated.EventType
import org.primrosesill.generated.GatewaySettings
import org.primrosesill.transport.HttpListener
import org.primrosesill.transport.ListenerLimits
import org.primrosesill.transport.startHttpListener
import kotlin.time.Duration.Companion.milliseconds

private val TICK_INTERVAL = 400.milliseconds

/** A running gateway, as [startGateway] returns it. */
public class Gateway internal constructor(
    private val components: GatewayComponents,
    private val callerListener: HttpListener,
) : AutoCloseable {
    /** Applies the settings in [text], the content of the settings file; rejects a change that needs a restart. */
    public fun reload(text: String): Unit = components.reloadableSettings.reload(text)

    /** Records that the settings file cannot be read, for [reason]. */
    public fun reloadFailed(reason: String): Unit = components.reloadableSettings.recordUnreadable(reason)

    /** Serves until the platform sends no new requests and those in flight end, or until the grace period expires. */
    public suspend fun stop(): Unit = StopSequence(components, callerListener).run()

    /** Stops immediately and aborts requests in flight. */
    override fun close(): Unit = components.close()
}

/** Binds the addresses of [settings] and starts the control loops of a gateway on the platform behind [adapter]. */
public suspend fun startGateway(settings: GatewaySettings, adapter: PlatformAdapter, events: EventLog): Gateway {
    val components = GatewayComponents(settings, adapter, events)
    val callerListener =
        startHttpListener(
            components.trafficLoop,
            settings.callerAddress,
            components::callerLimits,
            components.forwarder,
        )
    startHttpListener(components.trafficLoop, settings.readinessAddress, ::ListenerLimits, components.readinessHandler)
    startHttpListener(components.trafficLoop, settings.peerAddress, ::ListenerLimits, components.peerHandler)
    startHttpListener(components.trafficLoop, settings.metricsAddress, ::ListenerLimits, components.operatorHandler)
    startControlLoops(components)
    events.record(EventType.PROCESS_STARTED, "callers at ${settings.callerAddress}, peers at ${settings.peerAddress}")
    return Gateway(components, callerListener)
}

private fun startControlLoops(components: GatewayComponents) {
    val scope = components.controlScope
    val reporter = components.exceptionReporter
    scope.launchWithRestart(reporter) { components.platformLoop.run() }
    scope.launchWithRestart(reporter) { components.heldPartsRecovery.run() }
    components.gossipSocket.start()
    scope.launchWithRestart(reporter) { components.exchangeLoop.run() }
    scope.launchEvery(TICK_INTERVAL, reporter) { components.tick() }
}
