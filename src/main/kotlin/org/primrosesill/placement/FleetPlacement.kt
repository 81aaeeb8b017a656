/*
 * Which upstreams may get a request at all, and the choice among them: prompts by the work that they cause, plain requests
 * by load.
 */
package org.primrosesill.placement

import org.primrosesill.discovery.DirectoryView
import org.primrosesill.discovery.KnownUpstream
import org.primrosesill.model.AvailabilityZoneId
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/**
 * What a placement works with.
 *
 * @property crowded called when an engine is chosen that carries so much that routers should know at once of each other's
 *     requests
 */
public class PlacementInputs(
    public val zone: AvailabilityZoneId,
    public val activity: UpstreamActivity,
    public val loads: UpstreamLoads,
    public val index: PartIndex,
    public val coldStart: ColdStartBudget,
    public val silent: SilentUpstreams,
    public val notices: UpstreamNotices,
    public val fleet: () -> FleetLoad,
    public val crowded: () -> Unit,
    public val nowMillis: () -> Long,
    public val random: Random = Random.Default,
)

/** Returns the placement over [inputs]. */
public fun fleetPlacement(inputs: PlacementInputs): Placement = FleetPlacement(inputs)

private class FleetPlacement(private val inputs: PlacementInputs) : Placement {
    private val activity = inputs.activity
    private val engines = EnginePlacement(inputs)

    override fun choose(request: PlacementRequest, view: DirectoryView): PlacementResult {
        val eligible = view.eligible(request.pool).filter { it.id !in request.excluded }
        if (eligible.isEmpty()) return PlacementResult.Refused("no upstream may take new requests", RETRY_AFTER)
        val accepting = inputs.notices.accepting(eligible)
        if (accepting.isEmpty()) {
            val pause = inputs.notices.shortestPause(eligible) ?: RETRY_AFTER
            return PlacementResult.Refused("all upstreams are leaving or ask for a pause", pause)
        }
        val bearing = accepting.filter { mayBear(it, view) }
        if (bearing.isEmpty()) {
            return PlacementResult.Refused(
                "all upstreams are cold and have enough to do",
                RETRY_AFTER,
            )
        }
        val fleet = inputs.fleet()
        val noneReachable = bearing.all { isUnreachable(it, fleet) }
        if (noneReachable) return PlacementResult.Refused("no upstream can be reached", CUT_OFF)
        val candidates = soundest(bearing, fleet)
        val chosen =
            request.prompt?.let {
                val pool = view.upstreams.getValue(request.pool)
                engines.choose(request, it, candidates, soundSources(request, view, fleet), pool)
            } ?: PlacementResult.Chosen(leastLoaded(candidates))
        inputs.coldStart.count(chosen.upstream.id)
        return chosen
    }

    private fun mayBear(upstream: KnownUpstream, view: DirectoryView): Boolean {
        if (!upstream.isCold(inputs.nowMillis())) return true
        val coldStart =
            view.configuration
                ?.pools
                ?.get(upstream.registration.pool)
                ?.coldStart ?: return true
        return inputs.coldStart.hasRoom(upstream.id, coldStart.requestsPerSecond)
    }

    /** Whether a connection failed a moment ago, and nothing is heard from the zone either. */
    private fun isUnreachable(upstream: KnownUpstream, fleet: FleetLoad): Boolean =
        isSilent(upstream, fleet) && activity.isSuspect(upstream.id)

    /** Whether neither a router nor an upstream of its zone is heard. */
    private fun isSilent(upstream: KnownUpstream, fleet: FleetLoad): Boolean =
        upstream.registration.availabilityZone.let { it in fleet.silentZones && !activity.hearsFrom(it) }

    /** Those that answered lately in zones that are heard, or else what there is. */
    private fun soundest(upstreams: List<KnownUpstream>, fleet: FleetLoad): List<KnownUpstream> {
        val heard = upstreams.filter { it.registration.availabilityZone !in fleet.silentZones }
        val reachable = heard.ifEmpty { upstreams }
        val answering = inputs.silent.leaveOut(reachable)
        return answering.filterNot { activity.isSuspect(it.id) }.ifEmpty { answering }
    }

    /** Engines that are leaving still hand out what they hold. */
    private fun soundSources(request: PlacementRequest, view: DirectoryView, fleet: FleetLoad): List<KnownUpstream> =
        view.upstreams[request.pool].orEmpty().filterNot { isSilent(it, fleet) || activity.isSuspect(it.id) }

    private fun leastLoaded(candidates: List<KnownUpstream>): KnownUpstream =
        candidates.shuffled(inputs.random).minBy { upstream ->
            val inFlight = inputs.loads.of(upstream.id)
            val remote = if (upstream.registration.availabilityZone == inputs.zone) 0.0 else REMOTE_LOAD
            inFlight.toDouble() / upstream.registration.slots + remote +
                activity.failureRate(upstream.id) * FAILURE_LOAD
        }

    private companion object {
        val RETRY_AFTER = 300.milliseconds

        /** A zone is rarely cut off for less. */
        val CUT_OFF = 1_000.milliseconds

        /** An upstream of another zone is taken when the one of the own zone has this much more of its places in use. */
        const val REMOTE_LOAD = 0.3
        const val FAILURE_LOAD = 2.0
    }
}
