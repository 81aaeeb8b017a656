/*
 * The interface that selects an upstream for one request.
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
 * @property latencyTarget time to the response within which the request counts as on time
 * @property excluded upstreams that must not get the request, such as those to which it was sent before
 * @property candidates the only upstreams that may get the request, or null for all
 */
public class PlacementRequest(
    public val pool: PoolId,
    public val prompt: Prompt?,
    public val latencyTarget: Duration,
    public val bodyBytes: Int,
    public val excluded: Set<UpstreamId>,
    public val candidates: Set<UpstreamId>? = null,
) {
    /** Returns whether [upstream] may get the request. */
    public fun allows(upstream: UpstreamId): Boolean =
        upstream !in excluded && (candidates == null || upstream in candidates)
}

/** The upstream for a request, or a rejection with the time after which to retry. */
public sealed interface PlacementResult {
    /**
     * @property prefixSource an engine that has probably cached shared parts of the prompt, from which the chosen engine can
     *     fetch the parts that it lacks, or null
     * @property prefillTokens prompt tokens that the chosen engine probably has to prefill
     * @property explanation the inputs of the decision, for the event log
     */
    public class Chosen(
        public val upstream: KnownUpstream,
        public val prefixSource: KnownUpstream? = null,
        public val prefillTokens: Int = 0,
        public val explanation: String = "",
    ) : PlacementResult

    public class Rejected(public val reason: String, public val retryAfter: Duration) : PlacementResult
}

/** Selects upstreams. Called only on the traffic thread. */
public interface Placement {
    public fun choose(request: PlacementRequest, view: DirectoryView): PlacementResult
}
