/*
 * Immutable snapshot of the member table, read by the request path.
 */
package org.primrosesill.membership

import org.primrosesill.generated.Member
import org.primrosesill.generated.MemberState
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.RouterId

/** The record of one router incarnation in a [MemberSnapshot]. */
internal data class MemberRecord(
    val member: Member,
    val lastHeartbeatMillis: Long,
    val lostAtMillis: Long?,
    val replaced: Boolean,
) {
    fun isPossiblyAliveSince(earliestMillis: Long, listedAddresses: Set<String>): Boolean =
        lostAtMillis == null || lostAtMillis >= earliestMillis || (!replaced && member.address in listedAddresses)
}

/**
 * An immutable view of a [MemberTable]. Safe to read from any thread.
 *
 * @property self this router, with its heartbeat when the snapshot was made
 * @property live all live routers in order of their ids, including this router and those that are leaving
 * @property hasCandidateSource whether any source lists the other routers; until then this router must not count as the
 *     whole fleet
 */
public class MemberSnapshot internal constructor(
    public val self: Member,
    private val records: List<MemberRecord>,
    private val listedAddresses: Set<String>,
    private val clockToleranceMillis: Long,
    public val live: List<Member>,
    public val hasCandidateSource: Boolean,
) {
    private val lastHeartbeats = records.associate { it.member.router to it.lastHeartbeatMillis }

    /** Returns when the heartbeat of [router] last increased, in milliseconds; [Long.MAX_VALUE] for this router. */
    public fun lastHeartbeatMillis(router: RouterId): Long =
        if (router == self.router) Long.MAX_VALUE else lastHeartbeats[router] ?: Long.MIN_VALUE

    /**
     * Returns the live routers whose heartbeat increased at [fromMillis] or later, including those that are leaving.
     */
    public fun aliveSince(fromMillis: Long): List<Member> = live.filter { lastHeartbeatMillis(it.router) >= fromMillis }

    /** Returns the peer address of a live router, or null for any other. */
    public fun addressOf(router: RouterId): String? = live.firstOrNull { it.router == router }?.address

    /**
     * Returns all router incarnations that may have been alive at [instantMillis] or later, in order of their ids. A
     * listed address from which no heartbeat was received is represented by one router with an id made from the
     * address.
     *
     * A silent router may be partitioned rather than stopped. It is excluded only when a newer incarnation has its
     * address, or when it left or was removed from the VM list before [instantMillis]. The list alone does not exclude
     * routers when it drops more than a third of them, because both sides of a partition could then count only
     * themselves.
     */
    public fun possiblyAliveSince(instantMillis: Long): List<Member> {
        val earliest = instantMillis - clockToleranceMillis
        val (included, excluded) = records.partition { it.isPossiblyAliveSince(earliest, listedAddresses) }
        val unconfirmed = excluded.filter { !it.replaced && it.member.state == MemberState.LIVE }
        val unseenAddresses = listedAddresses - records.map { it.member.address }.toSet() - self.address
        val certain = included.map { it.member } + self + unseenAddresses.map(::placeholderMember)
        val retained = if (unconfirmed.size * 2 > certain.size) unconfirmed.map { it.member } else emptyList()
        return (certain + retained).sortedBy { it.router.value }
    }
}

/** Returns the member that represents a listed [address] from which no heartbeat was received. */
internal fun placeholderMember(address: String): Member =
    Member(
        router = RouterId("unheard@$address"),
        address = address,
        availabilityZone = AvailabilityZoneId(""),
        startedAtMillis = 0,
        heartbeat = 0,
        state = MemberState.LIVE,
    )
