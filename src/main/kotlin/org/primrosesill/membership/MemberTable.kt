/*
 * The fleet membership as seen by one router. Settings and the VM list only name candidates; an increasing heartbeat
 * proves that a router is alive. The control thread owns the table and passes the time to each call.
 */
package org.primrosesill.membership

import org.primrosesill.generated.Member
import org.primrosesill.generated.MemberState
import org.primrosesill.model.RouterId

/**
 * Durations in milliseconds.
 *
 * @property suspicionTimeoutMillis time without a new heartbeat after which a router counts as lost
 * @property retentionMillis how long a lost or replaced incarnation is kept; at least the longest key retention
 * @property clockToleranceMillis largest difference between two clocks of the fleet
 */
public data class MemberTableSettings(
    val suspicionTimeoutMillis: Long = 5_000,
    val retentionMillis: Long = 902_000,
    val clockToleranceMillis: Long = 1_000,
)

/** A change of a [MemberTable], for the event log. */
public sealed interface MemberChange {
    public val member: Member

    /** The first heartbeat of the router arrived, or one after the router was lost. */
    public data class Joined(override val member: Member) : MemberChange

    /** The router reports that it is stopping. */
    public data class Leaving(override val member: Member) : MemberChange

    /** No heartbeat of the router arrives any more, or a newer incarnation has its address. */
    public data class Lost(override val member: Member, val cause: String) : MemberChange
}

/**
 * The routers from which [self] has received heartbeats. Not safe for use from several threads.
 *
 * @param configuredPeers peer addresses from the settings; they count as listed until a VM list is received
 * @param expectsVmList whether a platform is configured, so that routers may be unknown until a VM list is received
 */
public class MemberTable(
    private var self: Member,
    private val configuredPeers: Set<String>,
    private val expectsVmList: Boolean,
    private val settings: MemberTableSettings = MemberTableSettings(),
) {
    private val entries = HashMap<RouterId, MemberEntry>()
    private var vmListAddresses: Set<String>? = null
    private var lastTickMillis: Long? = null
    private var resumedAtMillis = Long.MIN_VALUE

    /** Returns the entry of this router as last set with [updateSelf]. */
    public fun self(): Member = self

    /** Replaces the entry of this router: for each new heartbeat, and when it starts to leave. */
    public fun updateSelf(member: Member) {
        require(member.router == self.router) { "the id of this router cannot change" }
        self = member
    }

    /**
     * Sets the peer addresses of the routers in the VM list. An empty list is ignored, because the platform can be
     * wrong and a list without routers never proves that a router has stopped.
     */
    public fun updateVmList(addresses: Set<String>) {
        if (addresses.isNotEmpty()) vmListAddresses = addresses
    }

    /**
     * Returns the addresses of routers that are listed or have sent heartbeats, and are silent now. Messages still go
     * to a few of them in each round, because the end of a partition is not signalled.
     */
    public fun silentAddresses(): Set<String> {
        val (lost, live) = entries.values.filter { !it.replaced }.partition { it.lostAtMillis != null }
        return configuredPeers + listedAddresses() + lost.map { it.member.address } -
            live.map { it.member.address }.toSet() -
            self.address
    }

    /**
     * Applies [member] as sent or relayed by a router, and returns the changes. Ignores old and repeated heartbeats.
     */
    public fun observe(member: Member, nowMillis: Long): List<MemberChange> {
        detectPause(nowMillis)
        if (member.router == self.router) return emptyList()
        val entry = entries[member.router]
        return when {
            entry == null -> add(member, nowMillis)
            entry.replaced || member.heartbeat <= entry.member.heartbeat -> emptyList()
            else -> refresh(entry, member, nowMillis)
        }
    }

    /** Marks silent routers as lost and returns them, and removes incarnations lost longer ago than the retention. */
    public fun tick(nowMillis: Long): List<MemberChange> {
        detectPause(nowMillis)
        lastTickMillis = nowMillis
        val silent =
            entries.values.filter {
                it.lostAtMillis == null &&
                    nowMillis - maxOf(it.lastHeartbeatMillis, resumedAtMillis) > settings.suspicionTimeoutMillis
            }
        silent.forEach { it.lostAtMillis = nowMillis }
        removeExpired(nowMillis)
        return silent.map {
            MemberChange.Lost(it.member, "no heartbeat for over ${settings.suspicionTimeoutMillis} ms")
        }
    }

    /** Returns all live routers in order of their ids, including this one and those that are leaving. */
    public fun live(): List<Member> =
        (entries.values.filter { it.lostAtMillis == null }.map { it.member } + self).sortedBy { it.router.value }

    /**
     * Returns when the heartbeat of [router] last increased, in milliseconds; far in the past for an unknown router.
     */
    public fun lastHeartbeatMillis(router: RouterId): Long = entries[router]?.lastHeartbeatMillis ?: Long.MIN_VALUE / 2

    /** See [MemberSnapshot.possiblyAliveSince]. */
    public fun possiblyAliveSince(instantMillis: Long): List<Member> = snapshot().possiblyAliveSince(instantMillis)

    /** Returns an immutable snapshot for the request path. */
    public fun snapshot(): MemberSnapshot =
        MemberSnapshot(
            self = self,
            records =
                entries.values.map { MemberRecord(it.member, it.lastHeartbeatMillis, it.lostAtMillis, it.replaced) },
            listedAddresses = listedAddresses(),
            clockToleranceMillis = settings.clockToleranceMillis,
            live = live(),
            hasCandidateSource = hasCandidateSource(),
        )

    /** Returns whether any source lists the other routers. Until then this router must not count as the whole fleet. */
    public fun hasCandidateSource(): Boolean =
        !expectsVmList || configuredPeers.isNotEmpty() || vmListAddresses != null || entries.isNotEmpty()

    /** Settings name the initial peers; a VM list is more accurate and replaces them once received. */
    private fun listedAddresses(): Set<String> = vmListAddresses ?: configuredPeers

    private fun add(member: Member, nowMillis: Long): List<MemberChange> {
        val sameAddress = entries.values.filter { it.member.address == member.address && !it.replaced }
        val newerIncarnations = sameAddress.filter { it.member.startedAtMillis > member.startedAtMillis }
        val entry = MemberEntry(member, nowMillis)
        entries[member.router] = entry
        if (newerIncarnations.isNotEmpty()) {
            entry.replaceAt(newerIncarnations.minOf { it.member.startedAtMillis })
            return emptyList()
        }
        val replacedLive = sameAddress.filter { it.lostAtMillis == null }
        sameAddress.forEach { it.replaceAt(member.startedAtMillis) }
        return replacedLive.map { MemberChange.Lost(it.member, "replaced by ${member.router}") } + joinChanges(member)
    }

    private fun joinChanges(member: Member): List<MemberChange> =
        listOfNotNull(
            MemberChange.Joined(member),
            MemberChange.Leaving(member).takeIf { member.state == MemberState.LEAVING },
        )

    private fun refresh(entry: MemberEntry, member: Member, nowMillis: Long): List<MemberChange> {
        val previous = entry.member
        val wasLost = entry.lostAtMillis != null
        entry.member = member
        entry.lastHeartbeatMillis = nowMillis
        entry.lostAtMillis = null
        return when {
            wasLost -> joinChanges(member)
            previous.state != member.state -> listOf(MemberChange.Leaving(member))
            else -> emptyList()
        }
    }

    /**
     * Detects a pause of this process. All heartbeats are old then, so that no router counts as lost until another
     * suspicion timeout has passed.
     */
    private fun detectPause(nowMillis: Long) {
        val previousTickMillis = lastTickMillis ?: return
        if (nowMillis - previousTickMillis > settings.suspicionTimeoutMillis) {
            resumedAtMillis = nowMillis
            lastTickMillis = nowMillis
        }
    }

    private fun removeExpired(nowMillis: Long) {
        val unconfirmed = entries.values.count { it.lostAtMillis != null && !it.replaced }
        // A large part of the fleet that is silent is more likely partitioned than stopped, and is kept for longer.
        val keepsUnconfirmed = unconfirmed * 2 > entries.size - unconfirmed
        entries.values.removeIf { entry ->
            val lostAt = entry.lostAtMillis ?: return@removeIf false
            val retention =
                if (keepsUnconfirmed && !entry.replaced) UNCONFIRMED_RETENTION_MILLIS else settings.retentionMillis
            nowMillis - lostAt > retention
        }
    }

    private companion object {
        /**
         * Retention of routers that were lost together, which bounds the memory for them. It is longer than any
         * partition that the fleet is designed for.
         */
        const val UNCONFIRMED_RETENTION_MILLIS = 86_400_000L
    }
}

private class MemberEntry(var member: Member, var lastHeartbeatMillis: Long) {
    var lostAtMillis: Long? = null
    var replaced = false

    fun replaceAt(successorStartMillis: Long) {
        replaced = true
        lostAtMillis = lostAtMillis?.let { minOf(it, successorStartMillis) } ?: successorStartMillis
    }
}
