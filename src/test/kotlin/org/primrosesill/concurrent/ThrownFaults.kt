/*
 * Implementations of FaultReport for tests.
 */
package org.primrosesill.concurrent

import java.util.concurrent.CopyOnWriteArrayList

/**
 * Rethrows exceptions, for tests that expect none: the coroutine test library fails the next test with an exception.
 */
internal val throwFaults = FaultReport { throw it }

/** Records the messages of exceptions, for tests that cause them. */
internal class CollectedFaults : FaultReport {
    val messages = CopyOnWriteArrayList<String>()

    override fun report(fault: Throwable) {
        messages += fault.message.orEmpty()
    }
}
