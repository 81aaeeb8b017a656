/*
 * Tests of the stand-in engine under virtual time. Measurements of the routers are only as accurate as the engine that
 * they run against.
 */
package org.primrosesill.standin

import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.generated.UpstreamState
import org.primrosesill.model.UpstreamId
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNull
import strikt.assertions.isTrue

class EngineTest {
    private val settings =
        EngineSettings(UpstreamId("e1"), capacity = 2, queueLimit = 2, answerTokens = 4, cacheEventLoss = 0.0)
    private val prompt = List(64) { "t$it" }

    // Guards against measurements that are too good because the engine lacks batching, caching, cold starts or lag.
    @TestFactory
    fun engineBehaviour(): List<DynamicTest> =
        listOf(
            case("a cold engine fails under too many concurrent requests and rejects all requests for a time") {
                val engine = engine(settings.copy(coldMillis = 1_000, bears = 1, fallMillis = 500))
                val first = submitted(engine, "a")
                expectThat(engine.submit(chat("b")).leftOrNull()?.state).isEqualTo(UpstreamState.COLD)
                expectThat(first.end).isEqualTo(StreamEnd.FELL_OVER)
                expectThat(engine.submit(chat("c")).isLeft()).isTrue()
                delay(501)
                expectThat(engine.submit(chat("d")).isRight()).isTrue()
                expectThat(engine.executions.page().fellOver).isEqualTo(1)
            },
            case("an engine without overload is warm after the cold start, and cold again on request") {
                val engine = engine(settings.copy(coldMillis = 1_000, bears = 1))
                expectThat(engine.submit(chat("a")).isRight()).isTrue()
                delay(1_201)
                expectThat(engine.report().state).isEqualTo(UpstreamState.WARM)
                engine.setMode(EngineMode.COLD)
                expectThat(engine.state).isEqualTo(UpstreamState.COLD)
            },
            case("tokens take longer in a full batch") {
                val engine = engine(settings.copy(batchGrowth = 1.0))
                val aloneMillis = responseMillis(engine, "a")
                val together = listOf("b", "c").map { async { responseMillis(engine, it) } }
                expectThat(together[0].await()).isGreaterThan(aloneMillis)
            },
            case("a cached prefix shortens the time to the first token and is reported as cached tokens") {
                val engine = engine(settings.copy(promptTokenMicros = 10_000))
                val uncachedMillis = responseMillis(engine, "a")
                expectThat(responseMillis(engine, "b")).isLessThan(uncachedMillis)
                expectThat(
                    engine.executions
                        .page()
                        .executions
                        .map { it.cachedTokens },
                ).containsExactly(0, 64)
            },
            case("a prefix that was evicted is not a cache hit") {
                val engine = engine(settings.copy(cacheTokens = 64))
                responseMillis(engine, "a")
                responseMillis(engine, "b", List(64) { "u$it" })
                responseMillis(engine, "c")
                expectThat(
                    engine.executions
                        .page()
                        .executions
                        .last()
                        .cachedTokens,
                ).isEqualTo(0)
            },
            case("the queued request with the highest priority enters the batch first") {
                val engine = engine(settings.copy(capacity = 1))
                submitted(engine, "a")
                launch { engine.submit(chat("later", priority = 9)) }
                delay(1)
                launch { engine.submit(chat("urgent", priority = 0)) }
                delay(10_000)
                expectThat(
                    engine.executions
                        .page()
                        .executions
                        .map { it.request },
                ).containsExactly("a", "urgent", "later")
            },
            case("a request that waits until its deadline is rejected and not executed") {
                val engine = engine(settings.copy(capacity = 1, answerTokens = 1_000))
                submitted(engine, "a")
                expectThat(engine.submit(chat("b", deadlineMillis = 50)).isLeft()).isTrue()
                expectThat(
                    engine.executions
                        .page()
                        .executions
                        .map { it.request },
                ).containsExactly("a")
                expectThat(engine.report().queued).isEqualTo(0)
            },
            case("an interrupted stream resumes after the last event without a gap or a duplicate") {
                val engine = engine(settings)
                val stream = submitted(engine, "a")
                val read = mutableListOf<Int>()
                val first = async { stream.follow(0, { nowMillis() }) { number, _ -> read += number } }
                delay(55)
                engine.disconnectReaders()
                expectThat(first.await()).isEqualTo(StreamEnd.CONNECTION_CUT)
                expectThat(read.size).isLessThan(7)
                stream.follow(read.last(), { nowMillis() }) { number, _ -> read += number }
                expectThat(read).containsExactly(1, 2, 3, 4, 5, 6, 7)
            },
            case("a cancelled stream generates no more tokens and releases its slot") {
                val engine = engine(settings.copy(answerTokens = 1_000))
                submitted(engine, "a")
                delay(100)
                expectThat(engine.cancel("a")).isTrue()
                delay(1_000)
                expectThat(engine.report().running).isEqualTo(0)
                expectThat(
                    engine.executions
                        .page()
                        .executions
                        .single()
                        .generatedTokens,
                ).isLessThan(10)
                expectThat(engine.cancel("a")).isFalse()
            },
            case("a stream without a reader is cancelled after a time") {
                val engine = engine(settings.copy(answerTokens = 1_000, unreadMillis = 200))
                val stream = submitted(engine, "a")
                delay(400)
                expectThat(stream.end).isEqualTo(StreamEnd.CANCELLED)
            },
            case("the load report is delayed by its lag") {
                val engine = engine(settings.copy(reportLagMillis = 30, answerTokens = 100))
                delay(100)
                submitted(engine, "a")
                expectThat(engine.report().running).isEqualTo(0)
                delay(30)
                expectThat(engine.report().running).isEqualTo(1)
                expectThat(engine.report().reportedAtMillis).isEqualTo(nowMillis() - 30)
            },
            case("cache events are delayed and have gaps") {
                val engine = engine(settings.copy(cacheEventLagMillis = 100, cacheEventLoss = 0.5, seed = 7))
                submitted(engine, "a", List(1_600) { "t$it" })
                expectThat(engine.cacheEvents(0).events).isEqualTo(emptyList())
                delay(100)
                val sequences = engine.cacheEvents(0).events.map { it.sequence }
                expectThat(sequences.size).isLessThan(100)
                expectThat(engine.cacheEvents(sequences[0]).events.map { it.sequence }).isEqualTo(sequences.drop(1))
            },
            case("a leaving engine executes new requests, and a graceful one rejects them as leaving") {
                val engine = engine(settings)
                val accepted = submitted(engine, "a")
                engine.setMode(EngineMode.LEAVING)
                expectThat(engine.submit(chat("b")).isRight()).isTrue()
                engine.setMode(EngineMode.GRACEFUL)
                expectThat(engine.submit(chat("c")).leftOrNull()?.state).isEqualTo(UpstreamState.LEAVING)
                delay(1_000)
                expectThat(accepted.end).isEqualTo(StreamEnd.FINISHED)
                expectThat(
                    engine.executions
                        .page()
                        .executions
                        .map { it.whileLeaving },
                ).containsExactly(false, true)
            },
            case("an order with an outdated fencing token is rejected only by an engine that checks it") {
                val orders = listOf(5L, 4L, 6L).map { EngineOrder(OrderKind.SET_ROLE, "role$it", it) }
                expectThat(orders.map(EngineOrderStore(fencingCheck = true)::apply)).containsExactly(true, false, true)
                expectThat(orders.map(EngineOrderStore(fencingCheck = false)::apply)).containsExactly(true, true, true)
            },
        )

    private fun case(name: String, body: suspend TestScope.() -> Unit): DynamicTest =
        DynamicTest.dynamicTest(name) { runTest(testBody = body) }

    private fun TestScope.nowMillis(): Long = testScheduler.currentTime

    private fun TestScope.engine(settings: EngineSettings) = Engine(settings, backgroundScope, { nowMillis() })

    private fun chat(
        id: String,
        prompt: List<String> = this@EngineTest.prompt,
        priority: Int = 5,
        deadlineMillis: Long = 60_000,
    ) = EngineChatRequest(id, "model", prompt, priority, deadlineMillis)

    private suspend fun submitted(
        engine: Engine,
        id: String,
        prompt: List<String> = this@EngineTest.prompt,
    ): EngineStream = checkNotNull(engine.submit(chat(id, prompt)).getOrNull()) { "request $id was rejected" }

    private suspend fun TestScope.responseMillis(
        engine: Engine,
        id: String,
        prompt: List<String> = this@EngineTest.prompt,
    ): Long {
        val startMillis = nowMillis()
        val stream = submitted(engine, id, prompt)
        expectThat(stream.end).isNull()
        stream.follow(0, { nowMillis() }) { _, _ -> }
        return nowMillis() - startMillis
    }
}
