/*
 * Graceful stop: the gateway reports that it is not ready, serves new requests until the platform sends no more of
 * them, waits for its requests in flight to end, and closes. A request that may last beyond the end is rejected at once.
 */
package org.primrosesill.gateway

import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import org.primrosesill.forwarding.PlannedStop
import org.primrosesill.generated.EventType
import org.primrosesill.transport.HttpListener
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

internal class StopSequence(private val components: GatewayComponents, private val listener: HttpListener) {
    suspend fun run() {
        val grace = (components.settings.stopGraceMillis - EXIT_RESERVE_MILLIS).milliseconds
        val now = TimeSource.Monotonic.markNow()
        components.plannedStop = PlannedStop(now + READINESS_DELAY, now + grace)
        listener.startDraining()
        withContext(components.controlThread.dispatcher) { components.fleet.leave() }
        components.events.record(EventType.PROCESS_STOPPING, "stop requested, ${listener.inFlight} requests in flight")
        delay(READINESS_DELAY)
        listener.closeIdle()
        while (listener.inFlight > 0 && now.elapsedNow() < grace) delay(POLL_INTERVAL)
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
