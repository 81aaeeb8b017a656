/*
 * Graceful stop: the gateway reports that it is not ready, serves new requests until the platform sends no more of
 * them, waits for its requests in flight to end, and closes.
 */
package org.primrosesill.gateway

import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import org.primrosesill.generated.EventType
import org.primrosesill.transport.HttpListener
import kotlin.time.Duration.Companion.milliseconds

internal class StopSequence(private val components: GatewayComponents, private val listener: HttpListener) {
    suspend fun run() {
        val started = monotonicMillis()
        components.stopping = true
        listener.startDraining()
        withContext(components.controlThread.dispatcher) { components.fleet.leave() }
        components.events.record(EventType.PROCESS_STOPPING, "stop requested, ${listener.inFlight} requests in flight")
        delay(READINESS_DELAY)
        listener.closeIdle()
        val graceMillis = components.settings.stopGraceMillis - EXIT_RESERVE_MILLIS
        while (listener.inFlight > 0 && monotonicMillis() - started < graceMillis) delay(POLL_INTERVAL)
        components.events.record(EventType.PROCESS_STOPPED, "${listener.inFlight} requests still in flight")
        listener.close()
    }

    private companion object {
        /** The platform checks readiness once a second, and removes a process after the second failed check. */
        val READINESS_DELAY = 2_600.milliseconds
        val POLL_INTERVAL = 20.milliseconds

        /** Time that remains for the process to exit before it is killed. */
        const val EXIT_RESERVE_MILLIS = 500L
    }
}
