/*
 * Limits how often an event of one kind is recorded.
 */
package org.primrosesill.forwarding

import kotlin.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Allows one event in each [interval]. Confined to one thread. */
internal class EventLimit(private val interval: Duration, private val timeSource: TimeSource = TimeSource.Monotonic) {
    private var lastEvent: TimeMark? = null

    fun allowsEvent(): Boolean {
        if (lastEvent?.let { it.elapsedNow() < interval } ?: false) return false
        lastEvent = timeSource.markNow()
        return true
    }
}
