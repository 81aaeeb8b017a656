/*
 * Asks an engine which parts of prompts it keeps.
 */
package org.primrosesill.platform

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import org.primrosesill.discovery.FeedError
import org.primrosesill.placement.PromptPartId
import org.primrosesill.request.UpstreamClient
import kotlin.time.Duration.Companion.milliseconds

private val TIMEOUT = 500.milliseconds

/** Each entry is a row: an empty text, the id of a part, its tokens that are kept now, and its model. */
private const val ID_COLUMN = 1

internal suspend fun readHeldParts(address: String, client: UpstreamClient): Either<FeedError, List<PromptPartId>> =
    client.get(address, "/api/kv-list", TIMEOUT).flatMap { answer ->
        if (answer.status != 200) return@flatMap FeedError.Unavailable("status ${answer.status}").left()
        readWireObject(answer.body.decodeToString(), "held parts") { wire ->
            wire.rows("held").mapNotNull { row ->
                row.getOrNull(ID_COLUMN)?.takeIf { it.isNotEmpty() }?.let(::PromptPartId)
            }
        }.mapLeft { FeedError.Malformed(it.toString()) }
    }
