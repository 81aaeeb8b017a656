/*
 * One running router: its listeners, its loops, and the order in which they start and stop.
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

/** Time for the listeners to finish what the balancer sent in the last moment. */
private val LISTENER_GRACE = 1.seconds

/** A running router. */
public interface RouterProcess {
    /**
     * Stops without cutting a request: readiness goes off, the others hear that this router is leaving, callers are
     * served for the notice time and then refused as not run, and requests in flight end. Returns when all of it has
     * happened, or after the notice time and the longest deadline of any contract. Later calls return at once.
     */
    public suspend fun stop()
}

internal class RunningRouter(
    private val settings: RouterSettings,
    private val parts: RouterParts,
    private val listeners: RouterListeners,
    private val scope: CoroutineScope,
) : RouterProcess {
    private val stopped = AtomicBoolean()

    override suspend fun stop() {
        if (!stopped.compareAndSet(false, true)) return
        parts.events.record(EventType.PROCESS_STOPPING, "a stop was asked for")
        parts.stopping.set(true)
        parts.control.run { parts.state.leave() }
        delay(settings.stopNoticeMillis.milliseconds)
        parts.flow.stopAccepting()
        val idle = parts.flow.awaitIdle(longestDeadline(parts.views.configuration.get()))
        handOnAnswers()
        listeners.stop()
        parts.events.record(EventType.PROCESS_STOPPED, if (idle) "all requests ended" else "requests were cut")
        scope.cancel()
        parts.close()
    }

    /** Gives the stored answers to two other routers, so that a repeat still finds them. */
    private suspend fun handOnAnswers() {
        val self = parts.self.router
        val receivers =
            parts.views.members
                .get()
                .live
                .filter { it.router != self }
                .take(ANSWER_COPIES)
        for (answer in parts.voter.answers()) {
            receivers.forEach { parts.peers.storeAnswer(it.address, answer) }
        }
    }

    private companion object {
        const val ANSWER_COPIES = 2
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

/** The longest time that a request which was accepted may take. */
internal fun longestDeadline(configuration: ConfigurationSnapshot): Duration =
    configuration.contracts.values
        .maxOfOrNull { maxOf(it.chatDeadlineMillis, it.serviceDeadlineMillis) }
        ?.milliseconds ?: Duration.ZERO
