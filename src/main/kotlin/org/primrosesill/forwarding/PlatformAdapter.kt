/*
 * The interface that each supported platform implements.
 */
package org.primrosesill.forwarding

import arrow.core.Either
import org.primrosesill.discovery.FeedError
import org.primrosesill.discovery.PlatformFeed
import org.primrosesill.discovery.PlatformItemDecoder
import org.primrosesill.placement.PromptPartId
import org.primrosesill.request.UpstreamClient

/** Connects a gateway to a platform. */
public interface PlatformAdapter {
    public val protocol: ForwardingProtocol
    public val itemDecoder: PlatformItemDecoder

    /** Returns whether the platform's [features] require gateways to schedule by the loads of upstreams. */
    public fun requiresLoadAwareScheduling(features: List<String>): Boolean = false

    /** Path at which the platform probes the readiness of this process. */
    public val readinessPath: String

    public fun feed(address: String, client: UpstreamClient): PlatformFeed

    /** Fetches from the engine at [address] the ids of the prompt parts that it has cached. */
    public suspend fun heldParts(address: String, client: UpstreamClient): Either<FeedError, List<PromptPartId>>
}
