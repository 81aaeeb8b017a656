/*
 * A running router and its graceful shutdown.
 */
package org.primrosesill.router

import io.ktor.server.engine.EmbeddedServer
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import org.primrosesill.configuration.ConfigurationSnapshot
import org.primrosesill.generated.EventType
import org.primrosesill.generated.RouterSettings
import org.primrosesill.http.CallerListener
import org.primrosesill.request.RequestFlow
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Time for the listeners to finish requests that the load balancer sent just before they stopped. */
private val LISTENER_GRACE = 1.seconds

/** A running router. */
public interface RouterProcess {
    /**
     * Shuts down gracefully:
     * 1. The router reports that it is not ready and announces to its peers that it is leaving.
     * 2. It serves callers as before for the notice time of the settings.
     * 3. It rejects new requests as not executed, and waits until no request is in flight, but no longer than the
     *    longest deadline of any contract.
     * 4. It copies its stored responses to other routers and stops the listeners, which cancel the requests that are
     *    still in flight after one more second.
     *
     * Returns when these steps are done. Any further call returns immediately, even while the first one is running.
     */
    public suspend fun stop()
}

internal class RunningRouter(
    private val settings: RouterSettings,
    private val components: RouterComponents,
    private val listeners: RouterListeners,
    private val scope: CoroutineScope,
) : RouterProcess {
    private val stopped = AtomicBoolean()

    override suspend fun stop() {
        if (!stopped.compareAndSet(false, true)) return
        components.events.record(EventType.PROCESS_STOPPING, "stop requested")
        components.stopping.set(true)
        components.control.run { components.state.announceLeaving() }
        delay(settings.stopNoticeMillis.milliseconds)
        components.flow.stopAccepting()
        val idle = components.flow.awaitIdle(longestDeadline(components.views.configuration.get()))
        copyStoredResponses()
        listeners.stop()
        components.events.record(
            EventType.PROCESS_STOPPED,
            if (idle) "all requests completed" else "requests in flight after the longest deadline",
        )
        scope.cancel()
        components.close()
    }

    /** Copies the stored responses to two other routers, so that they can replay them to repeated requests. */
    private suspend fun copyStoredResponses() {
        val self = components.self.router
        val receivers =
            components.views.members
                .get()
                .live
                .filter { it.router != self }
                .take(STORED_RESPONSE_COPIES)
        for (response in components.voter.storedResponses()) {
            receivers.forEach { components.peers.storeResponse(it.address, response) }
        }
    }

    private companion object {
        const val STORED_RESPONSE_COPIES = 2
    }
}

/** The listeners of a router. */
internal class RouterListeners(
    private val caller: CallerListener,
    private val peer: EmbeddedServer<*, *>,
    private val operator: EmbeddedServer<*, *>,
) {
    suspend fun stop() {
        caller.stop(LISTENER_GRACE)
        peer.stopSuspend(0, LISTENER_GRACE.inWholeMilliseconds)
        operator.stopSuspend(0, LISTENER_GRACE.inWholeMilliseconds)
    }
}

/** Returns the longest deadline of any contract, which bounds the time that an accepted request may take. */
internal fun longestDeadline(configuration: ConfigurationSnapshot): Duration =
    configuration.contracts.values
        .maxOfOrNull { maxOf(it.chatDeadlineMillis, it.serviceDeadlineMillis) }
        ?.milliseconds ?: Duration.ZERO
