/*
 * The choice of an upstream for one request.
 */
package org.primrosesill.placement

import org.primrosesill.discovery.DirectoryView
import org.primrosesill.discovery.KnownUpstream
import org.primrosesill.model.PoolId
import org.primrosesill.model.UpstreamId
import kotlin.time.Duration

/**
 * A request that needs an upstream.
 *
 * @property prompt null for requests to plain services
 * @property excluded upstreams that were tried before
 */
public class PlacementRequest(
    public val pool: PoolId,
    public val prompt: Prompt?,
    public val excluded: Set<UpstreamId>,
)

/** Where a request goes, or when there may be room. */
public sealed interface PlacementResult {
    /**
     * @property prefixSource an upstream that probably keeps the shared parts of the prompt, from which the chosen one
     *     can fetch what it lacks, or null
     */
    public class Chosen(public val upstream: KnownUpstream, public val prefixSource: KnownUpstream? = null) :
        PlacementResult

    public class Refused(public val reason: String, public val retryAfter: Duration) : PlacementResult
}

/** Chooses upstreams. Pure but for the counts that it reads. */
public interface Placement {
    public fun choose(request: PlacementRequest, view: DirectoryView): PlacementResult
}
