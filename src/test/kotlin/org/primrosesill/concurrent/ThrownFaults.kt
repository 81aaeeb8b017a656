/*
 * Fault reports for tests.
 */
package org.primrosesill.concurrent

import java.util.concurrent.CopyOnWriteArrayList

/** For tests in which no fault is expected: the coroutine library fails the next test with it. */
internal val throwFaults = FaultReport { throw it }

/** Collects faults for tests that provoke them. */
internal class CollectedFaults : FaultReport {
    val messages = CopyOnWriteArrayList<String>()

    override fun report(fault: Throwable) {
        messages += fault.message.orEmpty()
    }
}
