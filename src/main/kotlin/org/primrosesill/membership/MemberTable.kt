/*
 * Which routers exist, as one router sees it. Settings and the VM list only name candidates; a growing heartbeat proves
 * that a router is alive. The control thread owns the table and passes the time to each call.
 */
package org.primrosesill.membership

import org.primrosesill.generated.Member
import org.primrosesill.generated.MemberState
import org.primrosesill.model.RouterId

/**
 * Times of the member table, in milliseconds.
 *
 * @property suspicionTimeoutMillis silence after which a router counts as lost
 * @property retentionMillis how long an ended incarnation is remembered; at least the longest key retention
 * @property clockToleranceMillis largest difference between two clocks of the fleet
 */
public data class MemberTableSettings(
    val suspicionTimeoutMillis: Long = 5_000,
    val retentionMillis: Long = 902_000,
    val clockToleranceMillis: Long = 1_000,
)

/** One change of the table that an operator can see. */
public sealed interface MemberChange {
    public val member: Member

    /** The router is heard for the first time, or again after it was lost. */
    public data class Joined(override val member: Member) : MemberChange

    /** The router says that it is stopping. */
    public data class Leaving(override val member: Member) : MemberChange

    /** The router is silent, or a newer incarnation has its address. */
    public data class Lost(override val member: Member, val cause: String) : MemberChange
}

/**
 * The routers that [self] knows. Not safe for use from several threads.
 *
 * @param settingsPeers peer addresses from the settings of the router; they count as listed until a VM list is read
 * @param expectsVmList whether a platform is configured, so that an unread VM list means that routers may be unknown
 */
public class MemberTable(
    private var self: Member,
    private val settingsPeers: Set<String>,
    private val expectsVmList: Boolean,
    private val settings: MemberTableSettings = MemberTableSettings(),
) {
    private val entries = HashMap<RouterId, MemberEntry>()
    private var vmListAddresses: Set<String>? = null
    private var lastTickMillis: Long? = null
    private var awakeSinceMillis = Long.MIN_VALUE

    /** This router as it was last set with [updateSelf]. */
    public fun self(): Member = self

    /** Replaces this router's own entry, for each new heartbeat and when it starts to leave. */
    public fun updateSelf(member: Member) {
        require(member.router == self.router) { "the own router id cannot change" }
        self = member
    }

    /**
     * Takes the peer addresses of the routers in the VM list. An empty list is ignored, because the platform can be
     * wrong and a list without routers never proves that a router ended.
     */
    public fun updateVmList(addresses: Set<String>) {
        if (addresses.isNotEmpty()) vmListAddresses = addresses
    }

    /**
     * Addresses of routers that are listed, or were heard once, and are silent now. Messages still go to a few of them in
     * each round, because a partition ends without notice.
     */
    public fun silentAddresses(): Set<String> {
        val (lost, live) = entries.values.filter { !it.replaced }.partition { it.lostAtMillis != null }
        return settingsPeers + listedAddresses() + lost.map { it.member.address } -
            live.map { it.member.address }.toSet() -
            self.address
    }

    /** Takes [member] as some router sent or relayed it, and returns what changed. Old and repeated news is ignored. */
    public fun observe(member: Member, nowMillis: Long): List<MemberChange> {
        noticePause(nowMillis)
        if (member.router == self.router) return emptyList()
        val known = entries[member.router]
        return when {
            known == null -> add(member, nowMillis)
            known.replaced || member.heartbeat <= known.member.heartbeat -> emptyList()
            else -> refresh(known, member, nowMillis)
        }
    }

    /** Finds routers that fell silent and forgets incarnations that ended longer ago than the retention. */
    public fun tick(nowMillis: Long): List<MemberChange> {
        noticePause(nowMillis)
        lastTickMillis = nowMillis
        val silent =
            entries.values.filter {
                it.lostAtMillis == null &&
                    nowMillis - maxOf(it.heardAtMillis, awakeSinceMillis) > settings.suspicionTimeoutMillis
            }
        silent.forEach { it.lostAtMillis = nowMillis }
        forget(nowMillis)
        return silent.map { MemberChange.Lost(it.member, "silent for over ${settings.suspicionTimeoutMillis} ms") }
    }

    /** All routers that are alive, in order of their ids, with this one and with those that are leaving. */
    public fun live(): List<Member> =
        (entries.values.filter { it.lostAtMillis == null }.map { it.member } + self).sortedBy { it.router.value }

    /** When the heartbeat of [router] last grew, in milliseconds; far in the past for an unknown router. */
    public fun heardAtMillis(router: RouterId): Long = entries[router]?.heardAtMillis ?: Long.MIN_VALUE / 2

    /** See [MemberSnapshot.mayHaveBeenAliveAt]. */
    public fun mayHaveBeenAliveAt(instantMillis: Long): List<Member> = snapshot().mayHaveBeenAliveAt(instantMillis)

    /** Returns an immutable copy for traffic. */
    public fun snapshot(): MemberSnapshot =
        MemberSnapshot(
            self = self,
            held = entries.values.map { HeldMember(it.member, it.heardAtMillis, it.lostAtMillis, it.replaced) },
            listedAddresses = listedAddresses(),
            clockToleranceMillis = settings.clockToleranceMillis,
            live = live(),
            knowsCandidates = knowsCandidates(),
        )

    /** Whether the router has any source that names the others. Until then it must not count itself as the fleet. */
    public fun knowsCandidates(): Boolean =
        !expectsVmList || settingsPeers.isNotEmpty() || vmListAddresses != null || entries.isNotEmpty()

    /** Settings name peers to start from; once a VM list is known it is the better source. */
    private fun listedAddresses(): Set<String> = vmListAddresses ?: settingsPeers

    private fun add(member: Member, nowMillis: Long): List<MemberChange> {
        val sameAddress = entries.values.filter { it.member.address == member.address && !it.replaced }
        val newer = sameAddress.filter { it.member.startedAtMillis > member.startedAtMillis }
        val entry = MemberEntry(member, nowMillis)
        entries[member.router] = entry
        if (newer.isNotEmpty()) {
            entry.replaceAt(newer.minOf { it.member.startedAtMillis })
            return emptyList()
        }
        val replaced = sameAddress.filter { it.lostAtMillis == null }
        sameAddress.forEach { it.replaceAt(member.startedAtMillis) }
        return replaced.map { MemberChange.Lost(it.member, "replaced by ${member.router}") } + joined(member)
    }

    private fun joined(member: Member): List<MemberChange> =
        listOfNotNull(
            MemberChange.Joined(member),
            MemberChange.Leaving(member).takeIf { member.state == MemberState.LEAVING },
        )

    private fun refresh(entry: MemberEntry, member: Member, nowMillis: Long): List<MemberChange> {
        val before = entry.member
        val wasLost = entry.lostAtMillis != null
        entry.member = member
        entry.heardAtMillis = nowMillis
        entry.lostAtMillis = null
        return when {
            wasLost -> joined(member)
            before.state != member.state -> listOf(MemberChange.Leaving(member))
            else -> emptyList()
        }
    }

    /** After a pause every view is old: nobody is lost before there was time to hear from them again. */
    private fun noticePause(nowMillis: Long) {
        val last = lastTickMillis ?: return
        if (nowMillis - last > settings.suspicionTimeoutMillis) {
            awakeSinceMillis = nowMillis
            lastTickMillis = nowMillis
        }
    }

    private fun forget(nowMillis: Long) {
        val unproven = entries.values.count { it.lostAtMillis != null && !it.replaced }
        // A large part of the fleet that is silent is more likely cut off than ended, and stays remembered.
        val keepUnproven = unproven * 2 > entries.size - unproven
        entries.values.removeIf { entry ->
            val lostAt = entry.lostAtMillis ?: return@removeIf false
            val limit = if (keepUnproven && !entry.replaced) UNPROVEN_RETENTION_MILLIS else settings.retentionMillis
            nowMillis - lostAt > limit
        }
    }

    private companion object {
        /** Bounds the memory for routers that vanished together; longer than any partition the fleet is built for. */
        const val UNPROVEN_RETENTION_MILLIS = 86_400_000L
    }
}

private class MemberEntry(var member: Member, var heardAtMillis: Long) {
    var lostAtMillis: Long? = null
    var replaced = false

    fun replaceAt(startMillis: Long) {
        replaced = true
        lostAtMillis = lostAtMillis?.let { minOf(it, startMillis) } ?: startMillis
    }
}
