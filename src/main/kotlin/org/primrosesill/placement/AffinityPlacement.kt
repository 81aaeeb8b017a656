/*
 * Places prompts where the parts that they share with others have been read before, as far as load allows, and plain
 * requests where the fewest are in progress.
 */
package org.primrosesill.placement

import com.dynatrace.hash4j.hashing.Hashing
import org.primrosesill.discovery.DirectoryView
import org.primrosesill.discovery.KnownUpstream
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.UpstreamId
import kotlin.math.ceil
import kotlin.time.Duration.Companion.milliseconds

/** Returns the placement of a router in [zone]. */
public fun affinityPlacement(
    zone: AvailabilityZoneId,
    activity: UpstreamActivity,
    othersInFlight: () -> Map<UpstreamId, Int>,
): Placement = AffinityPlacement(zone, activity, othersInFlight)

private class AffinityPlacement(
    private val zone: AvailabilityZoneId,
    private val activity: UpstreamActivity,
    private val othersInFlight: () -> Map<UpstreamId, Int>,
) : Placement {
    override fun choose(request: PlacementRequest, view: DirectoryView): PlacementResult {
        val eligible = view.eligible(request.pool).filter { it.id !in request.excluded }
        if (eligible.isEmpty()) return PlacementResult.Refused("no upstream may take new requests", RETRY_AFTER)
        val sound = eligible.filterNot { activity.isSuspect(it.id) }.ifEmpty { eligible }
        val key = request.prompt?.let(::sharedKey)
        if (key == null) return PlacementResult.Chosen(leastLoaded(sound))
        val chosen = byAffinity(sound, key)
        val source = (sound - chosen).maxByOrNull { rank(key, it.id) }
        return PlacementResult.Chosen(chosen, source)
    }

    private fun byAffinity(candidates: List<KnownUpstream>, key: String): KnownUpstream {
        val others = othersInFlight()
        val loads = candidates.associateWith { load(it, others) }
        val bound = ceil(loads.values.sum().toDouble() / candidates.size * LOAD_MULTIPLE + LOAD_SLACK)
        val ranked = candidates.sortedByDescending { rank(key, it.id) }
        return ranked.firstOrNull { loads.getValue(it) < bound } ?: candidates.minBy { loads.getValue(it) }
    }

    private fun leastLoaded(candidates: List<KnownUpstream>): KnownUpstream {
        val others = othersInFlight()
        return candidates.shuffled().minBy { upstream ->
            val remote = if (upstream.registration.availabilityZone == zone) 0 else 1
            load(upstream, others) * 2 + remote
        }
    }

    private fun load(upstream: KnownUpstream, others: Map<UpstreamId, Int>): Int =
        activity.inFlight(upstream.id) + (others[upstream.id] ?: 0)

    private companion object {
        const val LOAD_MULTIPLE = 1.25
        const val LOAD_SLACK = 2
        val RETRY_AFTER = 300.milliseconds
    }
}

/** The parts that other requests share: all but the last. */
private fun sharedKey(prompt: Prompt): String? =
    prompt.parts
        .dropLast(1)
        .ifEmpty { prompt.parts }
        .takeIf { it.isNotEmpty() }
        ?.joinToString(",") { it.id }

private fun rank(key: String, upstream: UpstreamId): Long =
    Hashing
        .komihash5_0()
        .hashStream()
        .putString(key)
        .putString(upstream.value)
        .asLong
