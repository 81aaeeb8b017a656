/*
 * One version of the traffic configuration that operators publish. Immutable; a newer version replaces it as a whole.
 */
package org.primrosesill.route

import org.primrosesill.model.CustomerId
import org.primrosesill.model.PoolId
import kotlin.time.Duration

/**
 * The limits of an upstream that has just started, or has turned cold again.
 *
 * @property duration how long the upstream stays cold
 * @property requestsPerSecond requests that it can serve in any second, from all routers together
 */
public data class ColdStartLimits(val duration: Duration, val requestsPerSecond: Double)

/**
 * The capacity of each model engine of a pool.
 *
 * @property slots requests that one engine processes concurrently
 * @property kvCacheTokens prompt and output tokens that fit into the KV cache of one engine
 */
public data class EnginePool(val slots: Int, val kvCacheTokens: Long)

/**
 * One pool of upstreams.
 *
 * @property maximumConnections connections that one upstream accepts from all routers together
 * @property coldStart null if upstreams can serve their full load right after their start
 * @property engine null if upstreams are plain services
 */
public data class PoolDefinition(
    val id: PoolId,
    val healthPath: String,
    val maximumConnections: Int,
    val coldStart: ColdStartLimits?,
    val engine: EnginePool?,
)

/**
 * Limits on caller connections and their requests.
 *
 * @property headerTimeout maximum time to receive the head of a request
 * @property idleTimeout time without a request after which a connection is closed
 */
public data class CallerLimits(
    val maximumHeaderBytes: Int,
    val maximumBodyBytes: Int,
    val headerTimeout: Duration,
    val idleTimeout: Duration,
)

/** One client account with its credentials. A [priority] overrides that of the route. */
public data class ClientAccount(val customer: CustomerId, val credentials: Set<String>, val priority: Int?)

/**
 * The configuration at [version].
 *
 * @property accounts null if requests need no credential
 */
public class ServingConfiguration(
    public val version: Long,
    public val routes: RouteTable,
    public val pools: Map<PoolId, PoolDefinition>,
    public val limits: CallerLimits,
    public val accounts: List<ClientAccount>?,
) {
    private val byCredential: Map<String, ClientAccount> =
        accounts.orEmpty().flatMap { account -> account.credentials.map { it to account } }.toMap()

    /** Returns the account to which [credential] belongs, or null. */
    public fun accountOf(credential: String): ClientAccount? = byCredential[credential]
}
