/*
 * One version of everything that operators publish about traffic. Immutable; a newer version replaces it as a whole.
 */
package org.primrosesill.route

import org.primrosesill.model.CustomerId
import org.primrosesill.model.PoolId
import kotlin.time.Duration

/**
 * What an upstream that has just started, or turned cold again, can bear.
 *
 * @property duration how long it stays cold
 * @property requestsPerSecond requests of all routers together, in any second
 */
public data class ColdStart(val duration: Duration, val requestsPerSecond: Double)

/**
 * What all model engines of a pool have in common.
 *
 * @property slots requests that one engine works on at once
 * @property memoryTokens prompt and answer tokens that fit into the memory of one engine
 */
public data class EnginePool(val slots: Int, val memoryTokens: Long)

/**
 * One pool of upstreams.
 *
 * @property maximumConnections connections that one upstream accepts from all routers together
 * @property coldStart null when its upstreams bear full load at once
 * @property engine null when its upstreams are plain services
 */
public data class PoolDefinition(
    val id: PoolId,
    val healthPath: String,
    val maximumConnections: Int,
    val coldStart: ColdStart?,
    val engine: EnginePool?,
)

/**
 * What callers may send.
 *
 * @property headerTimeout time for the head of a request
 * @property idleTimeout time that a connection may stay without a request
 */
public data class CallerLimits(
    val maximumHeaderBytes: Int,
    val maximumBodyBytes: Int,
    val headerTimeout: Duration,
    val idleTimeout: Duration,
)

/** One client account with its credentials. A [priority] counts before that of the route. */
public data class ClientAccount(val customer: CustomerId, val credentials: Set<String>, val priority: Int?)

/**
 * The configuration at [version].
 *
 * @property accounts null when requests need no credential
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

    /** Returns the account that holds [credential], or null. */
    public fun accountOf(credential: String): ClientAccount? = byCredential[credential]
}
