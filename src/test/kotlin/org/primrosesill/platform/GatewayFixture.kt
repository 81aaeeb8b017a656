/*
 * Two gateways in two zones in front of a stand-in for the users' site, and a caller, all on loopback.
 */
package org.primrosesill.platform

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.primrosesill.concurrent.throwingReporter
import org.primrosesill.gateway.Gateway
import org.primrosesill.gateway.startGateway
import org.primrosesill.generated.GatewaySettings
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.HeaderFields
import org.primrosesill.model.UpstreamId
import org.primrosesill.model.headerFieldsOf
import org.primrosesill.request.BodyPart
import org.primrosesill.request.ConnectionUse
import org.primrosesill.request.ExchangeResult
import org.primrosesill.request.RecordingEvents
import org.primrosesill.request.UpstreamCall
import org.primrosesill.transport.TrafficLoop
import org.primrosesill.transport.freePort
import org.primrosesill.transport.nettyUpstreamClient
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * The response that a caller received. A status of 0 means that the connection ended without a response.
 *
 * @property sent whether a connection was established
 */
data class ReceivedResponse(val status: Int, val body: String, val complete: Boolean, val sent: Boolean = true)

/** Returns a loopback address whose port is not in use. */
internal fun freeAddress(): String = "127.0.0.1:${freePort()}"

/** A request to the gateway with index [gateway]. Gateways are numbered from 0 in the order of their start. */
data class CallerRequest(
    val target: String,
    val id: String,
    val method: String = "GET",
    val key: String = SiteStandIn.KEY,
    val gateway: Int = 0,
    val body: String? = null,
)

/** Sends requests like a caller, each on a new or a reused connection. */
class TestCaller(loop: TrafficLoop) {
    private val client = nettyUpstreamClient(loop)

    suspend fun get(address: String, target: String): ReceivedResponse =
        exchange(address, "GET", target, HeaderFields(), null, ConnectionUse.NonPersistent)

    suspend fun call(
        address: String,
        request: CallerRequest,
        connection: ConnectionUse = ConnectionUse.NonPersistent,
    ): ReceivedResponse {
        val fields =
            headerFieldsOf(
                "Authorization" to "Bearer ${request.key}",
                "X-Attempt-Id" to request.id,
                "X-Deadline-Ms" to "3000",
                "X-Token-Usage" to "30,10",
                "X-Prefix-Hash" to "a1:10,b2:20",
            )
        return exchange(address, request.method, request.target, fields, request.body?.toByteArray(), connection)
    }

    private suspend fun exchange(
        address: String,
        method: String,
        target: String,
        fields: HeaderFields,
        body: ByteArray?,
        connection: ConnectionUse,
    ): ReceivedResponse {
        val call =
            UpstreamCall(
                upstream = UpstreamId(address),
                address = address,
                method = method,
                path = target,
                requestId = "",
                headers = fields,
                body = body,
                timeout = 5.seconds,
                host = "h.example",
                connection = connection,
            )
        val result =
            client.exchange(call) { response ->
                val text = StringBuilder()
                var last = response.body.next()
                while (last is BodyPart.Bytes) {
                    text.append(last.bytes.decodeToString())
                    last = response.body.next()
                }
                ReceivedResponse(response.status, text.toString(), last == BodyPart.End)
            }
        val sent = result !is ExchangeResult.NotSent
        return (result as? ExchangeResult.Responded)?.value ?: ReceivedResponse(0, "$result", complete = false, sent)
    }
}

class GatewayFixture(
    engines: Int = 2,
    desks: Int = 2,
    zones: List<String> = listOf("a", "b"),
    private val storeMode: StoreMode = StoreMode.NORMAL,
) : AutoCloseable {
    private val loop = TrafficLoop(throwingReporter)
    private val caller = TestCaller(loop)
    val site = SiteStandIn(loop, engines, desks, zones)
    val events = RecordingEvents()
    val settings = mutableListOf<GatewaySettings>()
    val gateways = mutableListOf<Gateway>()

    fun start() =
        runBlocking {
            site.start()
            listOf("a", "b").forEach { startGateway(it) }
            site.store.mode = storeMode
            gateways.indices.forEach { awaitReady(it) }
            gateways.indices.forEach { awaitSettled(it) }
        }

    /** Starts another gateway in [zone], without waiting until it is ready. */
    suspend fun startGateway(zone: String) {
        settings +=
            GatewaySettings(
                name = "gateway-$zone-${settings.size}",
                availabilityZone = AvailabilityZoneId(zone),
                callerAddress = freeAddress(),
                readinessAddress = freeAddress(),
                // Gossip uses the same port on all gateways, so that each needs its own IP address.
                peerAddress = "127.0.0.${settings.size + 2}:${freeAddress().substringAfter(':')}",
                metricsAddress = freeAddress(),
                gossipPort = GOSSIP_PORT,
                platformAddress = site.storeAddress,
                peers = settings.map { it.peerAddress },
                retryFixed = 50.0,
                stopGraceMillis = 4_000,
            )
        gateways += startGateway(settings.last(), usersPlatformAdapter(), events)
    }

    suspend fun awaitReady(gateway: Int) =
        awaitCondition("gateway $gateway is ready") {
            get(settings[gateway].readinessAddress, "/api/readyz").status == 200
        }

    /**
     * Until the fleet is settled, a gateway does not use its share of the budgets of the fleet, so few requests are
     * retried.
     */
    private suspend fun awaitSettled(gateway: Int) =
        awaitCondition("gateway $gateway has settled") {
            get(settings[gateway].metricsAddress, "/metrics").body.contains("primrosesill_fleet_settled 1")
        }

    suspend fun get(address: String, target: String): ReceivedResponse = caller.get(address, target)

    suspend fun call(request: CallerRequest): ReceivedResponse =
        caller.call(settings[request.gateway].callerAddress, request)

    override fun close() {
        gateways.forEach { it.close() }
        loop.close()
    }

    private companion object {
        val GOSSIP_PORT = freePort()
    }
}

/** Waits until [condition] holds, and fails after [limit]. */
suspend fun awaitCondition(description: String, limit: Duration = 5.seconds, condition: suspend () -> Boolean) {
    val start = TimeSource.Monotonic.markNow()
    while (!condition()) {
        check(start.elapsedNow() < limit) { "timed out after $limit: $description" }
        delay(POLL_INTERVAL)
    }
}

private val POLL_INTERVAL = 20.milliseconds
