/*
 * The interface of policies that choose an engine in a routing trial, and the baselines with which the product is
 * compared. Baselines use the exact list of engines, so that the comparison covers only the choice of the engine.
 */
package org.primrosesill.experiment

import org.apache.commons.rng.UniformRandomProvider
import org.primrosesill.routing.loadBound

/** The state on which baselines decide: all engines and the zones out of service. */
internal class TrialFleet(val engines: List<TrialEngine>) {
    var zonesOut: Set<Int> = emptySet()

    fun eligible(excluded: Set<Int>): List<TrialEngine> =
        engines.filter { it.usable && !it.cold && it.zone !in zonesOut && it.index !in excluded }
}

/** The engine chosen for a request. If [requiresSlot], the router must claim a slot of the cold engine first. */
internal class TrialChoice(val engine: Int, val requiresSlot: Boolean)

/** Chooses the engine for each request and receives the outcomes. */
internal interface RoutingPolicy {
    fun choose(router: Int, prompt: TrialPrompt, excluded: Set<Int>, nowMillis: Long): TrialChoice?

    fun finish(router: Int, engine: Int) = Unit

    fun recordConnection(router: Int, engine: Int, succeeded: Boolean) = Unit

    fun recordCold(router: Int, engine: Int, coldConcurrencyLimit: Int) = Unit
}

/** Returns a baseline that applies [select] to the eligible engines. */
private fun baselinePolicy(
    fleet: TrialFleet,
    select: (Int, TrialPrompt, List<TrialEngine>) -> TrialEngine?,
): RoutingPolicy =
    object : RoutingPolicy {
        override fun choose(router: Int, prompt: TrialPrompt, excluded: Set<Int>, nowMillis: Long): TrialChoice? {
            val eligible = fleet.eligible(excluded)
            if (eligible.isEmpty()) return null
            return select(router, prompt, eligible)?.let { TrialChoice(it.index, requiresSlot = false) }
        }
    }

internal fun randomPolicy(fleet: TrialFleet, random: UniformRandomProvider): RoutingPolicy =
    baselinePolicy(fleet) { _, _, eligible -> eligible[random.nextInt(eligible.size)] }

internal fun roundRobinPolicy(fleet: TrialFleet, routers: Int): RoutingPolicy {
    val nextIndexes = IntArray(routers) { it * fleet.engines.size / routers }
    return baselinePolicy(fleet) { router, _, eligible -> eligible[nextIndexes[router]++ % eligible.size] }
}

internal fun consistentHashingPolicy(fleet: TrialFleet): RoutingPolicy =
    baselinePolicy(fleet) { _, prompt, eligible -> eligible.maxBy { baselineScore(prompt.chat, it.index) } }

/** Each router applies the load bound to its own requests only, as if it had a fixed share of each engine. */
internal fun fixedSharePolicy(fleet: TrialFleet, routers: Int, loadMultiple: Double): RoutingPolicy {
    val ownInFlight = Array(routers) { IntArray(fleet.engines.size) }
    val boundedChoice =
        baselinePolicy(fleet) { router, prompt, eligible ->
            val counts = ownInFlight[router]
            val bound = loadBound(eligible.sumOf { counts[it.index] } + 1, eligible.size.toDouble(), loadMultiple)
            eligible
                .filter { counts[it.index] < bound }
                .maxByOrNull { baselineScore(prompt.chat, it.index) }
                ?.also { counts[it.index]++ }
        }
    return object : RoutingPolicy by boundedChoice {
        override fun finish(router: Int, engine: Int) {
            ownInFlight[router][engine]--
        }
    }
}

/**
 * Uses exact loads and caches. Of the engines below the load bound, it chooses those with the longest cached prefix of
 * the prompt, and of these the one with the lowest load.
 */
internal fun oraclePolicy(fleet: TrialFleet, loadMultiple: Double): RoutingPolicy =
    baselinePolicy(fleet) { _, prompt, eligible ->
        val bound = loadBound(eligible.sumOf { it.running } + 1, eligible.size.toDouble(), loadMultiple)
        eligible
            .filter { it.running < bound }
            .maxWithOrNull(compareBy<TrialEngine> { it.cachedTokens(prompt) }.thenByDescending { it.running })
    }
