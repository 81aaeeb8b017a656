/*
 * Measures the latency that the caller listener and request handling add to a direct call of an upstream. Run it with
 * `mvn -B test -Dexcluded.groups=none -Dtest=AddedLatencyBenchmark -DenableAssertions=false`.
 */
package org.primrosesill.http

import com.sun.management.OperatingSystemMXBean
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.utils.io.readRemaining
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.runBlocking
import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import org.primrosesill.concurrent.throwingReporter
import org.primrosesill.request.CHAT_BODY
import org.primrosesill.request.RequestFixture
import org.primrosesill.request.TOKEN
import org.primrosesill.transport.TrafficLoop
import org.primrosesill.transport.nettyUpstreamClient
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.lang.management.ManagementFactory
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.locks.LockSupport
import kotlin.time.Duration.Companion.seconds

private const val REQUESTS_PER_SECOND = 300
private const val WARM_UP_SECONDS = 15
private const val MEASURED_SECONDS = 15

/** Sends at a fixed rate and measures from the scheduled time of each request, to avoid coordinated omission. */
private class LoadGenerator(private val client: HttpClient, private val address: String) {
    val latencies: Histogram = ConcurrentHistogram(3)
    val failed = AtomicInteger()

    /** CPU time of this process per request, including the engine and the callers. */
    var cpuMillisPerRequest = 0.0

    fun run(seconds: Int) {
        val system = ManagementFactory.getOperatingSystemMXBean() as OperatingSystemMXBean
        val before = system.processCpuTime
        val interval = 1_000_000_000L / REQUESTS_PER_SECOND
        val start = System.nanoTime()
        val pending =
            List(seconds * REQUESTS_PER_SECOND) { number ->
                val scheduledNanos = start + number * interval
                LockSupport.parkNanos(scheduledNanos - System.nanoTime())
                send(number, scheduledNanos)
            }
        CompletableFuture.allOf(*pending.toTypedArray()).join()
        cpuMillisPerRequest = (system.processCpuTime - before) / 1e6 / pending.size
    }

    private fun send(number: Int, scheduledNanos: Long): CompletableFuture<Unit> {
        val request =
            HttpRequest
                .newBuilder(URI("http://$address/v1/chat/completions"))
                .header("Authorization", "Bearer $TOKEN")
                .header("X-Request-Id", "r$number")
                .POST(HttpRequest.BodyPublishers.ofString(CHAT_BODY))
                .build()
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString()).handle { response, _ ->
            if (response?.body()?.endsWith("[DONE]\n\n") != true) failed.incrementAndGet()
            latencies.recordValue((System.nanoTime() - scheduledNanos) / 1_000)
        }
    }
}

@Tag("benchmark")
class AddedLatencyBenchmark {
    // Guards against request handling that adds noticeably to the time to first token.
    @Test
    fun `a router adds less than the target`(): Unit =
        runBlocking {
            val engine =
                embeddedServer(CIO, port = 0, host = "127.0.0.1") {
                    intercept(ApplicationCallPipeline.Call) {
                        context.receiveChannel().readRemaining()
                        context.response.header("X-Request-Id", context.request.headers["X-Request-Id"].orEmpty())
                        context.respondBytesWriter { writeStringUtf8("id: 1\ndata: {}\n\ndata: [DONE]\n\n") }
                    }
                }.startSuspend(wait = false)
            val upstream = "127.0.0.1:${engine.engine.resolvedConnectors().first().port}"
            val fixture = RequestFixture(nettyUpstreamClient(TrafficLoop(throwingReporter)), listOf(upstream))
            val listener = callerListener("127.0.0.1", 0, fixture.flow)
            val router = "127.0.0.1:${listener.start()}"
            val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()
            listOf(upstream, router).forEach { LoadGenerator(client, it).run(WARM_UP_SECONDS) }
            val direct = LoadGenerator(client, upstream).apply { run(MEASURED_SECONDS) }
            val routed = LoadGenerator(client, router).apply { run(MEASURED_SECONDS) }
            listener.stop(1.seconds)
            engine.stopSuspend(0, 0)

            val percentiles = listOf(50.0, 90.0, 99.0, 99.9)
            println("percentile  direct ms  routed ms  added ms")
            val added =
                percentiles.map { percentile ->
                    val both = listOf(direct, routed).map { it.latencies.getValueAtPercentile(percentile) / 1_000.0 }
                    println("%10.1f %10.2f %10.2f %9.2f".format(percentile, both[0], both[1], both[1] - both[0]))
                    both[1] - both[0]
                }
            println("CPU ms per request: %.2f, %.2f".format(direct.cpuMillisPerRequest, routed.cpuMillisPerRequest))
            println("requests ${routed.latencies.totalCount}, failed ${direct.failed} and ${routed.failed}")
            expectThat(direct.failed.get() + routed.failed.get()).isEqualTo(0)
            expectThat(added[0]).isLessThan(1.0)
            expectThat(added[2]).isLessThan(3.0)
        }
}
