/*
 * Tests the peer protocol between routers: how listener and client handle valid, malformed, oversized and missing
 * messages.
 */
package org.primrosesill.http

import arrow.core.Either
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments.arguments
import org.junit.jupiter.params.provider.MethodSource
import org.junit.jupiter.params.provider.ValueSource
import org.primrosesill.generated.ClaimKind
import org.primrosesill.generated.ClaimOutcome
import org.primrosesill.generated.ClaimRelease
import org.primrosesill.generated.ClaimReply
import org.primrosesill.generated.ClaimRequest
import org.primrosesill.generated.ClaimState
import org.primrosesill.generated.ClaimVote
import org.primrosesill.generated.ConfigurationPage
import org.primrosesill.generated.ExchangeMessage
import org.primrosesill.generated.LeaseReply
import org.primrosesill.generated.LeaseRequest
import org.primrosesill.generated.ReservationReply
import org.primrosesill.generated.ReservationRequest
import org.primrosesill.generated.ReservationState
import org.primrosesill.generated.StoredAnswer
import org.primrosesill.generated.VmList
import org.primrosesill.model.ClaimResource
import org.primrosesill.model.CustomerId
import org.primrosesill.model.RouterId
import org.primrosesill.model.SocketAddress
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import java.net.ServerSocket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class PeerProtocolTest {
    private val port = ServerSocket(0).use { it.localPort }
    private val address = "127.0.0.1:$port"
    private val handler = RecordingHandler()
    private val server = peerListener(SocketAddress("127.0.0.1", port), handler, TOKEN)
    private val client = peerClient(2.seconds, TOKEN)

    @BeforeAll
    fun start() {
        server.start(wait = false)
    }

    @AfterAll
    fun stop() {
        client.close()
        server.stop(0, 0)
    }

    // Guards against a field that one side sends and the other does not read.
    @Test
    fun `every message reaches the handler and its reply the client`(): Unit =
        runBlocking {
            val router = RouterId("r1")
            val resource = ClaimResource("key/with spaces?&=%")
            val claim = ClaimRequest(resource, ClaimKind.KEY, router, address, 1, 2, "a1")
            val response = StoredAnswer(resource, 200, "text/plain", "aGk=", "digest", 5)

            expectThat(client.exchange(address, ExchangeMessage(7, emptyList())).getOrNull()?.round).isEqualTo(7)
            expectThat(client.claim(address, claim).getOrNull()?.vote).isEqualTo(ClaimVote.GRANTED)
            expectThat(
                client.lease(address, LeaseRequest(CustomerId("c"), router, 3)).getOrNull()?.granted,
            ).isEqualTo(3)
            expectThat(client.configuration(address, 41).getOrNull()?.revision).isEqualTo(41)
            expectThat(client.vms(address).getOrNull()?.revision).isEqualTo(12)
            expectThat(client.outcome(address, resource).getOrNull()?.state).isEqualTo(ClaimState.NOT_HELD)
            client.storeResponse(address, response)
            expectThat(client.outcome(address, resource).getOrNull()?.answer).isEqualTo(response)
            client.release(address, ClaimRelease(resource, router, "a1"))
            expectThat(handler.released).containsExactly(resource)
        }

    // Guards against a listener that returns a server error for an invalid message or passes it to the handler.
    @ParameterizedTest(name = "{0} is rejected with status {3}")
    @MethodSource("invalidRequests")
    fun `an invalid message is rejected`(name: String, path: String, body: String, status: Int) {
        val request =
            HttpRequest
                .newBuilder(URI("http://$address$path"))
                .header("Authorization", "Bearer $TOKEN")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build()
        val response = HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.discarding())
        expectThat(response.statusCode()).describedAs(name).isEqualTo(status)
    }

    // Guards against a call that blocks the control loop or throws an exception into it.
    @Test
    fun `a timeout, a refused connection and an invalid reply are typed failures`(): Unit =
        runBlocking {
            val closedPort = ServerSocket(0).use { it.localPort }
            expectThat(client.configuration("127.0.0.1:$closedPort", 0))
                .isA<Either.Left<PeerFailure>>()
                .get { value }
                .isA<PeerFailure.Unreachable>()
            expectThat(client.configuration(address, -1))
                .isA<Either.Left<PeerFailure>>()
                .get { value }
                .isA<PeerFailure.BadReply>()
            peerClient(50.milliseconds, TOKEN).use { shortTimeoutClient ->
                expectThat(shortTimeoutClient.configuration(address, SLOW_REVISION))
                    .isA<Either.Left<PeerFailure>>()
                    .get { value }
                    .isA<PeerFailure.TimedOut>()
            }
        }

    // Guards against claims and leases that an unauthorized caller could forge.
    @ParameterizedTest(name = "the token {0} is rejected")
    @ValueSource(strings = ["", "wrong", "$TOKEN."])
    fun `a call without the token is rejected`(token: String): Unit =
        runBlocking {
            peerClient(2.seconds, token).use { unauthorizedClient ->
                expectThat(unauthorizedClient.configuration(address, 0))
                    .isA<Either.Left<PeerFailure>>()
                    .get { value }
                    .isA<PeerFailure.BadReply>()
                    .get { status }
                    .isEqualTo(401)
            }
        }

    companion object {
        private const val TOKEN = "peer token of the test"
        private const val SLOW_REVISION = 1_000_000L

        @JvmStatic
        fun invalidRequests() =
            listOf(
                arguments("text that is not JSON", EXCHANGE_PATH, "nonsense", 400),
                arguments("a missing field", CLAIM_PATH, """{"resource":"r"}""", 400),
                arguments("a wrong type", LEASE_PATH, """{"customer":"c","router":"r","wanted":"many"}""", 400),
                arguments("an empty body", CLAIM_RELEASE_PATH, "", 400),
                arguments("an oversized body", EXCHANGE_PATH, " ".repeat(MAXIMUM_PEER_MESSAGE_BYTES + 1), 413),
                arguments("an unknown path", "/peer/v1/unknown", "{}", 404),
            )
    }

    private class RecordingHandler : PeerHandler {
        val released = mutableListOf<ClaimResource>()
        private val responses = mutableMapOf<ClaimResource, StoredAnswer>()

        override suspend fun exchange(message: ExchangeMessage) = message

        override suspend fun configuration(since: Long): ConfigurationPage {
            if (since == SLOW_REVISION) delay(2.seconds)
            check(since >= 0) { "the test triggers a server error" }
            return ConfigurationPage(since, emptyList())
        }

        override suspend fun vms() = VmList(12, emptyList())

        override suspend fun claim(request: ClaimRequest) = ClaimReply(request.claimant, ClaimVote.GRANTED)

        override suspend fun release(release: ClaimRelease) {
            released += release.resource
        }

        override suspend fun storeResponse(response: StoredAnswer) {
            responses[response.resource] = response
        }

        override suspend fun outcome(resource: ClaimResource) =
            responses[resource]?.let { ClaimOutcome(ClaimState.STORED, it) } ?: ClaimOutcome(ClaimState.NOT_HELD)

        override suspend fun lease(request: LeaseRequest) = LeaseReply(request.wanted, 1_000, 0)

        override suspend fun reserve(request: ReservationRequest) = ReservationReply(ReservationState.GRANTED)
    }
}
