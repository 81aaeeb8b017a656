/*
 * Selects upstreams by consistent hashing with bounded loads. Every router ranks the pool in the same order for all
 * requests of a chat, and the first upstream in the ranking with capacity receives the request, so that its prompt
 * cache is reused.
 */
package org.primrosesill.routing

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.primrosesill.event.EventLog
import org.primrosesill.event.EventSubject
import org.primrosesill.event.noOpEventLog
import org.primrosesill.generated.EventType
import org.primrosesill.model.Failure
import org.primrosesill.model.PoolId
import org.primrosesill.model.UpstreamId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/**
 * Returns a selector for the traffic of one router.
 *
 * @param snapshot returns the current routing snapshot; called for each decision
 * @param currentMillis wall clock in milliseconds since the Unix epoch
 * @param routerSeed differs between routers, so that they rank upstreams differently for requests without an affinity
 *   key
 * @param onColdReported called on a traffic thread for each [UpstreamSelector.recordCold] with the upstream and its
 *   cold concurrency limit, so that the control thread can share them with other routers
 */
public fun affinityUpstreamSelector(
    snapshot: () -> RoutingSnapshot,
    currentMillis: () -> Long,
    routerSeed: Long = 0,
    events: EventLog = noOpEventLog(),
    onColdReported: (UpstreamId, Int) -> Unit = { _, _ -> },
): UpstreamSelector = AffinityUpstreamSelector(snapshot, currentMillis, routerSeed, events, onColdReported)

private class AffinityUpstreamSelector(
    private val snapshot: () -> RoutingSnapshot,
    private val currentMillis: () -> Long,
    private val routerSeed: Long,
    private val events: EventLog,
    private val onColdReported: (UpstreamId, Int) -> Unit,
) : UpstreamSelector {
    private val counters = ConcurrentHashMap<String, UpstreamCounters>()
    private val sequence = AtomicLong()

    @Volatile
    private var compiledSnapshot = CompiledSnapshot(RoutingSnapshot(), emptyMap())

    override fun choose(request: RoutingRequest): Either<Failure, UpstreamChoice> {
        val candidates =
            current().pools[request.pool] ?: return Failure.NoUpstream(request.pool, "the pool is unknown").left()
        val nowMillis = currentMillis()
        val key = request.affinityKey?.let(::hashOf) ?: scoreOf(routerSeed, sequence.incrementAndGet())
        // Each candidate is returned only once, so the loop ends even if other requests acquire all half-open probes.
        val decision = RoutingDecision(candidates, key, request.excluded, nowMillis)
        while (true) {
            val index = decision.next()
            if (index < 0) return Failure.NoUpstream(request.pool, candidates.refusal(request, nowMillis)).left()
            val chosen = candidates.counters[index]
            if (!chosen.tryAcquire(nowMillis)) continue
            chosen.inFlight.incrementAndGet()
            return UpstreamChoice(candidates.views[index], candidates.isCold(index, nowMillis)).right()
        }
    }

    override fun loadLimit(pool: PoolId, upstream: UpstreamId, knownTotal: Int): Int? =
        current().pools[pool]?.loadLimit(upstream, knownTotal, currentMillis())

    override fun poolTotal(pool: PoolId): Int = current().pools[pool]?.total(currentMillis()) ?: 0

    override fun finish(upstream: UpstreamId) {
        counters[upstream.value]?.finish()
    }

    override fun recordConnection(upstream: UpstreamId, succeeded: Boolean) {
        val counter = counters[upstream.value] ?: return
        val subject = EventSubject(upstream = upstream)
        when (counter.recordConnection(succeeded, currentMillis())) {
            CircuitChange.OPENED ->
                events.record(EventType.UPSTREAM_FAILING, "$FAILURES_TO_OPEN connections failed in a row", subject)
            CircuitChange.CLOSED -> events.record(EventType.UPSTREAM_RECOVERED, "a connection succeeded", subject)
            CircuitChange.NONE -> Unit
        }
    }

    override fun recordCold(upstream: UpstreamId, coldConcurrencyLimit: Int) {
        counters[upstream.value]?.recordCold(coldConcurrencyLimit, currentMillis())
        onColdReported(upstream, coldConcurrencyLimit)
    }

    override fun inFlight(): Map<UpstreamId, Int> =
        counters.values
            .mapNotNull { counter ->
                counter.inFlight
                    .get()
                    .takeIf { it > 0 }
                    ?.let { counter.id to it }
            }.toMap()

    private fun current(): CompiledSnapshot {
        val latest = snapshot()
        val cached = compiledSnapshot
        if (cached.source === latest) return cached
        val pools = latest.pools.mapValues { (_, pool) -> CandidateSet(pool, ::countersOf) }
        return CompiledSnapshot(latest, pools).also { compiledSnapshot = it }
    }

    private fun countersOf(view: UpstreamView): UpstreamCounters =
        counters.computeIfAbsent(view.id.value) { UpstreamCounters(view.id) }

    private class CompiledSnapshot(val source: RoutingSnapshot, val pools: Map<PoolId, CandidateSet>)
}
