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
public fun affinityPlacement(zone: AvailabilityZoneId, activity: UpstreamActivity): Placement =
    AffinityPlacement(zone, activity)

private class AffinityPlacement(private val zone: AvailabilityZoneId, private val activity: UpstreamActivity) :
    Placement {
    override fun choose(request: PlacementRequest, view: DirectoryView): PlacementResult {
        val eligible = view.eligible(request.pool).filter { it.id !in request.excluded }
        if (eligible.isEmpty()) return PlacementResult.Refused("no upstream may take new requests", RETRY_AFTER)
        val sound = eligible.filterNot { activity.isSuspect(it.id) }.ifEmpty { eligible }
        val key = request.prompt?.let(::sharedKey)
        return PlacementResult.Chosen(if (key == null) leastLoaded(sound) else byAffinity(sound, key))
    }

    private fun byAffinity(candidates: List<KnownUpstream>, key: String): KnownUpstream {
        val mean = candidates.sumOf { activity.inFlight(it.id) }.toDouble() / candidates.size
        val bound = ceil(mean * LOAD_MULTIPLE + 1)
        val ranked = candidates.sortedByDescending { rank(key, it.id) }
        return ranked.firstOrNull { activity.inFlight(it.id) < bound } ?: leastLoaded(candidates)
    }

    private fun leastLoaded(candidates: List<KnownUpstream>): KnownUpstream =
        candidates.shuffled().minBy { upstream ->
            val remote = if (upstream.registration.availabilityZone == zone) 0 else 1
            activity.inFlight(upstream.id) * 2 + remote
        }

    private companion object {
        const val LOAD_MULTIPLE = 1.25
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
