/*
 * Fetches the ids of the prompt parts that an engine holds in its KV cache.
 */
package org.primrosesill.platform

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import org.primrosesill.discovery.FeedError
import org.primrosesill.placement.PromptPartId
import org.primrosesill.request.UpstreamClient
import kotlin.time.Duration.Companion.milliseconds

private val HEAD_TIMEOUT = 500.milliseconds

/**
 * Index of the part id. Each entry is an array: an empty string, the part id, the number of cached tokens, and the
 * model.
 */
private const val ID_COLUMN = 1

internal suspend fun fetchCachedParts(address: String, client: UpstreamClient): Either<FeedError, List<PromptPartId>> =
    client.get(address, "/api/kv-list", HEAD_TIMEOUT).flatMap { response ->
        if (response.status != 200) return@flatMap FeedError.Unavailable("unexpected status ${response.status}").left()
        readWireObject(response.body.decodeToString(), "cached parts") { wire ->
            wire.rows("held").mapNotNull { row ->
                row.getOrNull(ID_COLUMN)?.takeIf { it.isNotEmpty() }?.let(::PromptPartId)
            }
        }.mapLeft { FeedError.Malformed(it.toString()) }
    }
