/*
 * Elects the routers that watch the platform. Two readers per zone are elected by rendezvous hashing over the live
 * routers, so the calls to the platform grow with the number of zones and not with the number of routers. When
 * heartbeats from both readers of a zone are missing, the other routers of the zone take over with a jitter derived
 * from a hash of their ids.
 */
package org.primrosesill.configuration

import com.dynatrace.hash4j.hashing.Hashing
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.RouterId

/** A live router for [ReaderElection]; [lastHeartbeatMillis] is when its heartbeat counter last increased. */
public data class ReaderCandidate(
    val router: RouterId,
    val availabilityZone: AvailabilityZoneId,
    val lastHeartbeatMillis: Long,
)

/** A peer with the configuration [revision] that it sent in the exchange. */
public data class PeerRevision(val router: RouterId, val revision: Long)

/** Whether and why a router reads the platform. */
public enum class ReaderRole(public val isReader: Boolean, public val cause: String) {
    ELECTED(true, "elected by rendezvous hashing"),
    TAKEN_OVER(true, "no heartbeat from a reader of the zone"),
    FOLLOWER(false, "a reader of the zone is live"),
}

/** Decides whether the router [selfRouter] in [availabilityZone] reads the platform. Stateless. */
public class ReaderElection(private val selfRouter: RouterId, private val availabilityZone: AvailabilityZoneId) {
    /** Returns the role at [nowMillis]; [candidates] are the live routers, with or without [selfRouter]. */
    public fun role(candidates: Collection<ReaderCandidate>, nowMillis: Long): ReaderRole {
        val zone = candidates.filter { it.availabilityZone == availabilityZone && it.router != selfRouter }
        val readers = readersOf(availabilityZone, zone.map { it.router } + selfRouter)
        if (selfRouter in readers) return ReaderRole.ELECTED
        val lastHeartbeat = zone.filter { it.router in readers }.maxOf { it.lastHeartbeatMillis }
        val takeoverAtMillis = lastHeartbeat + READER_TIMEOUT_MILLIS + takeoverJitter(selfRouter)
        return if (nowMillis >= takeoverAtMillis) ReaderRole.TAKEN_OVER else ReaderRole.FOLLOWER
    }

    public companion object {
        /** Readers per zone. Two, so that one can fail without a delay. */
        public const val READERS_PER_ZONE: Int = 2

        /** Time without heartbeats from both readers after which other routers take over, in milliseconds. */
        public const val READER_TIMEOUT_MILLIS: Long = 3_000

        /** Upper bound of the jitter with which the routers of a zone take over, in milliseconds. */
        public const val TAKEOVER_JITTER_MILLIS: Long = 1_000

        /** Returns the elected readers of [zone] among its live [routers]. */
        public fun readersOf(zone: AvailabilityZoneId, routers: Collection<RouterId>): List<RouterId> =
            routers
                .distinct()
                .sortedWith(compareByDescending<RouterId> { weight(zone, it) }.thenBy { it.value })
                .take(READERS_PER_ZONE)

        /**
         * Returns the peer to fetch missing documents from, or null if no peer is ahead of [ownRevision]. Routers
         * prefer different ones of the peers with the highest revision, so that no single peer serves all of them. Each
         * next [attempt] selects the next peer, since the previous one may have failed since its last heartbeat.
         */
        public fun selectCatchUpPeer(
            selfRouter: RouterId,
            ownRevision: Long,
            peers: Collection<PeerRevision>,
            attempt: Int = 0,
        ): RouterId? {
            val peersAhead =
                peers
                    .filter { it.revision > ownRevision }
                    .sortedWith(
                        compareByDescending<PeerRevision> { it.revision }
                            .thenByDescending { weight(AvailabilityZoneId(selfRouter.value), it.router) },
                    )
            return if (peersAhead.isEmpty()) null else peersAhead[Math.floorMod(attempt, peersAhead.size)].router
        }

        private fun weight(zone: AvailabilityZoneId, router: RouterId): Long =
            Hashing
                .xxh3_64()
                .hashStream()
                .putString(zone.value)
                .putString(router.value)
                .asLong

        private fun takeoverJitter(router: RouterId): Long =
            Math.floorMod(Hashing.xxh3_64().hashCharsToLong(router.value), TAKEOVER_JITTER_MILLIS)
    }
}
