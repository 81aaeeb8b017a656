/*
 * Faults of the process itself: uncaught exceptions and errors. Loops go on after them; a process that has lost its traffic
 * thread cannot serve, and exits.
 */
package org.primrosesill.gateway

import org.primrosesill.concurrent.ExceptionReporter
import org.primrosesill.event.EventLog
import org.primrosesill.event.faultReporter
import org.primrosesill.generated.EventType
import java.util.concurrent.atomic.AtomicLong

/** Records faults in [events] and counts them. Safe to use from any thread. */
internal class ProcessFaults(private val events: EventLog) : ExceptionReporter {
    private val reporter = faultReporter(events)
    private val reported = AtomicLong()

    /** Number of faults since the start. */
    val count: Long get() = reported.get()

    override fun report(exception: Throwable) {
        reported.incrementAndGet()
        reporter.report(exception)
    }

    /** Ends the process, so that the platform starts it again. */
    fun exitWithoutTraffic() {
        events.record(EventType.PROCESS_FAULT, "the traffic thread has ended; the process exits")
        Thread.sleep(EVENT_WRITE_MILLIS)
        Runtime.getRuntime().halt(EXIT_STATUS)
    }

    private companion object {
        /** Time in which events are written. */
        const val EVENT_WRITE_MILLIS = 500L

        /** EX_SOFTWARE of sysexits. */
        const val EXIT_STATUS = 70
    }
}
