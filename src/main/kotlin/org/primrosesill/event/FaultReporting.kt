/*
 * Records faults of the process itself as events.
 */
package org.primrosesill.event

import org.primrosesill.concurrent.ExceptionReporter
import org.primrosesill.concurrent.describeException
import org.primrosesill.generated.EventType

/** Returns a reporter that records each uncaught exception or error in [events]. */
public fun faultReporter(events: EventLog): ExceptionReporter =
    ExceptionReporter { events.record(EventType.PROCESS_FAULT, describeException(it)) }
