/*
 * Which routers watch the platform. Two readers in each zone are chosen by rendezvous hashing over the live routers, so
 * the calls to the platform grow with the zones and not with the fleet. When neither reader of a zone is heard any
 * more, the other routers of the zone take over at times spread by a hash of their ids.
 */
package org.primrosesill.configuration

import com.dynatrace.hash4j.hashing.Hashing
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.RouterId

/** A live router as [ReaderElection] sees it; [lastHeardMillis] is when its heartbeat last grew. */
public data class ReaderCandidate(
    val router: RouterId,
    val availabilityZone: AvailabilityZoneId,
    val lastHeardMillis: Long,
)

/** A peer that shows its configuration [revision] in the exchange. */
public data class PeerRevision(val router: RouterId, val revision: Long)

/** Why a router reads the platform or leaves that to others. */
public enum class ReaderRole(public val reads: Boolean, public val cause: String) {
    ELECTED(true, "chosen by rendezvous hashing"),
    TAKEN_OVER(true, "no reader of the zone was heard"),
    FOLLOWER(false, "a reader of the zone is heard"),
}

/** Decides whether the router [own] in [availabilityZone] reads the platform. Pure. */
public class ReaderElection(private val own: RouterId, private val availabilityZone: AvailabilityZoneId) {
    /** Returns the role at [nowMillis]; [candidates] are the live routers, with or without [own]. */
    public fun role(candidates: Collection<ReaderCandidate>, nowMillis: Long): ReaderRole {
        val zone = candidates.filter { it.availabilityZone == availabilityZone && it.router != own }
        val readers = readersOf(availabilityZone, zone.map { it.router } + own)
        if (own in readers) return ReaderRole.ELECTED
        val lastHeard = zone.filter { it.router in readers }.maxOf { it.lastHeardMillis }
        val takeOverMillis = lastHeard + UNHEARD_MILLIS + spread(own)
        return if (nowMillis >= takeOverMillis) ReaderRole.TAKEN_OVER else ReaderRole.FOLLOWER
    }

    public companion object {
        /** Readers of one zone. Two, so that one can fail without a delay. */
        public const val READERS_PER_ZONE: Int = 2

        /** Silence of both readers after which others take over, in milliseconds. */
        public const val UNHEARD_MILLIS: Long = 3_000

        /** The take-over of a zone's routers is spread over this time, in milliseconds. */
        public const val SPREAD_MILLIS: Long = 1_000

        /** Returns the readers of [zone] among its live routers. */
        public fun readersOf(zone: AvailabilityZoneId, routers: Collection<RouterId>): List<RouterId> =
            routers
                .distinct()
                .sortedWith(compareByDescending<RouterId> { weight(zone, it) }.thenBy { it.value })
                .take(READERS_PER_ZONE)

        /**
         * Returns the peer to pull missing documents from, or null when no peer is ahead of [ownRevision]. Routers
         * prefer different ones of the peers with the highest revision, so that no single peer serves all of them.
         * A higher [turn] takes the next peer, since the first one may have died a moment ago.
         */
        public fun catchUpFrom(
            own: RouterId,
            ownRevision: Long,
            peers: Collection<PeerRevision>,
            turn: Int = 0,
        ): RouterId? {
            val ahead =
                peers
                    .filter { it.revision > ownRevision }
                    .sortedWith(
                        compareByDescending<PeerRevision> { it.revision }
                            .thenByDescending { weight(AvailabilityZoneId(own.value), it.router) },
                    )
            return if (ahead.isEmpty()) null else ahead[Math.floorMod(turn, ahead.size)].router
        }

        private fun weight(zone: AvailabilityZoneId, router: RouterId): Long =
            Hashing
                .xxh3_64()
                .hashStream()
                .putString(zone.value)
                .putString(router.value)
                .asLong

        private fun spread(router: RouterId): Long =
            Math.floorMod(Hashing.xxh3_64().hashCharsToLong(router.value), SPREAD_MILLIS)
    }
}
