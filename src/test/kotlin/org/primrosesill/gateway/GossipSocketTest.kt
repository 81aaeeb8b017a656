/*
 * The port of a gossip socket once it is closed.
 */
package org.primrosesill.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import org.junit.jupiter.api.Test
import org.primrosesill.event.noOpEventLog
import org.primrosesill.model.SocketAddress
import org.primrosesill.transport.freePort
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.BindException

private const val SOCKETS = 2_000

class GossipSocketTest {
    // Guards against a gateway that cannot start on the port of one that has just been closed, because the thread that receives
    // still holds the socket: seen as "address already in use" in GatewayTest, twice in CI beside load.
    @Test
    fun `the port is free once the socket is closed`() {
        val scope = CoroutineScope(Dispatchers.Default + Job())
        val port = freePort()
        var refused = 0
        repeat(SOCKETS) {
            try {
                val socket = GossipSocket(SocketAddress("127.0.0.4", port), port, noOpEventLog(), scope) {}
                socket.start()
                socket.close()
            } catch (_: BindException) {
                refused++
            }
        }
        scope.cancel()
        expectThat(refused).isEqualTo(0)
    }
}
