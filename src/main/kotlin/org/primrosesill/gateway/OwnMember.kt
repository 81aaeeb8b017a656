/*
 * How a gateway describes itself to its peers.
 */
package org.primrosesill.gateway

import org.primrosesill.generated.GatewaySettings
import org.primrosesill.generated.Member
import org.primrosesill.generated.MemberState
import org.primrosesill.model.RouterId
import org.primrosesill.model.SocketAddress
import org.primrosesill.model.parseSocketAddress
import java.util.UUID

/** Returns the peer address in [settings]. */
internal fun peerSocketAddress(settings: GatewaySettings): SocketAddress =
    parseSocketAddress(settings.peerAddress).fold({ error("invalid peer address: $it") }, { it })

/** 12 hexadecimal digits, 48 bits: enough to distinguish incarnations, and short, as exchange messages hold the ids. */
private const val ROUTER_ID_LENGTH = 12

/** Returns a new incarnation of the gateway with [settings]. */
internal fun newMember(settings: GatewaySettings) =
    Member(
        router = RouterId(UUID.randomUUID().toString().takeLast(ROUTER_ID_LENGTH)),
        address = settings.peerAddress,
        availabilityZone = settings.availabilityZone,
        startedAtMillis = System.currentTimeMillis(),
        heartbeat = 0,
        state = MemberState.LIVE,
    )
