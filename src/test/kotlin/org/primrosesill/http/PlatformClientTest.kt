/*
 * Tests the platform client. Guards against invalid, oversized, late and missing responses of the platform that stop a
 * router, exhaust its memory or make it poll in a tight loop.
 */
package org.primrosesill.http

import arrow.core.Either
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import java.net.ServerSocket
import kotlin.random.Random
import kotlin.reflect.KClass

class PlatformClientTest {
    private fun <T> withPlatform(respond: suspend (ApplicationCall) -> Unit, use: suspend (PlatformClient) -> T): T {
        val server =
            embeddedServer(CIO, port = 0, host = "127.0.0.1") { routing { get("/v1/configuration") { respond(call) } } }
        server.start()
        return try {
            runBlocking {
                val port =
                    server.engine
                        .resolvedConnectors()
                        .first()
                        .port
                PlatformClient(PlatformClientSettings("127.0.0.1:$port", responseTimeoutMillis = 500)).use { use(it) }
            }
        } finally {
            server.stop(0, 0)
        }
    }

    private fun errorType(result: Either<PlatformError, Any>): KClass<*>? = result.leftOrNull()?.let { it::class }

    @TestFactory
    fun `the client returns a page or a typed error when the platform`() =
        listOf<Triple<String, suspend (ApplicationCall) -> Unit, KClass<*>?>>(
            Triple("returns a page", { it.respondText("""{"revision":3,"entries":[]}""") }, null),
            Triple("returns text that is not JSON", { it.respondText("<html>") }, PlatformError.Malformed::class),
            Triple("returns another message", { it.respondText("""{"vms":[]}""") }, PlatformError.Malformed::class),
            Triple("returns more than the size limit", {
                it.respondText(" ".repeat(1_300_000))
            }, PlatformError.TooLarge::class),
            Triple("fails", {
                it.respondText("", status = HttpStatusCode.InternalServerError)
            }, PlatformError.UnexpectedStatus::class),
            Triple("responds too late", { delay(5_000) }, PlatformError.Unreachable::class),
        ).map { (name, respond, expected) ->
            dynamicTest(name) {
                expectThat(withPlatform(respond) { errorType(it.configuration(0)) }).isEqualTo(expected)
            }
        }

    @Test
    fun `an unreachable platform is a typed error and not an exception`() {
        val port = ServerSocket(0).use { it.localPort }
        val client = PlatformClient(PlatformClientSettings("127.0.0.1:$port"))
        expectThat(
            client.use { runBlocking { errorType(it.configuration(0)) } },
        ).isEqualTo(PlatformError.Unreachable::class)
    }

    @Test
    fun `a watch with an immediate response without changes is not repeated in a tight loop`() {
        var calls = 0
        withPlatform({
            calls++
            it.respondText("""{"revision":0,"entries":[]}""")
        }) { client ->
            withTimeoutOrNull(2_000) { client.watchConfiguration({ 0 }) { _, _ -> } }
        }
        // Delays of at least 100, 200, 400 and 800 ms allow five calls.
        expectThat(calls).isLessThanOrEqualTo(6)
    }

    @Test
    fun `backoff delays double, vary and do not exceed their bound`() {
        val backoff = Backoff(200, 5_000, Random(20_261_204))
        val delays = List(30) { backoff.nextDelayMillis() }
        expectThat(delays.first()).isLessThanOrEqualTo(200)
        expectThat(delays.max()).isLessThanOrEqualTo(5_000)
        expectThat(delays.takeLast(20).count { it >= 2_500 }).isEqualTo(20)
        expectThat(delays.takeLast(20).toSet().size > 10).isEqualTo(true)
    }
}
