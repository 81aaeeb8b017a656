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
 * @property latencyTarget time to the answer that counts as in time
 * @property excluded upstreams that were tried before
 */
public class PlacementRequest(
    public val pool: PoolId,
    public val prompt: Prompt?,
    public val latencyTarget: Duration,
    public val bodyBytes: Int,
    public val excluded: Set<UpstreamId>,
)

/** Where a request goes, or when there may be room. */
public sealed interface PlacementResult {
    /**
     * @property prefixSource an engine that probably keeps shared parts of the prompt, from which the chosen one can fetch
     *     what it lacks, or null
     * @property readTokens prompt tokens that the chosen engine probably has to read
     * @property basis what the choice is based on, for the event log
     */
    public class Chosen(
        public val upstream: KnownUpstream,
        public val prefixSource: KnownUpstream? = null,
        public val readTokens: Int = 0,
        public val basis: String = "",
    ) : PlacementResult

    public class Refused(public val reason: String, public val retryAfter: Duration) : PlacementResult
}

/** Chooses upstreams. Used on the traffic thread. */
public interface Placement {
    public fun choose(request: PlacementRequest, view: DirectoryView): PlacementResult
}
