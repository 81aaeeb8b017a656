/*
 * Replays a load on several routers and a pool of engines in virtual time. Each engine prefills one prompt after the other
 * and caches every part that it has prefilled. Routers receive each other's messages with a delay, as over the exchange.
 */
package org.primrosesill.placement

import org.primrosesill.discovery.DirectoryView
import org.primrosesill.discovery.KnownUpstream
import org.primrosesill.discovery.PlatformRevision
import org.primrosesill.exchange.SMALL_FLEET_GATEWAYS
import org.primrosesill.exchange.planGossip
import org.primrosesill.forwarding.testConfiguration
import org.primrosesill.forwarding.testUpstream
import org.primrosesill.generated.Member
import org.primrosesill.generated.MemberState
import org.primrosesill.load.DispatchCorrection
import org.primrosesill.load.LoadObservation
import org.primrosesill.load.ReportedLoad
import org.primrosesill.load.SilenceReport
import org.primrosesill.load.SilentUpstreams
import org.primrosesill.load.UpstreamActivity
import org.primrosesill.load.UpstreamLoads
import org.primrosesill.load.UpstreamNotices
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.PoolId
import org.primrosesill.model.RouterId
import org.primrosesill.model.UpstreamId
import org.primrosesill.route.ColdStartLimits
import org.primrosesill.route.EnginePool
import org.primrosesill.route.PoolDefinition
import org.primrosesill.route.ServingConfiguration
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

val enginePool = PoolId("engines")

/** How requests are placed: by the product, or by a baseline that has the exact load of every engine. */
enum class Policy { PRODUCT, RANDOM, LEAST_LOAD }

/** The measurements of a replay. */
class ReplayResult {
    /** Tokens of shared parts that were prefilled although some engine had prefilled them before. */
    var tokensPrefilledAgain = 0L
    var tokensFetched = 0L
    var late = 0
    var requests = 0

    /** Requests that an engine accepted and never responded to. */
    var hung = 0

    /** Requests that reached an engine with more requests in flight than twice the mean of the pool plus three. */
    var overLoadBound = 0

    /** The requests in [overLoadBound], and all requests, by the age of the engine that they reached. */
    val overLoadBoundByAge = sortedMapOf<EngineAge, Int>()
    val requestsByAge = sortedMapOf<EngineAge, Int>()

    /** For each request in the order of arrival, its time in milliseconds and whether it counts in [overLoadBound]. */
    val loadBoundChecks = mutableListOf<Pair<Long, Boolean>>()

    /** Returns the largest fraction of the requests in any [windowMillis] that reached an engine over the load bound. */
    fun worstOverLoadBound(windowMillis: Long, fromMillis: Long = 0): Double {
        val checks = loadBoundChecks.filter { it.first >= fromMillis }
        var first = 0
        var over = 0
        var worst = 0.0
        for ((index, check) in checks.withIndex()) {
            if (check.second) over++
            while (checks[first].first <= check.first - windowMillis) if (checks[first++].second) over--
            if (over >= MINIMUM_OVER_LOAD_BOUND) worst = maxOf(worst, over.toDouble() / (index - first + 1))
        }
        return worst
    }

    /** Arrival times of the requests of each engine, in milliseconds. */
    val arrivals = HashMap<UpstreamId, MutableList<Long>>()
    val rejected = mutableListOf<Long>()

    /** The ratio of the busiest engine's load to the mean at the arrival of each request, with its time in milliseconds. */
    val loadRatios = mutableListOf<Pair<Long, Double>>()

    private companion object {
        /** Fewer requests over the bound in one window are not significant. */
        const val MINIMUM_OVER_LOAD_BOUND = 20
    }
}

/** Whether an engine has joined within the last seconds, is leaving, or neither. */
enum class EngineAge { JOINED, OLDER, LEAVING }

class ReplayEngine(var upstream: KnownUpstream, val startedAtMillis: Long = 0) {
    val cached = HashSet<PromptPartId>()
    var idleAtMillis = 0L
    var inFlight = 0
    var failureRate = 0.0

    /** Accepts requests and never responds. */
    var hangs = false
}

class PlacementReplay(
    private val policy: Policy,
    routers: Int,
    engines: List<KnownUpstream>,
    private val seed: Long = 1,
    private val exchangeMillis: Long = 350,
    private val latencyTargetMillis: Long = 800,
    private val countDelayMillis: Long = 40,
    private val lateNews: LateNews = LateNews.NONE,
    private val isLoadAware: Boolean = false,
) {
    private val random = Random(seed)
    private var now = 0L
    private val engines = engines.associateByTo(LinkedHashMap(), { it.id }, { ReplayEngine(it) })
    private val events = PriorityQueue<Event>(compareBy({ it.atMillis }, { it.number }))
    private var nextEventNumber = 0L
    private val routers = List(routers) { Router(it, routers) }
    private val members = this.routers.map { it.member }
    private val gossipRandom = Random(seed)
    private val prefilledBefore = HashSet<PromptPartId>()
    private var view =
        DirectoryView(PlatformRevision(1), engineConfiguration(), mapOf(enginePool to engines))
    val result = ReplayResult()

    private class Event(val atMillis: Long, val number: Long, val action: () -> Unit)

    /** The message that one router sends in a round. */
    private class RouterMessage(
        val loads: List<LoadObservation>,
        val parts: PartsByEngine,
        val silent: List<SilenceReport>,
        val sender: RouterId,
        val dispatches: Map<UpstreamId, Int>,
    )

    /** Routers are distributed over the zones of the engines in turn. */
    private inner class Router(number: Int, count: Int) {
        val zone = AvailabilityZoneId(ZONES[number % ZONES.size])
        val activity = UpstreamActivity { now }
        val index = PromptCacheIndex { now }
        val members =
            FleetMembers(
                RouterId("router-$number"),
                (0 until count).filter { it != number }.mapTo(HashSet()) { RouterId("router-$it") },
                isComplete = true,
            )
        val loads =
            UpstreamLoads(activity, DispatchCorrection({ isLoadAware }, { now })) { now }.also {
                if (count <= SMALL_FLEET_GATEWAYS) it.expectCounts(members.others)
            }
        val silent = SilentUpstreams("r$number", activity) { now }
        val member =
            Member(RouterId("router-$number"), "10.0.0.$number:80", zone, 0, 1, MemberState.LIVE)

        fun message() =
            RouterMessage(
                loads.recentObservations(),
                index.recentUpdates(),
                silent.reports(),
                members.self,
                loads.recentDispatches(),
            )

        fun receive(message: RouterMessage) {
            loads.merge(message.loads)
            index.merge(message.parts)
            silent.addReports(message.silent)
            loads.mergeDispatches(message.sender, message.dispatches)
        }

        val placement =
            fleetPlacement(
                PlacementDependencies(
                    zone,
                    activity,
                    loads,
                    index,
                    ColdStartBudget({ ColdStartBound(1.5, 5) }, { members }, { now }),
                    silent,
                    UpstreamNotices({ 2_000 }, { now }),
                    { FleetReachability() },
                    { at(now + countDelayMillis) { sendCounts(this) } },
                    { now },
                    Random(seed + number),
                    isLoadAware = { isLoadAware },
                ),
            )
    }

    fun engine(id: String): ReplayEngine = engines.getValue(UpstreamId(id))

    /** Starts an engine, which is cold for [coldMillis]. */
    fun startEngine(number: Int, coldMillis: Long) {
        val known = engine(number, coldUntilMillis = now + coldMillis)
        engines[known.id] = ReplayEngine(known, startedAtMillis = now)
        publish(engines.values.map { it.upstream })
    }

    /** Makes [count] engines leave that were started first: they get no new requests, and are removed once drained. */
    fun drainEngines(count: Int) {
        val leaving = engines.values.filter { it.upstream.ineligibleReason == null }.take(count)
        leaving.forEach { it.upstream = it.upstream.copy(ineligibleReason = "it is draining") }
        publish(engines.values.map { it.upstream })
        at(now + DRAIN_MILLIS) { remove(leaving.map { it.upstream.id }.toSet()) }
    }

    private fun remove(ids: Set<UpstreamId>) {
        engines.keys.removeAll(ids)
        publish(engines.values.map { it.upstream })
        for (router in routers) {
            router.index.removeEngines(ids)
            router.activity.retain(engines.keys)
            router.loads.retain(engines.keys)
        }
    }

    private fun publish(upstreams: List<KnownUpstream>) {
        view =
            DirectoryView(
                PlatformRevision(view.revision.number + 1),
                view.configuration,
                mapOf(enginePool to upstreams),
            )
    }

    fun at(millis: Long, action: () -> Unit) {
        events += Event(millis, nextEventNumber++, action)
    }

    /** Runs [action] in [delayMillis], at once if that is 0. */
    private fun after(delayMillis: Long, action: () -> Unit) {
        if (delayMillis == 0L) action() else at(now + delayMillis, action)
    }

    fun play(load: List<ReplayRequest>): ReplayResult {
        load.forEach { request -> at(request.atMillis) { arrive(request) } }
        val end = load.maxOf { it.atMillis }
        for (millis in exchangeMillis..end step exchangeMillis) at(millis) { exchange(millis / exchangeMillis) }
        while (events.isNotEmpty()) {
            val event = events.poll()
            now = event.atMillis
            event.action()
        }
        return result
    }

    private fun arrive(request: ReplayRequest) {
        val router = routers[request.router % routers.size]
        val chosen =
            when (policy) {
                Policy.RANDOM -> PlacementResult.Chosen(engines.values.random(random).upstream)
                Policy.LEAST_LOAD ->
                    PlacementResult.Chosen(
                        engines.values
                            .shuffled(random)
                            .minBy { it.inFlight }
                            .upstream,
                    )
                Policy.PRODUCT ->
                    when (val placed = router.placement.choose(placementRequest(request), view)) {
                        is PlacementResult.Chosen -> placed
                        is PlacementResult.Rejected -> {
                            result.rejected += now
                            return
                        }
                    }
            }
        serve(router, request, chosen)
    }

    private fun placementRequest(request: ReplayRequest) =
        PlacementRequest(
            enginePool,
            request.prompt,
            latencyTargetMillis.milliseconds,
            bodyBytes = 4_000,
            excluded = emptySet(),
        )

    private fun serve(router: Router, request: ReplayRequest, chosen: PlacementResult.Chosen) {
        val engine = engines.getValue(chosen.upstream.id)
        router.activity.recordStart(engine.upstream.id, chosen.prefillTokens)
        after(lateNews.requestDelayMillis(now)) { reach(engine, router, request, chosen) }
    }

    /** Plays the arrival of a request at [engine] and what follows from it. */
    private fun reach(engine: ReplayEngine, router: Router, request: ReplayRequest, chosen: PlacementResult.Chosen) {
        count(engine)
        if (engine.hangs) return hang(router, engine, chosen)
        if (random.nextDouble() < engine.failureRate) return fail(router, engine, chosen)
        val prefillTokens = prefill(engine, request.prompt, chosen.prefixSource?.let { engines[it.id] })
        engine.inFlight++
        val firstEventMillis = maxOf(now, engine.idleAtMillis) + prefillTokens / PREFILL_TOKENS_PER_MILLISECOND
        engine.idleAtMillis = firstEventMillis
        if (firstEventMillis - now > latencyTargetMillis) result.late++
        respond(engine, router, request, chosen, firstEventMillis)
    }

    private fun respond(
        engine: ReplayEngine,
        router: Router,
        request: ReplayRequest,
        chosen: PlacementResult.Chosen,
        firstEventMillis: Long,
    ) {
        val upstream = engine.upstream.id
        at(firstEventMillis) {
            val load = engine.inFlight
            after(lateNews.responseDelayMillis(now)) {
                router.activity.recordPrefillEnd(upstream, chosen.prefillTokens)
                router.index.recordCached(request.prompt.sharedParts, upstream)
                router.loads.recordReported(upstream, ReportedLoad(load, 0, 48))
            }
        }
        for (millis in 0..request.responseMillis step STREAM_EVENT_MILLIS) {
            at(firstEventMillis + millis) {
                after(lateNews.responseDelayMillis(now)) { router.activity.recordData(upstream) }
            }
        }
        at(firstEventMillis + request.responseMillis) {
            engine.inFlight--
            after(lateNews.responseDelayMillis(now)) {
                router.activity.recordEnd(upstream)
                router.activity.recordSuccess(upstream)
            }
        }
    }

    private fun fail(router: Router, engine: ReplayEngine, chosen: PlacementResult.Chosen) {
        router.activity.recordPrefillEnd(engine.upstream.id, chosen.prefillTokens)
        router.activity.recordEnd(engine.upstream.id)
        router.activity.recordErrorResponse(engine.upstream.id)
    }

    /** Keeps the request in flight until the deadline of its caller, as there is no response. */
    private fun hang(router: Router, engine: ReplayEngine, chosen: PlacementResult.Chosen) {
        result.hung++
        router.activity.recordPrefillEnd(engine.upstream.id, chosen.prefillTokens)
        at(now + DEADLINE_MILLIS) {
            router.activity.recordEnd(engine.upstream.id)
            router.activity.recordConnectionFailure(engine.upstream.id)
        }
    }

    private fun count(engine: ReplayEngine) {
        result.requests++
        val mean = engines.values.sumOf { it.inFlight }.toDouble() / engines.size
        val over = engine.inFlight > 2 * mean + 3
        if (mean > 0) result.loadRatios += now to engines.values.maxOf { it.inFlight } / mean
        if (over) {
            result.overLoadBound++
            result.overLoadBoundByAge.merge(ageOf(engine), 1, Int::plus)
        }
        result.requestsByAge.merge(ageOf(engine), 1, Int::plus)
        result.loadBoundChecks += now to over
        result.arrivals.getOrPut(engine.upstream.id) { mutableListOf() } += now
    }

    private fun ageOf(engine: ReplayEngine): EngineAge =
        when {
            engine.upstream.ineligibleReason != null -> EngineAge.LEAVING
            now - engine.startedAtMillis < JOINED_MILLIS && engine.startedAtMillis > 0 -> EngineAge.JOINED
            else -> EngineAge.OLDER
        }

    private fun prefill(engine: ReplayEngine, prompt: Prompt, source: ReplayEngine?): Int {
        var prefillTokens = prompt.promptTokens - prompt.sharedTokens
        var prefixCached = true
        for (part in prompt.sharedParts) {
            prefixCached = prefixCached && part.id in engine.cached
            if (prefixCached) continue
            if (source != null && part.id in source.cached) {
                result.tokensFetched += part.tokens
            } else {
                prefillTokens += part.tokens
                if (!prefilledBefore.add(part.id)) result.tokensPrefilledAgain += part.tokens
            }
            engine.cached += part.id
        }
        return prefillTokens
    }

    /** Sends the request counts of [router] to all others. */
    private fun sendCounts(router: Router) =
        routers.filter { it !== router }.forEach {
            it.loads.recordCounts(router.members.self, router.loads.ownCounts())
        }

    /** Runs a round of the exchange: each router sends its message to the peers that the gossip plan selects. */
    private fun exchange(round: Long) {
        val planned =
            routers.map { router -> planGossip(round, router.member, members, gossipRandom) to router.message() }
        if (routers.size <= SMALL_FLEET_GATEWAYS) routers.forEach(::sendCounts)
        for ((peers, message) in planned) {
            peers.forEach { peer ->
                after(lateNews.messageDelayMillis(now)) { routers[members.indexOf(peer)].receive(message) }
            }
        }
    }

    companion object {
        val ZONES = listOf("a", "b", "c")
        const val PREFILL_TOKENS_PER_MILLISECOND = 38
        const val DEADLINE_MILLIS = 5_000L

        /** Time for which a leaving engine stays in the directory. */
        const val DRAIN_MILLIS = 3_000L

        /** Time for which an engine counts as just joined. */
        const val JOINED_MILLIS = 5_000L

        /** Time between the events of a stream. */
        const val STREAM_EVENT_MILLIS = 200L

        fun engineConfiguration(): ServingConfiguration {
            val base = testConfiguration()
            val pool =
                PoolDefinition(enginePool, "/healthz", 500, ColdStartLimits(3.seconds, 10.0), EnginePool(96, 200_000))
            return ServingConfiguration(1, base.routes, mapOf(enginePool to pool), base.limits, base.accounts)
        }

        fun engines(count: Int, coldUntilMillis: (Int) -> Long = { 0 }): List<KnownUpstream> =
            List(count) { number -> engine(number, coldUntilMillis(number)) }

        private fun engine(number: Int, coldUntilMillis: Long): KnownUpstream {
            val known = testUpstream("engine-$number", enginePool, ZONES[number % 3], coldUntilMillis)
            return known.copy(registration = known.registration.copy(slots = 96))
        }
    }
}
