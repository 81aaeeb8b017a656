/*
 * Metrics of request handling. Labels name the pool but not the customer: a fleet has tens of thousands of customers.
 */
package org.primrosesill.request

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import org.primrosesill.model.Failure
import org.primrosesill.model.PoolId
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.toJavaDuration

internal class RequestMetrics(private val registry: MeterRegistry, inFlight: () -> Number) {
    private val timers = ConcurrentHashMap<Pair<String, PoolId>, Timer>()

    init {
        // This overload keeps a strong reference to the supplier; with the others it could be garbage-collected.
        Gauge.builder("primrosesill.requests.in.flight", inFlight).register(registry)
    }

    /** Records a completed request. [pool] is null if the request was rejected before its pool was determined. */
    fun finished(pool: PoolId?, result: String, duration: Duration) {
        registry
            .timer("primrosesill.requests", "pool", pool?.value ?: "none", "result", result)
            .record(duration.toJavaDuration())
    }

    fun refused(failure: Failure) = count("primrosesill.refusals", "type", failure.type)

    fun retried(pool: PoolId) = count("primrosesill.retries", "pool", pool.value)

    fun resumed(pool: PoolId) = count("primrosesill.answers.resumed", "pool", pool.value)

    fun dropped(pool: PoolId) = count("primrosesill.answers.dropped", "pool", pool.value)

    fun replayed(pool: PoolId) = count("primrosesill.answers.replayed", "pool", pool.value)

    fun firstToken(pool: PoolId, duration: Duration) =
        timer("primrosesill.first.token", pool).record(duration.toJavaDuration())

    fun betweenTokens(pool: PoolId, duration: Duration) =
        timer("primrosesill.between.tokens", pool).record(duration.toJavaDuration())

    private fun count(name: String, label: String, value: String) = registry.counter(name, label, value).increment()

    private fun timer(name: String, pool: PoolId): Timer =
        timers.computeIfAbsent(name to pool) {
            Timer
                .builder(name)
                .tag("pool", pool.value)
                .publishPercentileHistogram()
                .register(registry)
        }
}
