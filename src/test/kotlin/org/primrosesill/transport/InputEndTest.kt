/*
 * Whether the input of a connection ended in order, for each order in which the events of its end are noticed.
 */
package org.primrosesill.transport

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.IOException

class InputEndTest {
    private class Case(val name: String, val isOrderly: Boolean, val events: InputEnd.() -> Unit)

    private val brokenPipe = IOException("Output shut down", IOException("Broken pipe"))
    private val connectionReset = IOException("Output shut down", IOException("Connection reset by peer"))

    // Guards against an end that counts as orderly because no failure was noticed, or because a write consumed the reset.
    @TestFactory
    fun `only the end of the stream without a reset is orderly`(): List<DynamicTest> =
        listOf(
            Case("nothing noticed", false) { },
            Case("end of the stream", true) { recordEndOfStream() },
            Case("read fails", false) { recordReadFailure(connectionReset) },
            Case("read fails, then the end of the stream", false) {
                recordReadFailure(connectionReset)
                recordEndOfStream()
            },
            Case("write finds the reset, then the end of the stream", false) {
                recordWriteFailure(connectionReset)
                recordEndOfStream()
            },
            Case("end of the stream, then a write finds a reset", false) {
                recordEndOfStream()
                recordWriteFailure(connectionReset)
            },
            Case("write to a closed connection, then the end of the stream", true) {
                recordWriteFailure(brokenPipe)
                recordEndOfStream()
            },
            Case("write to a closed connection, no end of the stream", false) { recordWriteFailure(brokenPipe) },
            Case("write finds the reset, then a broken pipe", false) {
                recordWriteFailure(connectionReset)
                recordWriteFailure(brokenPipe)
                recordEndOfStream()
            },
        ).map { case ->
            dynamicTest(case.name) {
                expectThat(InputEnd().apply(case.events).isOrderly).isEqualTo(case.isOrderly)
            }
        }
}
