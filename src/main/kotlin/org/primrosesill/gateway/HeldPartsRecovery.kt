/*
 * Restores, after the restart of a gateway, its record of the prompt parts that engines hold: from a peer that has such
 * a record or, if none has, from the engines themselves, each of which is called by one gateway only.
 *
 * Load pattern: after a power loss of all VMs the whole traffic returns at once. Without the record, prompt parts that
 * an engine already holds would be processed again.
 */
package org.primrosesill.gateway

import arrow.core.Either
import com.dynatrace.hash4j.hashing.Hashing
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import org.primrosesill.discovery.FeedError
import org.primrosesill.discovery.KnownUpstream
import org.primrosesill.event.EventLog
import org.primrosesill.event.EventSubject
import org.primrosesill.generated.EventType
import org.primrosesill.generated.HeldParts
import org.primrosesill.generated.Member
import org.primrosesill.model.UpstreamId
import org.primrosesill.placement.PromptPartId
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Runs once after the start, on the control thread. */
internal class HeldPartsRecovery(
    private val firstStart: Boolean,
    private val directory: DirectoryManager,
    private val fleet: Fleet,
    private val peerClient: PeerClient,
    private val trafficGossip: TrafficGossip,
    private val events: EventLog,
    private val startRound: () -> Unit,
    private val fetchFromEngine: suspend (String) -> Either<FeedError, List<PromptPartId>>,
) {
    private val calls = Semaphore(MAXIMUM_CONCURRENT_CALLS)

    /** Does nothing at the first start of the whole system, when the prompt caches of all engines are empty. */
    suspend fun run() {
        if (firstStart) return
        directory.awaitConfiguration(CONFIGURATION_TIMEOUT)
        delay(FIRST_ROUND_DELAY)
        if (recoverFromPeers()) return
        if (engines().size > IMMEDIATE_FETCH_LIMIT) awaitSettledFleet()
        coroutineScope {
            engines().filter { isAssignedToSelf(it) }.forEach { launch { calls.withPermit { recoverFrom(it) } } }
        }
        startRound()
    }

    /** Waits until the member list has settled: before that, each gateway would call all engines. */
    private suspend fun awaitSettledFleet() {
        while (!fleet.isSettled) delay(SETTLED_POLL_INTERVAL)
    }

    private suspend fun recoverFrom(engine: KnownUpstream) {
        fetchFromEngine(engine.registration.address).fold(
            { events.record(EventType.PEER_FAILED, "held parts not fetched: $it", EventSubject(upstream = engine.id)) },
            { trafficGossip.addHeldParts(engine.id, it) },
        )
    }

    private suspend fun recoverFromPeers(): Boolean {
        for (peer in fleet.others().shuffled().take(MAXIMUM_PEERS)) {
            val parts = peerClient.fetchHeldParts(peer.address).fold({ recordFailure(it) }, { it })
            if (parts == null || parts.engines.isEmpty()) continue
            trafficGossip.addHeldParts(parts)
            return true
        }
        return false
    }

    private fun recordFailure(failure: PeerFailure): HeldParts? {
        events.record(EventType.PEER_FAILED, "held parts not fetched from a peer: $failure")
        return null
    }

    private fun engines(): List<KnownUpstream> {
        val view = directory.view
        val pools =
            view.configuration
                ?.pools
                .orEmpty()
                .filterValues { it.engine != null }
        return pools.keys.flatMap { view.upstreams[it].orEmpty() }
    }

    /**
     * Returns whether this gateway ranks highest for [engine] among the gateways of the engine's zone, or among all if
     * the zone has none.
     */
    private fun isAssignedToSelf(engine: KnownUpstream): Boolean {
        val self = fleet.self()
        val candidates = (fleet.others() + self).filter { it.availabilityZone == engine.registration.availabilityZone }
        return candidates.ifEmpty { fleet.others() + self }.maxBy { rank(engine.id, it) }.router == self.router
    }

    /** Returns the rendezvous hash of [engine] and [gateway]. */
    private fun rank(engine: UpstreamId, gateway: Member): Long =
        Hashing
            .komihash5_0()
            .hashStream()
            .putString(engine.value)
            .putString(gateway.router.value)
            .asLong

    private companion object {
        val CONFIGURATION_TIMEOUT = 30.seconds

        /** Time in which the first gossip round completes. */
        val FIRST_ROUND_DELAY = 100.milliseconds
        const val MAXIMUM_PEERS = 2

        /** The memory of a VM limits how many responses of the maximum length it can hold. */
        const val MAXIMUM_CONCURRENT_CALLS = 4

        /**
         * Largest number of engines that are called before the fleet has settled. Up to it, an early record saves more
         * than the duplicate calls of several gateways cost.
         */
        const val IMMEDIATE_FETCH_LIMIT = 32
        val SETTLED_POLL_INTERVAL = 200.milliseconds
    }
}
