/*
 * End-to-end tests of gateways in front of the stand-in for the users' site, with and without faults.
 */
package org.primrosesill.platform

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.primrosesill.generated.EventType
import org.primrosesill.generated.RouterStatus
import org.primrosesill.http.messageJson
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isIn
import strikt.assertions.isLessThanOrEqualTo

private fun wholeStream(first: Int = 1) = (first..10).joinToString("") { "id: $it\ndata: $it\n\n" }

class GatewayTest {
    private var fixture = GatewayFixture()

    @AfterEach
    fun close() = fixture.close()

    private fun executions(id: String) =
        fixture.site.upstreams.sumOf { upstream ->
            upstream.executed.count {
                it.startsWith(id)
            }
        }

    private fun desks() = fixture.site.upstreams.filter { it.id.startsWith("desk") }

    private fun engines() = fixture.site.upstreams.filter { it.id.startsWith("engine") }

    private class HealthyCase(val name: String, val request: CallerRequest, val status: Int, val body: String)

    // Guards against requests that are lost, changed or sent to the wrong upstream.
    @TestFactory
    fun `requests without faults`(): List<DynamicTest> {
        val get = CallerRequest("/chat/1", "a1")
        val booking = CallerRequest("/book/7?seat=2", "b1", method = "POST", body = "two seats")
        val cases =
            listOf(
                HealthyCase("a stream", get, 200, wholeStream()),
                HealthyCase("a booking", booking, 200, "POST /book/7?seat=2 two seats"),
                HealthyCase("a read", CallerRequest("/stock/9", "c1"), 200, "GET /stock/9 "),
                HealthyCase(
                    "through the other gateway",
                    CallerRequest("/stock/9", "c2", gateway = 1),
                    200,
                    "GET /stock/9 ",
                ),
                HealthyCase("no route", CallerRequest("/none/9", "d1"), 404, ""),
                HealthyCase("a wrong key", CallerRequest("/stock/9", "e1", key = "other"), 401, ""),
            )
        fixture.start()
        val responses = runBlocking { cases.map { fixture.call(it.request) } }
        return cases.zip(responses).map { (case, response) ->
            dynamicTest(case.name) {
                expectThat(response.status).isEqualTo(case.status)
                if (case.status == 200) {
                    expectThat(response).isEqualTo(ReceivedResponse(200, case.body, complete = true))
                }
                expectThat(executions(case.request.id)).describedAs("executions").isEqualTo(
                    if (case.status ==
                        200
                    ) {
                        1
                    } else {
                        0
                    },
                )
            }
        }
    }

    private class FaultCase(
        val name: String,
        val mode: UpstreamMode,
        val target: String,
        val method: String,
        val status: Int,
        val maximumExecutions: Int,
    )

    // Guards against a booking that is executed twice, and a read that fails although another upstream is healthy.
    @TestFactory
    fun `requests to failing upstreams`(): List<DynamicTest> =
        listOf(
            FaultCase("booking, all upstreams crash", UpstreamMode.CRASHING, "/book/1", "POST", 502, 1),
            FaultCase("booking, all upstreams are full", UpstreamMode.FULL, "/book/1", "POST", 503, 0),
            FaultCase("booking, all upstreams fail", UpstreamMode.FAILING, "/book/1", "POST", 500, 1),
            FaultCase("read, all upstreams crash", UpstreamMode.CRASHING, "/stock/1", "GET", 502, 2),
            FaultCase("read, all upstreams fail", UpstreamMode.FAILING, "/stock/1", "GET", 500, 2),
            FaultCase("booking, no response", UpstreamMode.HANGING, "/book/1", "POST", 504, 1),
        ).map { case ->
            dynamicTest(case.name) {
                fixture.close()
                fixture = GatewayFixture()
                fixture.start()
                desks().forEach { it.mode = case.mode }
                val response = runBlocking { fixture.call(CallerRequest(case.target, "f1", method = case.method)) }
                expectThat(response.status).isEqualTo(case.status)
                expectThat(executions("f1")).describedAs("executions").isLessThanOrEqualTo(case.maximumExecutions)
            }
        }

    // Guards against a read that fails although another upstream is healthy.
    @Test
    fun `a read is retried on another upstream after a crash`() {
        fixture.start()
        desks().first().mode = UpstreamMode.CRASHING
        val responses = runBlocking { List(10) { fixture.call(CallerRequest("/stock/$it", "g$it")) } }
        expectThat(responses.map { it.status }.distinct()).isEqualTo(listOf(200))
    }

    private class AnnouncementCase(val name: String, val mode: UpstreamMode, val target: String)

    // Guards against requests to an upstream after it has announced that it leaves or has sent Retry-After.
    @TestFactory
    fun `an upstream that announces that it leaves or pauses receives no requests`(): List<DynamicTest> =
        listOf(
            AnnouncementCase("a leaving desk", UpstreamMode.LEAVING, "/stock/1"),
            AnnouncementCase("a leaving engine", UpstreamMode.LEAVING, "/chat/1"),
            AnnouncementCase("a desk that sends Retry-After", UpstreamMode.PAUSING, "/stock/1"),
            AnnouncementCase("an engine that sends Retry-After", UpstreamMode.PAUSING, "/chat/1"),
        ).map { case ->
            dynamicTest(case.name) {
                fixture.close()
                fixture = GatewayFixture(zones = listOf("a"))
                fixture.start()
                runBlocking { fixture.call(CallerRequest(case.target, "first")) }
                // Requests with the same prompt are routed to the upstream that has cached it.
                val preferred = fixture.site.upstreams.first { "first" in it.executed }
                preferred.mode = case.mode
                val responses = runBlocking { List(20) { fixture.call(CallerRequest(case.target, "then-$it")) } }
                expectThat(responses.map { it.status }.distinct()).isEqualTo(listOf(200))
                expectThat(preferred.received.toList()).isEqualTo(listOf("first", "then-0"))
            }
        }

    // Guards against a stream whose second half is missing, duplicated or out of order after its engine crashed.
    @Test
    fun `a resumable stream continues on another engine`() {
        fixture.start()
        engines().forEach { it.mode = UpstreamMode.TRUNCATING }
        val response =
            runBlocking {
                val pending = async { fixture.call(CallerRequest("/long/1", "h1")) }
                awaitCondition("the stream has started") { executions("h1") > 0 }
                engines().filter { upstream -> upstream.executed.none { it.startsWith("h1") } }.forEach {
                    it.mode = UpstreamMode.NORMAL
                }
                pending.await()
            }
        expectThat(response).isEqualTo(ReceivedResponse(200, wholeStream(), complete = true))
    }

    // Guards against an API key that a gateway still accepts after it was revoked.
    @Test
    fun `a revoked key is rejected by all gateways`() {
        fixture.start()
        fixture.site.configure(version = 2, key = "another")
        runBlocking {
            repeat(2) { gateway ->
                awaitCondition("gateway $gateway rejects the old key") {
                    fixture.call(CallerRequest("/stock/1", "i$gateway", gateway = gateway)).status == 401
                }
            }
            fixture.site.configure(version = 1)
            awaitCondition("the older version is rejected") { EventType.CONFIGURATION_REFUSED in fixture.events.types }
            expectThat(fixture.call(CallerRequest("/stock/1", "j1")).status)
                .describedAs("the old key after an older version was written")
                .isEqualTo(401)
        }
    }

    // Guards against new requests to an upstream that is draining.
    @Test
    fun `a draining upstream receives no new requests`() {
        fixture.start()
        val leaving = desks().first()
        fixture.site.register(leaving.id, state = "draining")
        runBlocking {
            awaitCondition("both gateways have received the new state") {
                (0..1).all { gateway ->
                    status(gateway).upstreams.any { it.upstream.value == leaving.id && !it.eligible }
                }
            }
            val before = leaving.executed.size
            repeat(20) { fixture.call(CallerRequest("/stock/$it", "k$it", gateway = it % 2)) }
            expectThat(leaving.executed.size)
                .describedAs("requests executed by the draining upstream")
                .isEqualTo(before)
        }
    }

    // Guards against traffic that stops with the platform, and entries that expire while it is unavailable.
    @TestFactory
    fun `requests are served while the platform is unavailable`(): List<DynamicTest> =
        listOf(StoreMode.UNAVAILABLE, StoreMode.UNRESPONSIVE).map { mode ->
            dynamicTest("$mode") {
                fixture.close()
                fixture = GatewayFixture()
                fixture.start()
                fixture.site.store.mode = mode
                runBlocking {
                    awaitCondition("the platform is reported lost") { EventType.PLATFORM_LOST in fixture.events.types }
                    val responses =
                        List(10) { async { fixture.call(CallerRequest("/stock/$it", "l$it", gateway = it % 2)) } }
                            .awaitAll()
                    expectThat(responses.filter { it.status == 200 }).hasSize(10)
                    fixture.site.store.mode = StoreMode.NORMAL
                    awaitCondition("the platform is reported back") { EventType.PLATFORM_BACK in fixture.events.types }
                }
            }
        }

    // Guards against a gateway that does not become ready while the platform rejects it and peers have its data.
    @Test
    fun `a gateway that starts without the platform receives its data from peers`() {
        fixture.start()
        fixture.site.store.mode = StoreMode.UNAVAILABLE
        runBlocking {
            fixture.startGateway("a")
            fixture.awaitReady(2)
            expectThat(fixture.call(CallerRequest("/stock/1", "m1", gateway = 2)).status).isEqualTo(200)
        }
    }

    // Guards against callers that are disconnected by a planned stop.
    @Test
    fun `a planned stop completes running requests and accepts new ones while draining`() {
        fixture.start()
        runBlocking {
            val streams = List(4) { async { fixture.call(CallerRequest("/chat/$it", "n$it")) } }
            awaitCondition("the streams have started") { streams.indices.all { executions("n$it") > 0 } }
            val stopping = async { fixture.gateways[0].stop() }
            awaitCondition("the gateway is no longer ready") {
                fixture.get(fixture.settings[0].readinessAddress, "/api/readyz").status == 503
            }
            expectThat(fixture.call(CallerRequest("/stock/1", "o1")).status).isEqualTo(200)
            expectThat(streams.awaitAll().filter { it.complete }).hasSize(4)
            stopping.await()
        }
    }

    // Guards against a gateway whose metrics and view of the fleet cannot be monitored.
    @Test
    fun `metrics and status are served`() {
        fixture.start()
        runBlocking {
            fixture.call(CallerRequest("/stock/1", "p1"))
            awaitCondition("the gateway lists both members") { metrics().contains("primrosesill_members 2") }
            val metrics = metrics()
            expectThat(metrics).contains("primrosesill_requests_seconds_count{pool=\"desks\"")
            expectThat(metrics).contains("primrosesill_first_answer_seconds_bucket")
            val status = status(0)
            expectThat(status.ready).isEqualTo(true)
            expectThat(status.configurationRevision).isEqualTo(1)
            expectThat(status.upstreams.filter { it.eligible }).hasSize(4)
            expectThat(status.platformAgeMillis).isIn(0L..5_000L)
        }
    }

    private suspend fun metrics() = fixture.get(fixture.settings[0].metricsAddress, "/metrics").body

    private suspend fun status(gateway: Int): RouterStatus =
        messageJson.decodeFromString(
            RouterStatus.serializer(),
            fixture.get(fixture.settings[gateway].metricsAddress, "/status").body,
        )
}
