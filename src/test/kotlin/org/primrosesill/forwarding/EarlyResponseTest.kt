/*
 * What a caller receives, over raw sockets on both sides, when an upstream responds to a long upload before it has read it,
 * without a length, and its connection ends while the upload is still being written.
 */
package org.primrosesill.forwarding

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.transport.RawCaller
import org.primrosesill.transport.RawConnection
import org.primrosesill.transport.RawResponse
import org.primrosesill.transport.RawUpstream
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse

private const val HEAD = "HTTP/1.1 200 OK\r\nX-Attempt-Id: $RAW_REQUEST_ID\r\nX-Server-Signature: s\r\n\r\n"

/** Larger than the buffers of both sockets, so that a part of it is unwritten while its upstream reads nothing. */
private const val UPLOAD_BYTES = 12_000_000

/** Events of a stream, the text of which is also the body of a plain response. */
private fun events(count: Int) = (1..count).joinToString("") { "id: $it\ndata: ${"x".repeat(80)}\n\n" }

/** Time from the last byte of the response to the end of the connection, in ms. */
private val pausesMillis = listOf(0L, 5, 100)

class EarlyResponseTest {
    private val forwarding = RawForwarding()

    @AfterEach
    fun close() = forwarding.close()

    /**
     * @property readBytes bytes of the upload that the upstream reads before it responds
     * @property sent what the upstream sends of its response
     * @property end ends the connection
     */
    private class Case(
        val name: String,
        val target: String,
        val readBytes: Int,
        val sent: String,
        val end: RawConnection.() -> Unit,
    )

    private fun cases(ends: Map<String, RawConnection.() -> Unit>): List<Case> =
        ends.flatMap { (endName, end) ->
            listOf("/safe/x", "/unsafe/x", "/stream/x").flatMap { target ->
                listOf(0, 64_000, 6_000_000).flatMap { readBytes ->
                    listOf(1, 500, 6_000).map { eventCount ->
                        val name = "$target, $endName, $readBytes bytes read, $eventCount events"
                        Case(name, target, readBytes, HEAD + events(eventCount), end)
                    }
                }
            }
        }

    private fun send(case: Case): RawResponse =
        RawUpstream { connection ->
            connection.readHead()
            connection.read(case.readBytes)
            connection.write(case.sent)
            case.end(connection)
        }.use { upstream ->
            forwarding.send(listOf(upstream)) { port, headers ->
                RawCaller(port, body = ByteArray(UPLOAD_BYTES)).send(case.target, headers)
            }
        }

    // Guards against a part of a response that reaches its caller as complete, because the reset of its connection was
    // received by a write of the upload (issue 52).
    @TestFactory
    fun `a response that is reset during the upload does not look complete`(): List<DynamicTest> {
        val resets: Map<String, RawConnection.() -> Unit> =
            pausesMillis.associate { pause ->
                "reset after $pause ms" to {
                    Thread.sleep(pause)
                    reset()
                }
            }
        return cases(resets).map { case ->
            dynamicTest(case.name) {
                val response = send(case)
                expectThat(response.status == 200 && response.complete).describedAs("$response".take(200)).isFalse()
            }
        }
    }

    // Guards against a whole response that is reported as truncated, because its upload was not written to its end.
    @TestFactory
    fun `a response that ends in order during the upload is delivered`(): List<DynamicTest> =
        cases(mapOf("closed" to { closeAfterReading() })).map { case ->
            dynamicTest(case.name) {
                expectThat(send(case)).isEqualTo(RawResponse(200, case.sent.removePrefix(HEAD), true))
            }
        }
}
