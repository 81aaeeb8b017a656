/*
 * Simulates the exchanges of a fleet in memory, for measurements and tests. Member tables, plans and messages are those
 * of the product. Rounds are synchronous: every message is composed from the state before the round.
 */
package org.primrosesill.experiment

import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import org.primrosesill.exchange.CompactExchange
import org.primrosesill.exchange.ExchangeContent
import org.primrosesill.exchange.ExchangeView
import org.primrosesill.exchange.FULL_MESH_ROUTERS
import org.primrosesill.exchange.PartTable
import org.primrosesill.exchange.planExchanges
import org.primrosesill.exchange.planProbes
import org.primrosesill.generated.ExchangeMessage
import org.primrosesill.generated.LoadReport
import org.primrosesill.generated.Member
import org.primrosesill.generated.MemberState
import org.primrosesill.generated.RouterPart
import org.primrosesill.generated.UpstreamState
import org.primrosesill.membership.MemberChange
import org.primrosesill.membership.MemberTable
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.RouterId
import org.primrosesill.model.UpstreamId
import java.util.Random
import java.util.UUID

/** Length of a round in milliseconds. Exchanges along a row and along a column of the grid take one round each. */
internal const val ROUND_MILLIS = 600L

/**
 * @param size number of routers
 * @param zones number of availability zones; routers are assigned to them in rotation
 * @param upstreams number of upstreams of the fleet; each is polled by two routers
 */
internal class ExchangeFleet(val size: Int, val zones: Int, private val upstreams: Int, seed: Long) {
    val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    var round = 3_400_000_000L
        private set
    val routers = MutableList(size) { ExchangeRouter(this, it) }

    /** Whether messages from the router with the first index to the one with the second index are lost. */
    var dropsMessage: (Int, Int) -> Boolean = { _, _ -> false }

    init {
        val members = routers.map { it.members.self() }
        val addresses = members.map { it.address }.toSet()
        routers.forEach { router ->
            router.members.updateVmList(addresses)
            members.forEach { router.members.observe(it, nowMillis()) }
        }
    }

    fun nowMillis(): Long = round * ROUND_MILLIS

    fun runningRouters(): List<ExchangeRouter> = routers.filter { it.running }

    /** Runs one round and delivers its messages in random order. */
    fun runRound() {
        round++
        runningRouters().forEach { it.startRound() }
        val byAddress = routers.associateBy { it.address }
        val exchanges =
            runningRouters().flatMap { from ->
                from.plan().map { (to, content) -> compose(from, byAddress.getValue(to), content) }
            }
        exchanges.shuffled(Random(random.nextLong())).forEach(::deliver)
    }

    /** Runs rounds until [condition] holds and returns their number, or null if [limit] rounds do not suffice. */
    fun roundsUntil(limit: Int, condition: () -> Boolean): Int? =
        (1..limit).firstOrNull { runRound().let { condition() } }

    /** Replaces the router at [index] by a new incarnation, which gets the other addresses only from the VM list. */
    fun restart(index: Int) {
        routers[index] = ExchangeRouter(this, index)
        routers[index].members.updateVmList(routers.map { it.address }.toSet())
    }

    /** Returns synthetic loads of the upstreams that have the router at [index] among their first [pollers] pollers. */
    fun polledLoads(index: Int, pollers: Int): Map<UpstreamId, Int> =
        (0 until upstreams)
            .filter { upstream -> (0 until pollers).any { (upstream + it * zones) % size == index } }
            .associate { UpstreamId("vm-$it") to ((it + round) % 40).toInt() }

    private fun compose(from: ExchangeRouter, to: ExchangeRouter, content: ExchangeContent): ComposedExchange {
        val request = from.compose(content)
        return ComposedExchange(
            from,
            to,
            request,
            if (to.running) to.compose(content, request) else null,
        )
    }

    private fun deliver(exchange: ComposedExchange) {
        val (from, to, request, reply) = exchange
        val requestBytes = Json.encodeToString(request).length + requestHeaderBytes(to.address)
        from.transferredBytes += requestBytes
        if (reply == null || dropsMessage(from.index, to.index)) return
        to.transferredBytes += requestBytes
        to.receive(request)
        val replyBytes = Json.encodeToString(reply).length + REPLY_HEADER_BYTES
        to.transferredBytes += replyBytes
        if (dropsMessage(to.index, from.index)) return
        from.transferredBytes += replyBytes
        from.receive(reply)
    }

    private data class ComposedExchange(
        val from: ExchangeRouter,
        val to: ExchangeRouter,
        val request: ExchangeMessage,
        val reply: ExchangeMessage?,
    )
}

/** One router of an [ExchangeFleet]. */
internal class ExchangeRouter(private val fleet: ExchangeFleet, val index: Int) {
    private val id = RouterId(UUID(fleet.random.nextLong(), fleet.random.nextLong()).toString())
    val address = "10.${index % fleet.zones}.${index / 250}.${index % 250}:7001"
    val members =
        MemberTable(
            Member(id, address, zoneId(), fleet.nowMillis(), fleet.round, MemberState.LIVE),
            configuredPeers = emptySet(),
            expectsVmList = true,
        )
    private val compact = CompactExchange(id)
    private val parts = PartTable(id)
    var configurationRevision = 22_000L
    var running = true

    /** Bytes sent and received, headers included. */
    var transferredBytes = 0L

    /** Number of times that this router reported a running router as lost. */
    var falseLosses = 0

    fun zoneId() = AvailabilityZoneId("zone-${index % fleet.zones}")

    fun startRound() {
        members.updateSelf(members.self().copy(heartbeat = fleet.round))
        val runningAddresses = fleet.runningRouters().map { it.address }.toSet()
        falseLosses +=
            members.tick(fleet.nowMillis()).count { it is MemberChange.Lost && it.member.address in runningAddresses }
        configurationRevision = highestRevision()
    }

    /** Returns the highest configuration revision that this router has accepted or received from a peer. */
    fun highestRevision(): Long =
        maxOf(
            configurationRevision,
            compact.highestConfigurationRevision,
            parts.parts().maxOfOrNull { it.configurationRevision } ?: 0,
        )

    fun plan(): List<Pair<String, ExchangeContent>> {
        val planned = planExchanges(fleet.round, id, members.live()).map { it.peer.address to it.content }
        val addresses = planned.map { it.first }.toSet()
        return planned +
            (planProbes(fleet.round, members.silentAddresses()) - addresses).map { it to ExchangeContent.BETWEEN_ZONES }
    }

    fun compose(content: ExchangeContent, request: ExchangeMessage? = null): ExchangeMessage {
        if (content != ExchangeContent.OWN_PART && members.live().size > FULL_MESH_ROUTERS) {
            return compact.compose(exchangeView(), content, request)
        }
        val loads = fleet.polledLoads(index, pollers = 2)
        val part =
            RouterPart(
                members.self(),
                configurationRevision,
                inFlight = loads.mapKeys { it.key.value },
                reports = loads.map { (upstream, load) -> report(upstream, load) },
            )
        return ExchangeMessage(fleet.round, listOf(part))
    }

    fun receive(message: ExchangeMessage) {
        compact.apply(message).forEach { members.observe(it, fleet.nowMillis()) }
        message.parts.forEach { parts.merge(it, fleet.nowMillis()) }
    }

    /** Returns the number of upstreams whose load this router has received from others. */
    fun receivedLoads(): Int = compact.loads(fleet.round).size

    /** Returns the addresses of the routers that this router counts as live. */
    fun liveAddresses(): Set<String> = members.live().map { it.address }.toSet()

    private fun exchangeView() =
        ExchangeView(
            fleet.round,
            members.self(),
            members.live(),
            configurationRevision,
            fleet.polledLoads(index, pollers = 1),
        )

    private fun report(upstream: UpstreamId, load: Int) =
        LoadReport(
            upstream,
            UpstreamState.WARM,
            running = load,
            queued = 0,
            capacity = 64,
            reportedAtMillis = fleet.nowMillis(),
        )
}

/** Returns the size in bytes of the request line and headers that a minimal HTTP/1.1 client sends. */
internal fun requestHeaderBytes(host: String): Int =
    "POST /peer/v1/exchange HTTP/1.1\r\nHost: $host\r\nContent-Type: application/json\r\nContent-Length: 1234\r\n\r\n"
        .length

/** Size in bytes of the status line and headers that a minimal HTTP/1.1 server sends. */
internal val REPLY_HEADER_BYTES: Int =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 1234\r\n\r\n".length
