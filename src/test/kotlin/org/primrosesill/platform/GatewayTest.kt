/*
 * The whole path through gateways before the stand-in of the users' site: calm, and when something fails.
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

    private fun ran(id: String) = fixture.site.upstreams.sumOf { upstream -> upstream.ran.count { it.startsWith(id) } }

    private fun desks() = fixture.site.upstreams.filter { it.id.startsWith("desk") }

    private fun engines() = fixture.site.upstreams.filter { it.id.startsWith("engine") }

    private class Calm(val name: String, val request: CallerRequest, val status: Int, val body: String)

    // Guards against a path on which a request is lost, changed or sent where it does not belong.
    @TestFactory
    fun `requests on a calm day`(): List<DynamicTest> {
        val get = CallerRequest("/chat/1", "a1")
        val booking = CallerRequest("/book/7?seat=2", "b1", method = "POST", body = "two seats")
        val cases =
            listOf(
                Calm("a stream", get, 200, wholeStream()),
                Calm("a booking", booking, 200, "POST /book/7?seat=2 two seats"),
                Calm("a read", CallerRequest("/stock/9", "c1"), 200, "GET /stock/9 "),
                Calm("through the other gateway", CallerRequest("/stock/9", "c2", gateway = 1), 200, "GET /stock/9 "),
                Calm("no route", CallerRequest("/none/9", "d1"), 404, ""),
                Calm("a wrong key", CallerRequest("/stock/9", "e1", key = "other"), 401, ""),
            )
        fixture.start()
        val answers = runBlocking { cases.map { fixture.call(it.request) } }
        return cases.zip(answers).map { (case, answer) ->
            dynamicTest(case.name) {
                expectThat(answer.status).isEqualTo(case.status)
                if (case.status == 200) expectThat(answer).isEqualTo(CallerAnswer(200, case.body, whole = true))
                expectThat(ran(case.request.id)).describedAs("runs").isEqualTo(if (case.status == 200) 1 else 0)
            }
        }
    }

    private class Faulty(
        val name: String,
        val mode: UpstreamMode,
        val target: String,
        val method: String,
        val status: Int,
        val mostRuns: Int,
    )

    // Guards against a booking that runs twice, and against a read that fails although another upstream is sound.
    @TestFactory
    fun `upstreams that fail`(): List<DynamicTest> =
        listOf(
            Faulty("booking, all crash", UpstreamMode.CRASHING, "/book/1", "POST", 502, 1),
            Faulty("booking, all are full", UpstreamMode.FULL, "/book/1", "POST", 503, 0),
            Faulty("booking, all fail", UpstreamMode.FAILING, "/book/1", "POST", 500, 1),
            Faulty("read, all crash", UpstreamMode.CRASHING, "/stock/1", "GET", 502, 2),
            Faulty("read, all fail", UpstreamMode.FAILING, "/stock/1", "GET", 500, 2),
            Faulty("booking, no answer", UpstreamMode.HANGING, "/book/1", "POST", 504, 1),
        ).map { case ->
            dynamicTest(case.name) {
                fixture.close()
                fixture = GatewayFixture()
                fixture.start()
                desks().forEach { it.mode = case.mode }
                val answer = runBlocking { fixture.call(CallerRequest(case.target, "f1", method = case.method)) }
                expectThat(answer.status).isEqualTo(case.status)
                expectThat(ran("f1")).describedAs("runs").isLessThanOrEqualTo(case.mostRuns)
            }
        }

    // Guards against a read that fails although another upstream is sound.
    @Test
    fun `a read moves on from an upstream that crashes`() {
        fixture.start()
        desks().first().mode = UpstreamMode.CRASHING
        val answers = runBlocking { List(10) { fixture.call(CallerRequest("/stock/$it", "g$it")) } }
        expectThat(answers.map { it.status }.distinct()).isEqualTo(listOf(200))
    }

    private class Notice(val name: String, val mode: UpstreamMode, val target: String)

    // Guards against requests that reach an upstream after it said that it leaves, or that it wants none for some time.
    @TestFactory
    fun `an upstream is left alone as it asked`(): List<DynamicTest> =
        listOf(
            Notice("a leaving desk", UpstreamMode.LEAVING, "/stock/1"),
            Notice("a leaving engine", UpstreamMode.LEAVING, "/chat/1"),
            Notice("a desk that wants a pause", UpstreamMode.PAUSING, "/stock/1"),
            Notice("an engine that wants a pause", UpstreamMode.PAUSING, "/chat/1"),
        ).map { case ->
            dynamicTest(case.name) {
                fixture.close()
                fixture = GatewayFixture(zones = listOf("a"))
                fixture.start()
                runBlocking { fixture.call(CallerRequest(case.target, "first")) }
                // Requests with the same prompt go to the upstream that has read it.
                val preferred = fixture.site.upstreams.first { "first" in it.ran }
                preferred.mode = case.mode
                val answers = runBlocking { List(20) { fixture.call(CallerRequest(case.target, "then-$it")) } }
                expectThat(answers.map { it.status }.distinct()).isEqualTo(listOf(200))
                expectThat(preferred.reached.toList()).isEqualTo(listOf("first", "then-0"))
            }
        }

    // Guards against a stream whose second half is missing, doubled or out of order after its engine crashed.
    @Test
    fun `a stream that may be resumed goes on at another engine`() {
        fixture.start()
        engines().forEach { it.mode = UpstreamMode.CUTTING }
        val answer =
            runBlocking {
                val answering = async { fixture.call(CallerRequest("/long/1", "h1")) }
                await("the stream has started") { ran("h1") > 0 }
                engines().filter { upstream -> upstream.ran.none { it.startsWith("h1") } }.forEach {
                    it.mode = UpstreamMode.GOOD
                }
                answering.await()
            }
        expectThat(answer).isEqualTo(CallerAnswer(200, wholeStream(), whole = true))
    }

    // Guards against a key that still works at some gateway after it was taken away.
    @Test
    fun `a key that is taken away is refused by all gateways`() {
        fixture.start()
        fixture.site.configure(version = 2, key = "another")
        runBlocking {
            repeat(2) { gateway ->
                await("gateway $gateway refuses the old key") {
                    fixture.call(CallerRequest("/stock/1", "i$gateway", gateway = gateway)).status == 401
                }
            }
            fixture.site.configure(version = 1)
            await("the older version is refused") { EventType.CONFIGURATION_REFUSED in fixture.events.types }
            expectThat(fixture.call(CallerRequest("/stock/1", "j1")).status)
                .describedAs("the old key after an older version was written")
                .isEqualTo(401)
        }
    }

    // Guards against new requests at an upstream that is leaving.
    @Test
    fun `an upstream that leaves gets no new requests`() {
        fixture.start()
        val leaving = desks().first()
        fixture.site.register(leaving.id, state = "draining")
        runBlocking {
            await("both gateways know") {
                (0..1).all { gateway ->
                    status(gateway).upstreams.any { it.upstream.value == leaving.id && !it.eligible }
                }
            }
            val before = leaving.ran.size
            repeat(20) { fixture.call(CallerRequest("/stock/$it", "k$it", gateway = it % 2)) }
            expectThat(leaving.ran.size).describedAs("requests that ran there").isEqualTo(before)
        }
    }

    // Guards against traffic that stops with the platform, and against entries that lapse while it is away.
    @TestFactory
    fun `the platform is away`(): List<DynamicTest> =
        listOf(StoreMode.BUSY, StoreMode.SILENT).map { mode ->
            dynamicTest("$mode") {
                fixture.close()
                fixture = GatewayFixture()
                fixture.start()
                fixture.site.store.mode = mode
                runBlocking {
                    await("the loss is noted") { EventType.PLATFORM_LOST in fixture.events.types }
                    val answers =
                        List(10) { async { fixture.call(CallerRequest("/stock/$it", "l$it", gateway = it % 2)) } }
                            .awaitAll()
                    expectThat(answers.filter { it.status == 200 }).hasSize(10)
                    fixture.site.store.mode = StoreMode.NORMAL
                    await("the return is noted") { EventType.PLATFORM_BACK in fixture.events.types }
                }
            }
        }

    // Guards against a gateway that does not get ready while the platform turns it away and others could tell it all.
    @Test
    fun `a gateway that starts without the platform learns from others`() {
        fixture.start()
        fixture.site.store.mode = StoreMode.BUSY
        runBlocking {
            fixture.startGateway("a")
            fixture.awaitReady(2)
            expectThat(fixture.call(CallerRequest("/stock/1", "m1", gateway = 2)).status).isEqualTo(200)
        }
    }

    // Guards against callers that are cut off by a planned stop.
    @Test
    fun `a planned stop serves what has arrived and what still arrives`() {
        fixture.start()
        runBlocking {
            val streams = List(4) { async { fixture.call(CallerRequest("/chat/$it", "n$it")) } }
            await("they have started") { streams.indices.all { ran("n$it") > 0 } }
            val stopping = async { fixture.gateways[0].stop() }
            await("it is no longer ready") {
                fixture.get(fixture.settings[0].readinessAddress, "/api/readyz").status == 503
            }
            expectThat(fixture.call(CallerRequest("/stock/1", "o1")).status).isEqualTo(200)
            expectThat(streams.awaitAll().filter { it.whole }).hasSize(4)
            stopping.await()
        }
    }

    // Guards against a gateway of which nobody can tell what it does or believes.
    @Test
    fun `metrics and status`() {
        fixture.start()
        runBlocking {
            fixture.call(CallerRequest("/stock/1", "p1"))
            await("the gateways have met") { metrics().contains("primrosesill_members 2") }
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
