/*
 * A planned stop: the gateway says that it is not ready, serves what still arrives until the platform sends nothing more,
 * lets its requests end, and closes.
 */
package org.primrosesill.gateway

import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import org.primrosesill.generated.EventType
import org.primrosesill.transport.HttpListener
import kotlin.time.Duration.Companion.milliseconds

internal class StopSequence(private val parts: GatewayParts, private val callers: HttpListener) {
    suspend fun run() {
        val started = steadyMillis()
        parts.stopping = true
        callers.closeConnectionsAfterNextAnswer()
        withContext(parts.control.dispatcher) { parts.fleet.leave() }
        parts.events.record(EventType.PROCESS_STOPPING, "asked to stop, ${callers.inFlight} requests in flight")
        delay(NOTICE)
        callers.closeIdle()
        val grace = parts.settings.stopGraceMillis - RESERVE_MILLIS
        while (callers.inFlight > 0 && steadyMillis() - started < grace) delay(POLL)
        parts.events.record(EventType.PROCESS_STOPPED, "${callers.inFlight} requests in flight")
        callers.close()
    }

    private companion object {
        /** The platform asks once a second whether a process is ready, and believes the second refusal. */
        val NOTICE = 2_600.milliseconds
        val POLL = 20.milliseconds

        /** Time for the process itself to end before it is killed. */
        const val RESERVE_MILLIS = 500L
    }
}
