/*
 * Metrics of one gateway. Pools are a label; client accounts and upstreams are not, as they would create too
 * many time series.
 */
package org.primrosesill.gateway

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.primrosesill.forwarding.ForwardingMetrics
import org.primrosesill.model.PoolId
import org.primrosesill.transport.ConnectionCounter
import java.time.Duration.ofMillis
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/** Safe to use from any thread. */
internal class GatewayMetrics :
    ForwardingMetrics,
    ConnectionCounter {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    /** Registers a gauge whose [value] is read at each scrape. */
    fun gauge(name: String, value: () -> Number) {
        Gauge.builder("primrosesill.$name", value).register(registry)
    }

    override fun finished(pool: PoolId?, result: String, duration: Duration) =
        Timer
            .builder("primrosesill.requests")
            .tag("pool", pool?.value ?: "none")
            .tag("result", result)
            .register(registry)
            .record(duration.toJavaDuration())

    override fun responseStarted(pool: PoolId, delay: Duration) =
        Timer
            .builder("primrosesill.first.answer")
            .tag("pool", pool.value)
            .serviceLevelObjectives(*responseDelayBuckets)
            .register(registry)
            .record(delay.toJavaDuration())

    override fun attempted(pool: PoolId, result: String) =
        registry.counter("primrosesill.attempts", "pool", pool.value, "result", result).increment()

    override fun admissionDecided(pool: PoolId, priority: Int, result: String) {
        val tags = arrayOf("pool", pool.value, "priority", priority.toString(), "result", result)
        registry.counter("primrosesill.admission", *tags).increment()
    }

    override fun loadReported(isReadable: Boolean) =
        registry.counter("primrosesill.load.reports", "result", if (isReadable) "read" else "malformed").increment()

    override fun connectionAttempted() = registry.counter("primrosesill.connections.opened").increment()

    /** Returns all metrics in the Prometheus text format. */
    fun scrape(): String = registry.scrape()

    private companion object {
        val responseDelayBuckets =
            listOf(10L, 25, 50, 100, 200, 400, 600, 800, 1_200, 2_400, 5_000).map(::ofMillis).toTypedArray()
    }
}
