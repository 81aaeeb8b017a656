/*
 * Adapter for the users' platform. The platform's protocol is implemented only in this package.
 */
package org.primrosesill.platform

import arrow.core.Either
import org.primrosesill.discovery.FeedError
import org.primrosesill.discovery.PlatformFeed
import org.primrosesill.discovery.PlatformItemDecoder
import org.primrosesill.forwarding.ForwardingProtocol
import org.primrosesill.forwarding.PlatformAdapter
import org.primrosesill.placement.PromptPartId
import org.primrosesill.request.UpstreamClient

/** Feature of deployments whose upstreams form large pools that many gateways share. */
private const val POOL_FEATURE = "pool"

/** Returns the adapter for the users' platform. */
public fun usersPlatformAdapter(): PlatformAdapter =
    object : PlatformAdapter {
        override val protocol: ForwardingProtocol = platformHeaderProtocol()
        override val itemDecoder: PlatformItemDecoder = storeItemDecoder()

        override fun requiresLoadAwareScheduling(features: List<String>): Boolean = POOL_FEATURE in features

        override val readinessPath = "/api/readyz"

        override fun feed(address: String, client: UpstreamClient): PlatformFeed = storeFeed(address, client)

        override suspend fun heldParts(
            address: String,
            client: UpstreamClient,
        ): Either<FeedError, List<PromptPartId>> = fetchCachedParts(address, client)
    }
