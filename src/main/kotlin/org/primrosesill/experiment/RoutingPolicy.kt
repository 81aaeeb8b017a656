/*
 * Ways to choose an engine in a routing trial: the product's selectors and the baselines beside them. The baselines see
 * exactly which engines exist, so that only their choice is compared.
 */
package org.primrosesill.experiment

import org.apache.commons.rng.UniformRandomProvider
import org.primrosesill.routing.loadBound

/** What a baseline may look at: all engines, and the zones out of service. */
internal class TrialFleet(val engines: List<TrialEngine>) {
    var zonesOut: Set<Int> = emptySet()

    fun eligible(excluded: Set<Int>): List<TrialEngine> =
        engines.filter { it.usable && !it.cold && it.zone !in zonesOut && it.index !in excluded }
}

/** The engine for a request, and whether it needs a slot of a cold engine. */
internal class TrialChoice(val engine: Int, val requiresSlot: Boolean)

internal interface RoutingPolicy {
    fun choose(router: Int, prompt: TrialPrompt, excluded: Set<Int>, nowMillis: Long): TrialChoice?

    fun finish(router: Int, engine: Int) = Unit

    fun recordConnection(router: Int, engine: Int, succeeded: Boolean) = Unit

    fun recordCold(router: Int, engine: Int, bears: Int) = Unit
}

/** Adapts a choice among the engines that exist. */
private fun policy(fleet: TrialFleet, pick: (Int, TrialPrompt, List<TrialEngine>) -> TrialEngine?): RoutingPolicy =
    object : RoutingPolicy {
        override fun choose(router: Int, prompt: TrialPrompt, excluded: Set<Int>, nowMillis: Long): TrialChoice? {
            val eligible = fleet.eligible(excluded)
            if (eligible.isEmpty()) return null
            return pick(router, prompt, eligible)?.let { TrialChoice(it.index, requiresSlot = false) }
        }
    }

internal fun randomPolicy(fleet: TrialFleet, random: UniformRandomProvider): RoutingPolicy =
    policy(fleet) { _, _, eligible -> eligible[random.nextInt(eligible.size)] }

internal fun roundRobinPolicy(fleet: TrialFleet, routers: Int): RoutingPolicy {
    val turns = IntArray(routers) { it * fleet.engines.size / routers }
    return policy(fleet) { router, _, eligible -> eligible[turns[router]++ % eligible.size] }
}

internal fun consistentHashingPolicy(fleet: TrialFleet): RoutingPolicy =
    policy(fleet) { _, prompt, eligible -> eligible.maxBy { trialScore(prompt.chat, it.index) } }

/** Each router bounds only what it sends itself, as if it had a fixed share of each engine. */
internal fun fixedSharePolicy(fleet: TrialFleet, routers: Int, loadMultiple: Double): RoutingPolicy {
    val own = Array(routers) { IntArray(fleet.engines.size) }
    val choice =
        policy(fleet) { router, prompt, eligible ->
            val counts = own[router]
            val bound = loadBound(eligible.sumOf { counts[it.index] } + 1, eligible.size.toDouble(), loadMultiple)
            eligible
                .filter { counts[it.index] < bound }
                .maxByOrNull { trialScore(prompt.chat, it.index) }
                ?.also { counts[it.index]++ }
        }
    return object : RoutingPolicy by choice {
        override fun finish(router: Int, engine: Int) {
            own[router][engine]--
        }
    }
}

/** Sees exact loads and caches: the longest cached prefix under the bound, then the least load. */
internal fun oraclePolicy(fleet: TrialFleet, loadMultiple: Double): RoutingPolicy =
    policy(fleet) { _, prompt, eligible ->
        val bound = loadBound(eligible.sumOf { it.running } + 1, eligible.size.toDouble(), loadMultiple)
        eligible
            .filter { it.running < bound }
            .maxWithOrNull(compareBy<TrialEngine> { it.cachedTokens(prompt) }.thenByDescending { it.running })
    }
