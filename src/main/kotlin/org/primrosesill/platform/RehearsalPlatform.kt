/*
 * An in-memory platform with one route and one upstream on loopback, so that a process can serve requests without
 * outside systems. The build runs it once to record the classes that a gateway loads, for the class data archive.
 */
package org.primrosesill.platform

import arrow.core.Either
import arrow.core.right
import kotlinx.coroutines.delay
import org.primrosesill.discovery.FeedError
import org.primrosesill.discovery.PlatformChanges
import org.primrosesill.discovery.PlatformFeed
import org.primrosesill.discovery.PlatformItem
import org.primrosesill.discovery.PlatformListing
import org.primrosesill.discovery.PlatformRevision
import org.primrosesill.forwarding.PlatformAdapter
import org.primrosesill.forwarding.RequestHandler
import org.primrosesill.forwarding.ResponseHead
import org.primrosesill.model.HeaderFields
import org.primrosesill.model.headerFieldsOf
import org.primrosesill.request.UpstreamClient
import kotlin.time.Duration

private const val HOST = "rehearsal.example"
private const val CREDENTIAL = "rehearsal"

private const val CONFIGURATION =
    """{"version":1,"routes":[{"name":"chat","host":"$HOST","path_prefix":"/chat/","type":"stream","timeout_ms":5000,
    "target_latency_ms":800,"priority":1,"service":"engine","attempts":2,"anonymous":false,"affinity":true,
    "resumable":true,"gap_target_ms":400}],"services":[{"name":"engine","health_path":"/healthz","max_conns":96,
    "warmup_s":3.0,"warmup_per_s":10.0,"engine":{"max_batch":96,"kv_capacity":216524}}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
    "tenants":[{"name":"account","api_keys":["$CREDENTIAL"]}]}"""

/** A request target within the only route. */
public const val REHEARSAL_TARGET: String = "/chat/1"

/** Header fields of a request to [REHEARSAL_TARGET]. */
public fun rehearsalRequestFields(): HeaderFields =
    headerFieldsOf(
        "Host" to HOST,
        "Authorization" to "Bearer $CREDENTIAL",
        "X-Attempt-Id" to "rehearsal-1",
        "X-Deadline-Ms" to "5000",
        "X-Model" to "m",
        "X-Token-Usage" to "30,10",
        "X-Prefix-Hash" to "a1:10,b2:20",
    )

/** Responds like an upstream, with a stream of two events. */
public fun rehearsalUpstream(): RequestHandler =
    RequestHandler { request, response ->
        val id = request.headers["X-Attempt-Id"].orEmpty()
        val fields =
            headerFieldsOf("X-Attempt-Id" to id, "X-Server-Signature" to "s", "X-Server-Load" to "1,0,96") +
                headerFieldsOf("Content-Type" to "text/event-stream")
        response.start(ResponseHead(200, fields))
        repeat(2) { response.write("id: $it\ndata: x\n\n".toByteArray()) }
        response.finish()
    }

/** Returns [usersPlatformAdapter] with an in-memory store, whose only upstream is at [upstreamAddress]. */
public fun rehearsalPlatform(upstreamAddress: String): PlatformAdapter =
    object : PlatformAdapter by usersPlatformAdapter() {
        override fun feed(address: String, client: UpstreamClient): PlatformFeed = InMemoryFeed(upstreamAddress)
    }

private class InMemoryFeed(private val upstreamAddress: String) : PlatformFeed {
    override suspend fun list(): Either<FeedError, PlatformListing> {
        val entry =
            """{"service":"engine","address":"$upstreamAddress","zone":"a","version":"v1","max_batch":96,
            "state":"ready","warmup_left_ms":0,"sequence":1}"""
        val items = listOf(PlatformItem("op/config", 1, CONFIGURATION), PlatformItem("servers/i-1", 2, entry))
        return PlatformListing(PlatformRevision(2), items).right()
    }

    override suspend fun watch(revision: PlatformRevision, wait: Duration): Either<FeedError, PlatformChanges> {
        delay(wait)
        return PlatformChanges(revision, emptyList()).right()
    }
}
