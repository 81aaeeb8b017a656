/*
 * The heartbeats of a whole fleet in a few characters each. Heartbeats only grow, so that a digest that is passed on from
 * router to router needs no clock.
 */
package org.primrosesill.exchange

import org.primrosesill.generated.Member

private const val HEARTBEAT_LENGTH = 4
private const val ENTRY_LENGTH = SHORT_CODE_LENGTH + HEARTBEAT_LENGTH

/** What a digest says: newer heartbeats of [members], and codes that the receiver does not know. */
public class DigestNews(public val members: List<Member>, public val unknown: Set<String>)

/** Returns the digest of [members]. */
public fun heartbeatDigest(members: List<Member>): String =
    members.joinToString("") { shortCode(it.router.value) + shortNumber(it.heartbeat, HEARTBEAT_LENGTH) }

/** Reads a digest with the help of what is [known]. Entries that make no sense are left out. */
public fun readHeartbeatDigest(digest: String, known: List<Member>): DigestNews {
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
    return DigestNews(members, unknown)
}
