/*
 * Encodes the heartbeats of a whole fleet in a few characters each. Heartbeats only increase, so that a digest can be
 * relayed between gateways without a clock.
 */
package org.primrosesill.exchange

import org.primrosesill.generated.Member

private const val HEARTBEAT_LENGTH = 4
private const val ENTRY_LENGTH = SHORT_CODE_LENGTH + HEARTBEAT_LENGTH

/** The decoded content of a digest: [members] with newer heartbeats, and codes of members [unknown] to the receiver. */
public class DigestUpdates(public val members: List<Member>, public val unknownCodes: Set<String>)

/** Returns the digest of the heartbeats of [members]. */
public fun heartbeatDigest(members: List<Member>): String =
    members.joinToString("") { shortCode(it.router.value) + shortNumber(it.heartbeat, HEARTBEAT_LENGTH) }

/** Decodes a digest against the [known] members. Entries that cannot be decoded are left out. */
public fun readHeartbeatDigest(digest: String, known: List<Member>): DigestUpdates {
    val byCode = known.associateBy { shortCode(it.router.value) }
    val members = ArrayList<Member>()
    val unknown = HashSet<String>()
    for (entry in digest.chunked(ENTRY_LENGTH).filter { it.length == ENTRY_LENGTH }) {
        val code = entry.take(SHORT_CODE_LENGTH)
        val heartbeat = parseShortNumber(entry.drop(SHORT_CODE_LENGTH)) ?: continue
        val member = byCode[code]
        if (member == null) {
            unknown += code
        } else if (heartbeat > member.heartbeat) {
            members += member.copy(heartbeat = heartbeat)
        }
    }
    return DigestUpdates(members, unknown)
}
