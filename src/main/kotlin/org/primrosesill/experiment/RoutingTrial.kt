/*
 * Runs one routing trial under virtual time: requests arrive at random routers, a policy chooses engines, and engines
 * join, leave, fail and turn cold meanwhile. There is no clock and no thread; the same seed gives the same result.
 */
package org.primrosesill.experiment

import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import org.primrosesill.routing.loadBound
import java.util.PriorityQueue

private const val LOAD_MULTIPLE = 1.25
private const val SAMPLE_MILLIS = 250L
private const val REFRESH_MILLIS = 100L
private const val POLL_MILLIS = 500L
private const val MAXIMUM_ATTEMPTS = 8
private const val TAKEN_OUT_MILLIS = 5_000L

/** Names a policy and creates it for one trial. */
internal enum class TrialPolicy(val label: String) {
    PRODUCT("primrosesill"),
    WITHOUT_HOMES("without homes"),
    RANDOM("random"),
    ROUND_ROBIN("round robin"),
    CONSISTENT_HASHING("consistent hashing"),
    FIXED_SHARE("fixed share"),
    ORACLE("oracle"),
}

internal fun runTrial(settings: RoutingTrialSettings, policy: TrialPolicy): TrialMeasures =
    RoutingTrial(settings, policy).run()

private class RoutingTrial(private val settings: RoutingTrialSettings, kind: TrialPolicy) {
    private class Scheduled(val atMillis: Long, val order: Long, val action: () -> Unit)

    private val queue = PriorityQueue(compareBy<Scheduled> { it.atMillis }.thenBy { it.order })
    private var order = 0L
    private var nowMillis = 0L
    private val random = random(0)
    private val workload = TrialWorkload(settings, random(1))
    private val engines =
        List(settings.engines + settings.spareEngines) {
            TrialEngine(it, it % settings.zones, settings.cacheTokens, settings.bears)
        }
    private val fleet = TrialFleet(engines)
    private val product = productPolicy(kind)
    private val policy = product ?: baseline(kind)
    private val measures = TrialMeasures(LOAD_MULTIPLE)
    private val unavailableSince = HashMap<Int, Long>()
    private var revision = 0L
    private val measuring: Boolean get() = nowMillis >= settings.settleMillis

    private fun random(stream: Long): UniformRandomProvider =
        RandomSource.XO_RO_SHI_RO_128_PP.create(settings.seed * 31 + stream)

    private fun productPolicy(kind: TrialPolicy): ProductPolicy? =
        when (kind) {
            TrialPolicy.PRODUCT -> ProductPolicy(settings, fleet)
            TrialPolicy.WITHOUT_HOMES -> ProductPolicy(settings.copy(reservations = false), fleet)
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
        engines.take(settings.engines).forEach { it.start(asCold = false) }
        publish(lagMillis = 0)
        every(0, POLL_MILLIS) { product?.poll(nowMillis) }
        for (router in 0 until settings.routers) {
            val offset = settings.exchangeIntervalMillis * router / settings.routers
            every(offset, settings.exchangeIntervalMillis) { product?.send(router, nowMillis) }
            every(REFRESH_MILLIS * router / settings.routers, REFRESH_MILLIS) { product?.refresh(router, nowMillis) }
        }
        every(settings.settleMillis, SAMPLE_MILLIS) { sample() }
        settings.events.forEach { event -> at(event.atMillis) { apply(event) } }
        at(1_500) { newChats() }
        while (true) {
            val next = queue.poll() ?: break
            if (next.atMillis >= settings.endMillis) break
            nowMillis = next.atMillis
            next.action()
        }
        return measures
    }

    private fun at(atMillis: Long, action: () -> Unit) {
        queue += Scheduled(atMillis, order++, action)
    }

    private fun after(millis: Double, action: () -> Unit) = at(nowMillis + millis.toLong(), action)

    private fun every(fromMillis: Long, intervalMillis: Long, action: () -> Unit) {
        at(fromMillis) {
            action()
            every(nowMillis + intervalMillis, intervalMillis, action)
        }
    }

    private fun newChats() {
        val prompt = workload.newChat(nowMillis)
        arrive(prompt)
        after(workload.millisToNextChat(nowMillis)) { newChats() }
    }

    private fun arrive(prompt: TrialPrompt) {
        val router = random.nextInt(settings.routers)
        if (measuring) measures.requests++
        if (!attempt(router, prompt, nowMillis)) {
            if (measuring) measures.refused++
            continueChat(prompt)
        }
    }

    private fun continueChat(prompt: TrialPrompt) {
        val next = workload.nextTurn(prompt) ?: return
        after(workload.thinkMillis()) { arrive(next) }
    }

    /** Sends the request to the engines that the policy chooses until one takes it. */
    private fun attempt(router: Int, prompt: TrialPrompt, arrivedMillis: Long): Boolean {
        val excluded = HashSet<Int>()
        repeat(MAXIMUM_ATTEMPTS) {
            val choice = policy.choose(router, prompt, excluded, nowMillis) ?: return false
            val engine = engines[choice.engine]
            if (accepted(router, engine, choice.requiresSlot)) {
                serve(router, engine, prompt, arrivedMillis, choice.requiresSlot)
                return true
            }
            policy.finish(router, engine.index)
            excluded += engine.index
        }
        return false
    }

    private fun accepted(router: Int, engine: TrialEngine, slot: Boolean): Boolean {
        // Slots are claimed from a majority of routers; here an exact count stands in for them.
        if (slot && engine.slotsHeld >= settings.bears) return false
        policy.recordConnection(router, engine.index, engine.present)
        if (!engine.present) return false
        if (engine.bearsMore()) return true
        if (measuring) measures.overBears++
        policy.recordCold(router, engine.index, settings.bears)
        return false
    }

    private fun serve(router: Int, engine: TrialEngine, prompt: TrialPrompt, arrivedMillis: Long, slot: Boolean) {
        if (measuring) countStart(engine, prompt)
        if (slot) engine.slotsHeld++
        val firstToken = engine.admit(prompt, nowMillis)
        if (measuring) measures.recordFirstToken(arrivedMillis, firstToken)
        val life = engine.life
        after(firstToken + prompt.outputTokens * TOKEN_MILLIS) {
            policy.finish(router, engine.index)
            if (engine.life == life) {
                engine.finish()
                if (slot) engine.slotsHeld--
            }
            continueChat(prompt)
        }
    }

    private fun countStart(engine: TrialEngine, prompt: TrialPrompt) {
        measures.recordPrompt(prompt.tokens, engine.cachedTokens(prompt))
        val since = unavailableSince[engine.index]
        if (since != null && nowMillis - since > TAKEN_OUT_MILLIS) measures.startedTooLate++
        val pool = fleet.eligible(emptySet())
        val bound = loadBound(pool.sumOf { it.running } + 1, pool.size.toDouble(), LOAD_MULTIPLE)
        if (!engine.cold && engine.running >= bound) measures.sentOverBound++
    }

    private fun sample() =
        measures.sampleLoads(nowMillis, fleet.eligible(emptySet()).associate { it.index to it.running })

    private fun apply(event: TrialEvent) {
        when (event) {
            is TrialEvent.Join -> join(engines[event.engine])
            is TrialEvent.Leave -> {
                engines[event.engine].leaving = true
                unavailableSince[event.engine] = nowMillis
            }
            is TrialEvent.Crash -> engines[event.engine].fail()
            is TrialEvent.TurnCold -> turnCold(engines[event.engine])
            is TrialEvent.ZonesOut -> takeOut(event.zones)
            is TrialEvent.EmptyVmList -> return publishEmpty()
        }
        publish(settings.platformLagMillis)
    }

    private fun join(engine: TrialEngine) {
        engine.start(asCold = true)
        unavailableSince.remove(engine.index)
        warmLater(engine)
    }

    private fun turnCold(engine: TrialEngine) {
        engine.cold = true
        engine.loseCache()
        warmLater(engine)
    }

    private fun warmLater(engine: TrialEngine) {
        val life = engine.life
        after(settings.warmUpMillis.toDouble()) { if (engine.life == life) engine.cold = false }
    }

    private fun takeOut(zones: Set<Int>) {
        // Engines of a zone that comes back have been replaced meanwhile, so that they start cold.
        engines.filter { it.present && it.zone in fleet.zonesOut && it.zone !in zones }.forEach {
            unavailableSince.remove(it.index)
            turnCold(it)
        }
        engines.filter { it.zone in zones }.forEach { unavailableSince.putIfAbsent(it.index, nowMillis) }
        fleet.zonesOut = zones
    }

    /** Tells every router what the platform says, each after its own part of [lagMillis]. */
    private fun publish(lagMillis: Long) {
        val product = product ?: return
        val list = product.vmEntries()
        val zonesOut = fleet.zonesOut
        val current = ++revision
        for (router in 0 until settings.routers) {
            after(random.nextDouble() * lagMillis) { product.platform(router, current, list, zonesOut, nowMillis) }
        }
    }

    private fun publishEmpty() {
        val current = ++revision
        for (router in 0 until settings.routers) {
            product?.platform(router, current, emptyList(), fleet.zonesOut, nowMillis)
        }
    }
}
