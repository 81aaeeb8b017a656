/*
 * Replays requests to a plain service in virtual time: gateways select among upstreams with a few slots and a bounded queue,
 * and learn of each other's requests by gossip. Times are milliseconds.
 */
package org.primrosesill.placement

import org.primrosesill.discovery.DirectoryView
import org.primrosesill.discovery.KnownUpstream
import org.primrosesill.discovery.PlatformRevision
import org.primrosesill.exchange.planGossip
import org.primrosesill.exchange.shortCode
import org.primrosesill.forwarding.testUpstream
import org.primrosesill.gateway.decodeServiceCounts
import org.primrosesill.gateway.encodeServiceCounts
import org.primrosesill.generated.Member
import org.primrosesill.generated.MemberState
import org.primrosesill.load.ServiceConcurrency
import org.primrosesill.load.SilentUpstreams
import org.primrosesill.load.UpstreamActivity
import org.primrosesill.load.UpstreamLoads
import org.primrosesill.load.UpstreamNotices
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.RouterId
import org.primrosesill.model.UpstreamId
import java.util.Locale
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** What a response or rejection costs depends only on the slots, the queues and the speeds of the upstreams. */
class ServiceReplay(
    private val isLoadAware: Boolean,
    gateways: Int = 28,
    upstreamZones: List<String> = listOf("a", "b", "c", "d"),
    private val requestsPerSecond: Double = 145.0,
    seed: Long = 1,
) {
    private val random = Random(seed)
    private var now = 0L
    private var number = 0L
    private val events = PriorityQueue<Event>(compareBy({ it.atMillis }, { it.number }))
    private val upstreams =
        upstreamZones.mapIndexed { index, zone -> Upstream(testUpstream("service-$index", enginePool, zone)) }
    private val byId = upstreams.associateBy { it.known.id }
    private val byCode = byId.keys.associateBy { shortCode(it.value) }
    private val view =
        DirectoryView(
            PlatformRevision(1),
            PlacementReplay.engineConfiguration(),
            mapOf(enginePool to upstreams.map { it.known }),
        )
    private val gateways = List(gateways) { Gateway(it, "abcd"[it % 4].toString(), Random(seed * 1_000 + it)) }
    val responseMillis = mutableListOf<Long>()
    var rejections = 0
    var refused = 0

    /** Requests in [refused] while an upstream had free slots and nothing waiting. */
    var refusedWithFreeSlots = 0

    /** Requests in progress at an upstream that crashed. */
    var lost = 0

    /** Whether a gossip message from the first gateway reaches the second. */
    var delivers = { _: Int, _: Int -> true }

    /** Length in characters of the largest gossip field. */
    var largestText = 0
    private val loadSums = LongArray(upstreams.size)

    private class Event(val atMillis: Long, val number: Long, val action: () -> Unit)

    class Upstream(val known: KnownUpstream) {
        var slowness = 1.0
        var isCrashed = false
        var running = 0
        val queue = ArrayDeque<() -> Unit>()
    }

    inner class Gateway(val index: Int, zone: String, random: Random) {
        val zone = AvailabilityZoneId(zone)
        val member = Member(RouterId("gateway-$index"), "10.0.0.$index:80", this.zone, 0, 1, MemberState.LIVE)
        val activity = UpstreamActivity { now }
        val services = ServiceConcurrency(shortCode(member.router.value)) { now }
        val members = FleetMembers(member.router, emptySet(), isComplete = true)
        val placement =
            fleetPlacement(
                PlacementDependencies(
                    this.zone,
                    activity,
                    UpstreamLoads(activity) { now },
                    PromptCacheIndex { now },
                    ColdStartBudget({ ColdStartBound(1.5, 5) }, { members }, { now }),
                    SilentUpstreams("g$index", activity) { now },
                    UpstreamNotices({ 2_000 }, { now }),
                    { FleetReachability() },
                    {},
                    { now },
                    random,
                    isLoadAware = { isLoadAware },
                    services = services,
                ),
            )
    }

    fun at(millis: Long, action: () -> Unit) {
        events += Event(millis, number++, action)
    }

    fun upstream(index: Int): Upstream = upstreams[index]

    fun estimateOf(gateway: Int): Double = gateways[gateway].services.requestsInProgress

    val requestsInProgress: Int get() = upstreams.sumOf { it.running + it.queue.size }

    /** Ends the requests in progress at an upstream, which refuses connections from now on. */
    fun crash(index: Int) =
        upstreams[index].run {
            isCrashed = true
            queue.clear()
        }

    fun play(durationMillis: Long): ServiceReplay {
        var arrival = 0.0
        while (arrival < durationMillis) {
            arrival += -ln(1 - random.nextDouble()) * 1_000 / requestsPerSecond
            val gateway = gateways[random.nextInt(gateways.size)]
            at(arrival.toLong()) { send(gateway, now, emptySet()) }
        }
        for (gateway in gateways) {
            val first = random.nextLong(ROUND_MILLIS)
            for (millis in first..durationMillis step ROUND_MILLIS) at(millis) { gossip(gateway) }
        }
        for (millis in 0..durationMillis step SAMPLE_MILLIS) at(millis) { sampleLoads() }
        while (events.isNotEmpty()) {
            val event = events.poll()
            now = event.atMillis
            event.action()
        }
        return this
    }

    private fun sampleLoads() =
        upstreams.forEachIndexed { index, it -> loadSums[index] += (it.running + it.queue.size).toLong() }

    private fun gossip(gateway: Gateway) {
        val text = encodeServiceCounts(gateway.services.uses())
        largestText = maxOf(largestText, text.length)
        val peers = planGossip(now / ROUND_MILLIS, gateway.member, gateways.map { it.member }, random)
        for (peer in peers.map { member -> gateways.first { it.member === member } }) {
            if (!delivers(gateway.index, peer.index)) continue
            at(now + 2) { peer.services.merge(decodeServiceCounts(text, byCode)) }
        }
    }

    private fun send(gateway: Gateway, startedAt: Long, tried: Set<UpstreamId>) {
        val request = PlacementRequest(enginePool, null, 195.milliseconds, 0, tried)
        val chosen = gateway.placement.choose(request, view)
        if (chosen !is PlacementResult.Chosen || tried.size >= ATTEMPTS) {
            if (tried.isEmpty()) refuse()
            return
        }
        val upstream = byId.getValue(chosen.upstream.id)
        val way = if (upstream.known.registration.availabilityZone == gateway.zone) 0L else REMOTE_MILLIS
        gateway.activity.recordStart(upstream.known.id, 0)
        gateway.services.recordStart(upstream.known.id)
        val retry = {
            at(now + way) {
                end(gateway, upstream)
                send(gateway, startedAt, tried + upstream.known.id)
            }
        }
        at(now + way) {
            if (upstream.isCrashed) {
                gateway.activity.recordConnectionFailure(upstream.known.id)
                retry()
            } else if (upstream.running >= SLOTS && upstream.queue.size >= QUEUE) {
                rejections++
                gateway.services.recordNotRun(upstream.known.id, isFull = true)
                retry()
            } else {
                val start = { run(upstream) { at(now + way) { complete(gateway, upstream, startedAt) } } }
                if (upstream.running < SLOTS) start() else upstream.queue += start
            }
        }
    }

    private fun refuse() {
        refused++
        if (upstreams.any { !it.isCrashed && it.running < SLOTS && it.queue.isEmpty() }) refusedWithFreeSlots++
    }

    private fun run(upstream: Upstream, respond: () -> Unit) {
        upstream.running++
        at(now + (WORK_MILLIS * upstream.slowness * (0.8 + 0.4 * random.nextDouble())).toLong()) {
            upstream.running--
            if (upstream.isCrashed) lost++ else respond()
            upstream.queue.removeFirstOrNull()?.invoke()
        }
    }

    private fun complete(gateway: Gateway, upstream: Upstream, startedAt: Long) {
        end(gateway, upstream)
        gateway.activity.recordData(upstream.known.id)
        gateway.activity.recordSuccess(upstream.known.id)
        gateway.services.recordCompleted(upstream.known.id, (now - startedAt).milliseconds)
        responseMillis += now - startedAt
    }

    private fun end(gateway: Gateway, upstream: Upstream) {
        gateway.activity.recordEnd(upstream.known.id)
        gateway.services.recordEnd(upstream.known.id)
    }

    val late: Int get() = responseMillis.count { it > TARGET_MILLIS }
    val mean: Double get() = responseMillis.average()
    val p99: Long get() = responseMillis.sorted()[responseMillis.size * 99 / 100]
    val busiestToMean: Double get() = loadSums.max() * loadSums.size.toDouble() / loadSums.sum()

    override fun toString(): String =
        "mean %.1f ms, p99 $p99 ms, late $late of ${responseMillis.size}, busiest to mean %.2f, "
            .format(Locale.ROOT, mean, busiestToMean) +
            "rejected $rejections, refused $refused, lost $lost, gossip field $largestText characters"

    companion object {
        const val SLOTS = 6
        const val QUEUE = 24
        const val WORK_MILLIS = 43.0
        const val ROUND_MILLIS = 400L
        const val REMOTE_MILLIS = 2L
        const val SAMPLE_MILLIS = 5L
        const val ATTEMPTS = 3
        const val TARGET_MILLIS = 195L
    }
}
