/*
 * Tests the operator listener and its client: health, status and metrics, with and without the token.
 */
package org.primrosesill.http

import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.primrosesill.generated.Member
import org.primrosesill.generated.MemberState
import org.primrosesill.generated.RouterStatus
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.RouterId
import org.primrosesill.model.SocketAddress
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import java.net.ServerSocket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlin.time.Duration.Companion.seconds

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class OperatorProtocolTest {
    private val address = SocketAddress("127.0.0.1", ServerSocket(0).use { it.localPort })
    private val member =
        Member(RouterId("r1"), "127.0.0.1:1", AvailabilityZoneId("a"), 0, 1, MemberState.LIVE)
    private val statusProvider =
        object : RouterStatusProvider {
            var reason: String? = null

            override fun status() = RouterStatus(member, ready = reason == null, configurationRevision = 7)

            override fun notReadyReason() = reason
        }
    private val metrics = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val server = operatorListener(address, statusProvider, metrics, TOKEN)

    @BeforeAll
    fun start() {
        metrics.counter("requests.total").increment()
        server.start(wait = false)
    }

    @AfterAll
    fun stop() {
        server.stop(0, 0)
    }

    // Guards against load balancing to a router without configuration, and against unauthenticated status access.
    @ParameterizedTest(name = "{0}: {1} returns {4} for token {3} and not-ready reason {2}")
    @CsvSource(
        "a live router, /health/live, '', '', 200, live",
        "a router that is not ready is live, /health/live, no configuration, '', 200, live",
        "a ready router, /health/ready, '', '', 200, 'true'",
        "a router that is not ready returns the reason, /health/ready, no configuration, '', 503, no configuration",
        "status with the token, /status, '', secret, 200, '\"configurationRevision\":7'",
        "status without the token, /status, '', '', 401, ''",
        "metrics with the token, /metrics, '', secret, 200, requests_total 1.0",
        "metrics with another token, /metrics, '', wrong, 401, ''",
        "an unknown path, /secrets, '', secret, 404, ''",
    )
    fun `operator listener`(name: String, path: String, reason: String, token: String, status: Int, expected: String) {
        statusProvider.reason = reason.ifEmpty { null }
        val request = HttpRequest.newBuilder(URI("http://$address$path")).header("Authorization", "Bearer $token")
        val response = HttpClient.newHttpClient().send(request.build(), HttpResponse.BodyHandlers.ofString())
        expectThat(response.statusCode()).describedAs(name).isEqualTo(status)
        expectThat(response.body()).contains(expected)
    }

    // Guards against the same failure for a router that is down and for one that rejects the token.
    @Test
    fun `the client distinguishes a status, a rejected token and a closed port`() {
        val closed = SocketAddress("127.0.0.1", ServerSocket(0).use { it.localPort })
        statusProvider.reason = null
        runBlocking {
            OperatorClient(TOKEN, 5.seconds).use { client ->
                expectThat(client.status(address).getOrNull()).isEqualTo(statusProvider.status())
                expectThat(client.status(closed).leftOrNull()).isA<StatusFailure.Unreachable>()
            }
            OperatorClient("wrong", 5.seconds).use { client ->
                expectThat(client.status(address).leftOrNull()).isA<StatusFailure.InvalidResponse>()
            }
        }
    }

    private companion object {
        const val TOKEN = "secret"
    }
}
