/*
 * What a platform has to offer for the product to run on it.
 */
package org.primrosesill.forwarding

import arrow.core.Either
import org.primrosesill.discovery.FeedError
import org.primrosesill.discovery.PlatformFeed
import org.primrosesill.discovery.PlatformItemDecoder
import org.primrosesill.placement.PromptPartId
import org.primrosesill.request.UpstreamClient

/** What connects a gateway to a platform. */
public interface PlatformAdapter {
    public val protocol: ForwardingProtocol
    public val itemDecoder: PlatformItemDecoder

    /** The path at which the platform asks whether this process is ready. */
    public val readinessPath: String

    public fun feed(address: String, client: UpstreamClient): PlatformFeed

    /** Asks the engine at [address] which parts of prompts it has read. */
    public suspend fun heldParts(address: String, client: UpstreamClient): Either<FeedError, List<PromptPartId>>
}
