/*
 * Selects the upstream for a request. First excludes the upstreams that may not get it, then chooses among the rest: for a
 * prompt by the cost of serving it, for a request to a plain service by load.
 */
package org.primrosesill.placement

import org.primrosesill.discovery.DirectoryView
import org.primrosesill.discovery.KnownUpstream
import org.primrosesill.load.LoadBasis
import org.primrosesill.load.PoolLoads
import org.primrosesill.load.ServiceConcurrency
import org.primrosesill.load.SilentUpstreams
import org.primrosesill.load.UpstreamActivity
import org.primrosesill.load.UpstreamLoads
import org.primrosesill.load.UpstreamNotices
import org.primrosesill.load.UpstreamSpeeds
import org.primrosesill.load.UsualSpeeds
import org.primrosesill.load.relativeSlowness
import org.primrosesill.model.AvailabilityZoneId
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/**
 * The dependencies of a placement.
 *
 * @property isLoadAware whether what is known of the speed, the queues and the recent requests of upstreams is used
 * @property onHighLoad called when the chosen engine is so close to its load bound that routers should exchange their
 *     request counts at once instead of in the next exchange round
 */
public class PlacementDependencies(
    public val zone: AvailabilityZoneId,
    public val activity: UpstreamActivity,
    public val loads: UpstreamLoads,
    public val index: PromptCacheIndex,
    public val coldStart: ColdStartBudget,
    public val silent: SilentUpstreams,
    public val notices: UpstreamNotices,
    public val fleet: () -> FleetReachability,
    public val onHighLoad: () -> Unit,
    public val nowMillis: () -> Long,
    public val random: Random = Random.Default,
    public val speeds: UpstreamSpeeds = UsualSpeeds,
    public val isLoadAware: () -> Boolean = { false },
    public val services: ServiceConcurrency = ServiceConcurrency(ownCode = "", nowMillis),
)

/** Returns the placement that uses [dependencies]. */
public fun fleetPlacement(dependencies: PlacementDependencies): Placement = FleetPlacement(dependencies)

private class FleetPlacement(private val dependencies: PlacementDependencies) : Placement {
    private val activity = dependencies.activity
    private val engines = EnginePlacement(dependencies)

    override fun choose(request: PlacementRequest, view: DirectoryView): PlacementResult {
        val eligible = view.eligible(request.pool).filter { request.allows(it.id) }
        if (eligible.isEmpty()) return PlacementResult.Rejected("no upstream may take new requests", RETRY_AFTER)
        val accepting = dependencies.notices.accepting(eligible)
        if (accepting.isEmpty()) {
            val pause = dependencies.notices.shortestPause(eligible) ?: RETRY_AFTER
            return PlacementResult.Rejected("all upstreams are leaving or have requested a pause", pause)
        }
        val withinBudget = accepting.filter { isWithinColdStartBudget(it, view) }
        if (withinBudget.isEmpty()) {
            return PlacementResult.Rejected(
                "all upstreams are cold and have enough to do",
                RETRY_AFTER,
            )
        }
        val fleet = dependencies.fleet()
        val noneReachable = withinBudget.all { isUnreachable(it, fleet) }
        if (noneReachable) return PlacementResult.Rejected("no upstream can be reached", UNREACHABLE_RETRY_AFTER)
        val candidates = preferResponsive(withinBudget, fleet)
        val chosen =
            request.prompt?.let {
                val pool = view.upstreams.getValue(request.pool)
                engines.choose(request, it, candidates, fetchSources(request, view, fleet), pool)
            } ?: chooseForService(candidates, withinBudget, view.upstreams.getValue(request.pool))
        if (chosen is PlacementResult.Chosen) dependencies.coldStart.recordRequest(chosen.upstream.id)
        return chosen
    }

    private fun isWithinColdStartBudget(upstream: KnownUpstream, view: DirectoryView): Boolean {
        if (!upstream.isCold(dependencies.nowMillis())) return true
        val coldStart =
            view.configuration
                ?.pools
                ?.get(upstream.registration.pool)
                ?.coldStart ?: return true
        return dependencies.coldStart.allowsRequest(upstream.id, coldStart.requestsPerSecond)
    }

    /** Returns whether [upstream] is suspect and its zone is silent as well. */
    private fun isUnreachable(upstream: KnownUpstream, fleet: FleetReachability): Boolean =
        isZoneSilent(upstream, fleet) && activity.isSuspect(upstream.id)

    /** Returns whether neither a router nor an upstream of the zone of [upstream] has sent anything recently. */
    private fun isZoneSilent(upstream: KnownUpstream, fleet: FleetReachability): Boolean =
        upstream.registration.availabilityZone.let { it in fleet.silentZones && !activity.hasRecentResponse(it) }

    /**
     * Returns the [upstreams] that are neither silent nor suspect, in zones that are not silent. A filter that would leave
     * nothing is not applied.
     */
    private fun preferResponsive(upstreams: List<KnownUpstream>, fleet: FleetReachability): List<KnownUpstream> {
        val inLiveZones = upstreams.filter { it.registration.availabilityZone !in fleet.silentZones }
        val reachable = inLiveZones.ifEmpty { upstreams }
        val responsive = dependencies.silent.withoutSilent(reachable)
        return responsive.filterNot { activity.isSuspect(it.id) }.ifEmpty { responsive }
    }

    /**
     * Returns the engines from which others can fetch cached parts. Engines that are leaving are included, since they still
     * serve fetches.
     */
    private fun fetchSources(
        request: PlacementRequest,
        view: DirectoryView,
        fleet: FleetReachability,
    ): List<KnownUpstream> =
        view.upstreams[request.pool].orEmpty().filterNot { isZoneSilent(it, fleet) || activity.isSuspect(it.id) }

    /** @param eligible the [candidates] and the upstreams that are only less preferred */
    private fun chooseForService(
        candidates: List<KnownUpstream>,
        eligible: List<KnownUpstream>,
        pool: List<KnownUpstream>,
    ): PlacementResult {
        val loads = dependencies.loads.estimates(candidates.map { it.id })
        val isEstimated =
            dependencies.isLoadAware() &&
                pool.size <= SMALL_SERVICE_UPSTREAMS &&
                loads.basis == LoadBasis.REPORTS &&
                !loads.areReported
        if (!isEstimated) return PlacementResult.Chosen(leastLoaded(candidates, loads))
        return chooseByEstimates(candidates, eligible, pool)
    }

    private fun chooseByEstimates(
        candidates: List<KnownUpstream>,
        eligible: List<KnownUpstream>,
        pool: List<KnownUpstream>,
    ): PlacementResult {
        val slots = pool.associate { it.id to it.registration.slots }
        val loads = dependencies.services.loads(slots.keys, slots::getValue)
        val hasRoom = { upstream: KnownUpstream -> !loads.getValue(upstream.id).fullFor.isPositive() }
        val notFull = candidates.filter(hasRoom).ifEmpty { eligible.filter(hasRoom) }
        if (notFull.isEmpty()) {
            val slotFree = eligible.minOf { loads.getValue(it.id).fullFor }.coerceAtLeast(MINIMUM_RETRY_AFTER)
            return PlacementResult.Rejected("all upstreams have just rejected requests as they are full", slotFree)
        }
        val compared =
            notFull.map {
                val speed = dependencies.speeds.slowness(it.id)
                ServiceCandidate(it, loads.getValue(it.id), speed, isRemote(it), activity.failureRate(it.id))
            }
        val chosen = responseTimeSelection.select(compared, dependencies.random)
        return PlacementResult.Chosen(chosen.upstream, explanation = explanationOf(chosen, compared))
    }

    private fun leastLoaded(candidates: List<KnownUpstream>, loads: PoolLoads): KnownUpstream {
        val slownessById = dependencies.speeds.relativeSlowness(candidates.map { it.id })
        return compared(candidates, loads).minBy { upstream ->
            val slowness = slownessById[upstream.id] ?: 1.0
            val zonePenalty = if (isRemote(upstream)) REMOTE_ZONE_PENALTY else 0.0
            // With this request included, so that a slow upstream without requests ranks after an idle usual one.
            ((loads[upstream.id].inFlight + 1) * slowness - 1) / upstream.registration.slots + zonePenalty +
                activity.failureRate(upstream.id) * FAILURE_RATE_PENALTY
        }
    }

    private fun isRemote(upstream: KnownUpstream): Boolean = upstream.registration.availabilityZone != dependencies.zone

    /**
     * Returns the upstreams of which the least loaded one is chosen, in random order: all [candidates], or two of them if their
     * loads come from reports. All routers have the same reports, and would all choose the upstream whose report is the lowest.
     */
    private fun compared(candidates: List<KnownUpstream>, loads: PoolLoads): List<KnownUpstream> {
        val shuffled = candidates.shuffled(dependencies.random)
        if (!loads.areReported) return shuffled
        val withFreeSlots = shuffled.filter { loads[it.id].inFlight < it.registration.slots }
        return withFreeSlots.ifEmpty { shuffled }.take(COMPARED_UPSTREAMS)
    }

    private companion object {
        const val COMPARED_UPSTREAMS = 2

        /** Largest service whose gateways send each other their requests in progress at each upstream. */
        const val SMALL_SERVICE_UPSTREAMS = 8
        val RETRY_AFTER = 300.milliseconds

        /** About a response time: callers that return sooner spend their retries before the queue is shorter. */
        val MINIMUM_RETRY_AFTER = 50.milliseconds

        /** Network partitions of a zone rarely last less than this. */
        val UNREACHABLE_RETRY_AFTER = 1_000.milliseconds

        /**
         * Added to the fraction of slots in use at an upstream in another zone, so that it is chosen only over upstreams
         * in this zone whose fraction is larger by more than this.
         */
        const val REMOTE_ZONE_PENALTY = 0.3
        const val FAILURE_RATE_PENALTY = 2.0
    }
}
