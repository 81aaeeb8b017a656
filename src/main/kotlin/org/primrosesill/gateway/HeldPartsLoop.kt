/*
 * Learns after the start of a gateway what engines have read: from a gateway that knows, or, when none does, from the engines
 * themselves, each of which is asked by one gateway.
 *
 * Load pattern: after a loss of power of all VMs the whole traffic returns at once, and engines would read again what they
 * hold.
 */
package org.primrosesill.gateway

import arrow.core.Either
import com.dynatrace.hash4j.hashing.Hashing
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
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

/** Runs once on the control thread. */
internal class HeldPartsLoop(
    private val firstStart: Boolean,
    private val keeper: DirectoryKeeper,
    private val fleet: Fleet,
    private val peers: PeerClient,
    private val news: TrafficNews,
    private val events: EventLog,
    private val startRound: () -> Unit,
    private val askEngine: suspend (String) -> Either<FeedError, List<PromptPartId>>,
) {
    suspend fun run() {
        if (firstStart) return
        keeper.awaitConfiguration(START_TIMEOUT)
        delay(MEETING)
        if (learnFromPeers()) return
        if (engines().size > EAGERLY_ASKED) awaitFleet()
        coroutineScope {
            engines().filter { isMine(it) }.forEach { launch { learnFrom(it) } }
        }
        startRound()
    }

    /** Until gateways know each other, each would ask all engines. */
    private suspend fun awaitFleet() {
        while (!fleet.isKnown) delay(FLEET_POLL)
    }

    private suspend fun learnFrom(engine: KnownUpstream) {
        askEngine(engine.registration.address).fold(
            { events.record(EventType.PEER_FAILED, "what it has read: $it", EventSubject(upstream = engine.id)) },
            { news.takeHeldParts(engine.id, it) },
        )
    }

    private suspend fun learnFromPeers(): Boolean {
        for (peer in fleet.others().shuffled().take(PEERS_ASKED)) {
            val parts = peers.heldParts(peer.address).fold({ noteFailure(it) }, { it })
            if (parts == null || parts.engines.isEmpty()) continue
            news.takeHeldParts(parts)
            return true
        }
        return false
    }

    private fun noteFailure(failure: PeerFailure): HeldParts? {
        events.record(EventType.PEER_FAILED, "what engines have read: $failure")
        return null
    }

    private fun engines(): List<KnownUpstream> {
        val view = keeper.view
        val pools =
            view.configuration
                ?.pools
                .orEmpty()
                .filterValues { it.engine != null }
        return pools.keys.flatMap { view.upstreams[it].orEmpty() }
    }

    private fun isMine(engine: KnownUpstream): Boolean {
        val self = fleet.self()
        val near = (fleet.others() + self).filter { it.availabilityZone == engine.registration.availabilityZone }
        return near.ifEmpty { fleet.others() + self }.maxBy { rank(engine.id, it) }.router == self.router
    }

    private fun rank(engine: UpstreamId, gateway: Member): Long =
        Hashing
            .komihash5_0()
            .hashStream()
            .putString(engine.value)
            .putString(gateway.router.value)
            .asLong

    private companion object {
        val START_TIMEOUT = 30.seconds

        /** Time for the first round of the exchange. */
        val MEETING = 100.milliseconds
        const val PEERS_ASKED = 2

        /** Up to this many engines are asked before the fleet is known, since their answers save more than some calls cost. */
        const val EAGERLY_ASKED = 32
        val FLEET_POLL = 200.milliseconds
    }
}
