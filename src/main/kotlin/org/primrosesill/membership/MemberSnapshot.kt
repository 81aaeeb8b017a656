/*
 * The member table at one moment, for traffic.
 */
package org.primrosesill.membership

import org.primrosesill.generated.Member
import org.primrosesill.generated.MemberState
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.RouterId

/** One router incarnation in a [MemberSnapshot]. */
internal data class HeldMember(
    val member: Member,
    val heardAtMillis: Long,
    val lostAtMillis: Long?,
    val replaced: Boolean,
) {
    fun countsAt(earliestMillis: Long, listed: Set<String>): Boolean =
        lostAtMillis == null || lostAtMillis >= earliestMillis || (!replaced && member.address in listed)
}

/**
 * An immutable view of a [MemberTable]. Safe to read from any thread.
 *
 * @property self the own router, with its heartbeat at that moment
 * @property live all routers that are alive, in order of their ids, with the own one and with those that are leaving
 * @property knowsCandidates whether any source names the other routers; until then the own one is not the whole fleet
 */
public class MemberSnapshot internal constructor(
    public val self: Member,
    private val held: List<HeldMember>,
    private val listedAddresses: Set<String>,
    private val clockToleranceMillis: Long,
    public val live: List<Member>,
    public val knowsCandidates: Boolean,
) {
    private val heardAt = held.associate { it.member.router to it.heardAtMillis }

    /** When the heartbeat of [router] last grew, in milliseconds. The own router is always heard. */
    public fun heardAtMillis(router: RouterId): Long =
        if (router == self.router) Long.MAX_VALUE else heardAt[router] ?: Long.MIN_VALUE

    /** Routers that were heard at [instantMillis] or later, with those that are leaving. */
    public fun heardSince(instantMillis: Long): List<Member> = live.filter { heardAtMillis(it.router) >= instantMillis }

    /** The peer address of a live router, or null for any other. */
    public fun addressOf(router: RouterId): String? = live.firstOrNull { it.router == router }?.address

    /**
     * All router incarnations that may have been alive at [instantMillis] or later, in order of their ids. A listed
     * address from which no router was heard stands in the result as one router with an id made from the address.
     *
     * A silent router may be cut off rather than ended. It stops to count only when a newer incarnation has its
     * address, or when it left or vanished from the VM list before the instant. The list alone is not believed when it
     * drops more than a third of the routers, because both sides of a partition could then count only themselves.
     */
    public fun mayHaveBeenAliveAt(instantMillis: Long): List<Member> {
        val earliest = instantMillis - clockToleranceMillis
        val (counted, ended) = held.partition { it.countsAt(earliest, listedAddresses) }
        val unproven = ended.filter { !it.replaced && it.member.state == MemberState.LIVE }
        val unheard = listedAddresses - held.map { it.member.address }.toSet() - self.address
        val certain = counted.map { it.member } + self + unheard.map(::unheardMember)
        val doubted = if (unproven.size * 2 > certain.size) unproven.map { it.member } else emptyList()
        return (certain + doubted).sortedBy { it.router.value }
    }
}

/** The member that stands for a listed [address] from which nothing was heard. */
internal fun unheardMember(address: String): Member =
    Member(
        router = RouterId("unheard@$address"),
        address = address,
        availabilityZone = AvailabilityZoneId(""),
        startedAtMillis = 0,
        heartbeat = 0,
        state = MemberState.LIVE,
    )
