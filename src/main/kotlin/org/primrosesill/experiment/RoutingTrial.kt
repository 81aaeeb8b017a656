/*
 * Runs one routing trial in virtual time: requests arrive at random routers, a policy chooses engines, and engines
 * join, leave, fail and turn cold. It uses no clock and no thread, so the same seed gives the same result.
 */
package org.primrosesill.experiment

import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import org.primrosesill.routing.loadBound
import java.util.PriorityQueue

private const val LOAD_MULTIPLE = 1.25
private const val SAMPLE_INTERVAL_MILLIS = 250L
private const val REFRESH_INTERVAL_MILLIS = 100L
private const val POLL_INTERVAL_MILLIS = 500L
private const val MAXIMUM_ATTEMPTS = 8

/** A request counts as late if it starts at an engine that has been unavailable for longer than this. */
private const val REMOVAL_DEADLINE_MILLIS = 5_000L

/** The policies that a trial can run. Tables print [label]. */
internal enum class TrialPolicy(val label: String) {
    PRODUCT("primrosesill"),
    WITHOUT_RESERVATIONS("without homes"),
    RANDOM("random"),
    ROUND_ROBIN("round robin"),
    CONSISTENT_HASHING("consistent hashing"),
    FIXED_SHARE("fixed share"),
    ORACLE("oracle"),
}

internal fun runTrial(settings: RoutingTrialSettings, policy: TrialPolicy): TrialMeasures =
    RoutingTrial(settings, policy).run()

private class RoutingTrial(private val settings: RoutingTrialSettings, kind: TrialPolicy) {
    private class ScheduledAction(val atMillis: Long, val sequence: Long, val action: () -> Unit)

    private val queue = PriorityQueue(compareBy<ScheduledAction> { it.atMillis }.thenBy { it.sequence })
    private var sequence = 0L
    private var nowMillis = 0L
    private val random = random(0)
    private val workload = TrialWorkload(settings, random(1))
    private val engines =
        List(settings.engines + settings.spareEngines) {
            TrialEngine(it, it % settings.zones, settings.cacheTokens, settings.coldConcurrencyLimit)
        }
    private val fleet = TrialFleet(engines)
    private val product = productPolicy(kind)
    private val policy = product ?: baseline(kind)
    private val measures = TrialMeasures(LOAD_MULTIPLE)
    private val unavailableSinceMillis = HashMap<Int, Long>()
    private var revision = 0L
    private val isMeasuring: Boolean get() = nowMillis >= settings.settleMillis

    private fun random(stream: Long): UniformRandomProvider =
        RandomSource.XO_RO_SHI_RO_128_PP.create(settings.seed * 31 + stream)

    private fun productPolicy(kind: TrialPolicy): ProductPolicy? =
        when (kind) {
            TrialPolicy.PRODUCT -> ProductPolicy(settings, fleet)
            TrialPolicy.WITHOUT_RESERVATIONS -> ProductPolicy(settings.copy(reservations = false), fleet)
            else -> null
        }

    private fun baseline(kind: TrialPolicy): RoutingPolicy =
        when (kind) {
            TrialPolicy.ROUND_ROBIN -> roundRobinPolicy(fleet, settings.routers)
            TrialPolicy.CONSISTENT_HASHING -> consistentHashingPolicy(fleet)
            TrialPolicy.FIXED_SHARE -> fixedSharePolicy(fleet, settings.routers, LOAD_MULTIPLE)
            TrialPolicy.ORACLE -> oraclePolicy(fleet, LOAD_MULTIPLE)
            else -> randomPolicy(fleet, random(2))
        }

    fun run(): TrialMeasures {
        engines.take(settings.engines).forEach { it.start(isCold = false) }
        publishPlatformState(lagMillis = 0)
        scheduleEvery(0, POLL_INTERVAL_MILLIS) { product?.poll(nowMillis) }
        for (router in 0 until settings.routers) {
            val offset = settings.exchangeIntervalMillis * router / settings.routers
            scheduleEvery(offset, settings.exchangeIntervalMillis) { product?.sendCounts(router, nowMillis) }
            scheduleEvery(REFRESH_INTERVAL_MILLIS * router / settings.routers, REFRESH_INTERVAL_MILLIS) {
                product?.refresh(router, nowMillis)
            }
        }
        scheduleEvery(settings.settleMillis, SAMPLE_INTERVAL_MILLIS) { sampleLoads() }
        settings.events.forEach { event -> scheduleAt(event.atMillis) { applyEvent(event) } }
        scheduleAt(1_500) { startChats() }
        while (true) {
            val next = queue.poll() ?: break
            if (next.atMillis >= settings.endMillis) break
            nowMillis = next.atMillis
            next.action()
        }
        return measures
    }

    private fun scheduleAt(atMillis: Long, action: () -> Unit) {
        queue += ScheduledAction(atMillis, sequence++, action)
    }

    private fun scheduleAfter(millis: Double, action: () -> Unit) = scheduleAt(nowMillis + millis.toLong(), action)

    private fun scheduleEvery(fromMillis: Long, intervalMillis: Long, action: () -> Unit) {
        scheduleAt(fromMillis) {
            action()
            scheduleEvery(nowMillis + intervalMillis, intervalMillis, action)
        }
    }

    private fun startChats() {
        val prompt = workload.newChat(nowMillis)
        handleRequest(prompt)
        scheduleAfter(workload.millisToNextChat(nowMillis)) { startChats() }
    }

    private fun handleRequest(prompt: TrialPrompt) {
        val router = random.nextInt(settings.routers)
        if (isMeasuring) measures.requests++
        if (!sendToChosenEngine(router, prompt, nowMillis)) {
            if (isMeasuring) measures.refusedRequests++
            continueChat(prompt)
        }
    }

    private fun continueChat(prompt: TrialPrompt) {
        val next = workload.nextTurn(prompt) ?: return
        scheduleAfter(workload.thinkMillis()) { handleRequest(next) }
    }

    /** Sends the request to engines that the policy chooses until one accepts it; returns whether one did. */
    private fun sendToChosenEngine(router: Int, prompt: TrialPrompt, arrivedMillis: Long): Boolean {
        val excluded = HashSet<Int>()
        repeat(MAXIMUM_ATTEMPTS) {
            val choice = policy.choose(router, prompt, excluded, nowMillis) ?: return false
            val engine = engines[choice.engine]
            if (trySend(router, engine, choice.requiresSlot)) {
                serve(router, engine, prompt, arrivedMillis, choice.requiresSlot)
                return true
            }
            policy.finish(router, engine.index)
            excluded += engine.index
        }
        return false
    }

    private fun trySend(router: Int, engine: TrialEngine, requiresSlot: Boolean): Boolean {
        // A router claims a slot from a majority of the routers. The trial models the claims as one exact count.
        if (requiresSlot && engine.claimedSlots >= settings.coldConcurrencyLimit) return false
        policy.recordConnection(router, engine.index, engine.present)
        if (!engine.present) return false
        if (engine.canAccept()) return true
        if (isMeasuring) measures.overColdLimit++
        policy.recordCold(router, engine.index, settings.coldConcurrencyLimit)
        return false
    }

    private fun serve(
        router: Int,
        engine: TrialEngine,
        prompt: TrialPrompt,
        arrivedMillis: Long,
        requiresSlot: Boolean,
    ) {
        if (isMeasuring) recordStart(engine, prompt)
        if (requiresSlot) engine.claimedSlots++
        val firstToken = engine.startRequest(prompt, nowMillis)
        if (isMeasuring) measures.recordFirstToken(arrivedMillis, firstToken)
        val incarnation = engine.incarnation
        scheduleAfter(firstToken + prompt.outputTokens * TOKEN_MILLIS) {
            policy.finish(router, engine.index)
            if (engine.incarnation == incarnation) {
                engine.finish()
                if (requiresSlot) engine.claimedSlots--
            }
            continueChat(prompt)
        }
    }

    private fun recordStart(engine: TrialEngine, prompt: TrialPrompt) {
        measures.recordPrompt(prompt.tokens, engine.cachedTokens(prompt))
        val since = unavailableSinceMillis[engine.index]
        if (since != null && nowMillis - since > REMOVAL_DEADLINE_MILLIS) measures.lateStarts++
        val pool = fleet.eligible(emptySet())
        val bound = loadBound(pool.sumOf { it.running } + 1, pool.size.toDouble(), LOAD_MULTIPLE)
        if (!engine.cold && engine.running >= bound) measures.requestsOverBound++
    }

    private fun sampleLoads() =
        measures.sampleLoads(nowMillis, fleet.eligible(emptySet()).associate { it.index to it.running })

    private fun applyEvent(event: TrialEvent) {
        when (event) {
            is TrialEvent.Join -> join(engines[event.engine])
            is TrialEvent.Leave -> {
                engines[event.engine].leaving = true
                unavailableSinceMillis[event.engine] = nowMillis
            }
            is TrialEvent.Crash -> engines[event.engine].fail()
            is TrialEvent.TurnCold -> turnCold(engines[event.engine])
            is TrialEvent.ZonesOut -> setZonesOut(event.zones)
            is TrialEvent.EmptyVmList -> return publishEmptyVmList()
        }
        publishPlatformState(settings.platformLagMillis)
    }

    private fun join(engine: TrialEngine) {
        engine.start(isCold = true)
        unavailableSinceMillis.remove(engine.index)
        scheduleWarmUp(engine)
    }

    private fun turnCold(engine: TrialEngine) {
        engine.cold = true
        engine.clearCache()
        scheduleWarmUp(engine)
    }

    private fun scheduleWarmUp(engine: TrialEngine) {
        val incarnation = engine.incarnation
        scheduleAfter(settings.warmUpMillis.toDouble()) { if (engine.incarnation == incarnation) engine.cold = false }
    }

    private fun setZonesOut(zones: Set<Int>) {
        // The engines of a zone are replaced while it is out of service, so they are cold when it returns.
        engines.filter { it.present && it.zone in fleet.zonesOut && it.zone !in zones }.forEach {
            unavailableSinceMillis.remove(it.index)
            turnCold(it)
        }
        engines.filter { it.zone in zones }.forEach { unavailableSinceMillis.putIfAbsent(it.index, nowMillis) }
        fleet.zonesOut = zones
    }

    /** Publishes the platform state to all routers, to each after a random delay of up to [lagMillis]. */
    private fun publishPlatformState(lagMillis: Long) {
        val product = product ?: return
        val vmList = product.vmEntries()
        val zonesOut = fleet.zonesOut
        val currentRevision = ++revision
        for (router in 0 until settings.routers) {
            scheduleAfter(random.nextDouble() * lagMillis) {
                product.applyPlatformState(router, currentRevision, vmList, zonesOut, nowMillis)
            }
        }
    }

    private fun publishEmptyVmList() {
        val currentRevision = ++revision
        for (router in 0 until settings.routers) {
            product?.applyPlatformState(router, currentRevision, emptyList(), fleet.zonesOut, nowMillis)
        }
    }
}
