/*
 * A forwarder between a caller and upstreams on raw sockets.
 */
package org.primrosesill.forwarding

import kotlinx.coroutines.runBlocking
import org.primrosesill.concurrent.throwingReporter
import org.primrosesill.transport.ListenerLimits
import org.primrosesill.transport.RawResponse
import org.primrosesill.transport.RawUpstream
import org.primrosesill.transport.TrafficLoop
import org.primrosesill.transport.UpstreamClientSettings
import org.primrosesill.transport.nettyUpstreamClient
import org.primrosesill.transport.startHttpListener

/** Id of all requests that [RawForwarding] sends. */
const val RAW_REQUEST_ID = "r1"

private const val MAXIMUM_BODY_BYTES = 16_000_000

class RawForwarding : AutoCloseable {
    private val loop = TrafficLoop(throwingReporter)
    private val client = nettyUpstreamClient(loop, UpstreamClientSettings(acceptsCloseDelimited = true))

    /** Returns a forwarder that sends to the first of [upstreams] and, if it fails, to the next ones. */
    fun fixture(upstreams: List<RawUpstream>): ForwardingFixture =
        ForwardingFixture(
            client,
            upstreams =
                upstreams.mapIndexed { index, upstream ->
                    val known = testUpstream("u${index + 1}")
                    known.copy(registration = known.registration.copy(address = upstream.address))
                },
        )

    /** Calls [send] with the port of a listener in front of [fixture] and the header fields of a request. */
    fun send(fixture: ForwardingFixture, send: (Int, Map<String, String>) -> RawResponse): RawResponse =
        runBlocking {
            val limits = ListenerLimits(maximumBodyBytes = MAXIMUM_BODY_BYTES)
            val listener = startHttpListener(loop, "127.0.0.1:0", { limits }, fixture.handler)
            val headers =
                mapOf(
                    "Host" to "h.example",
                    "X-Attempt-Id" to RAW_REQUEST_ID,
                    "Authorization" to "Bearer $CREDENTIAL",
                    "Connection" to "close",
                )
            send(listener.port, headers).also { listener.close() }
        }

    fun send(upstreams: List<RawUpstream>, send: (Int, Map<String, String>) -> RawResponse): RawResponse =
        send(fixture(upstreams), send)

    override fun close() = loop.close()
}
