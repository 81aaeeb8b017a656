/*
 * What the other routers told in exchanges: their newest parts. Messages arrive late, twice, out of order or never, so a
 * part counts only when its heartbeat is higher than that of the part before, and numbers that age are dropped.
 */
package org.primrosesill.exchange

import org.primrosesill.generated.LoadReport
import org.primrosesill.generated.RouterPart
import org.primrosesill.model.CustomerId
import org.primrosesill.model.RouterId
import org.primrosesill.model.UpstreamId

/**
 * The newest part of each router but [self]. Owned by the control thread.
 *
 * @param expiryMillis age after which a router's in-flight numbers no longer count
 */
public class PartTable(private val self: RouterId, private val expiryMillis: Long = 3_000) {
    private val parts = HashMap<RouterId, HeldPart>()
    private val reports = HashMap<UpstreamId, LoadReport>()

    /** Takes [part] and returns whether it is news. */
    public fun merge(part: RouterPart, nowMillis: Long): Boolean {
        val router = part.member.router
        val held = parts[router]
        if (router == self || (held != null && part.member.heartbeat <= held.part.member.heartbeat)) return false
        parts[router] = HeldPart(part, nowMillis)
        part.reports.orEmpty().forEach(::mergeReport)
        return true
    }

    /** Drops the parts of routers that are lost for good. */
    public fun remove(router: RouterId) {
        parts.remove(router)
    }

    /** Drops load reports of upstreams that no longer exist. */
    public fun retainUpstreams(upstreams: Set<UpstreamId>) {
        reports.keys.retainAll(upstreams)
    }

    /** Sum of the other routers' requests in flight by upstream. */
    public fun inFlight(nowMillis: Long): Map<UpstreamId, Int> =
        sum(nowMillis) { part -> part.inFlight.orEmpty().mapKeys { UpstreamId(it.key) } }

    /** Sum of the other routers' requests in flight by customer. */
    public fun customersInFlight(nowMillis: Long): Map<CustomerId, Int> =
        sum(nowMillis) { part -> part.customersInFlight.orEmpty().mapKeys { CustomerId(it.key) } }

    /** The newest load report of each upstream that any router polled. */
    public fun reports(): Map<UpstreamId, LoadReport> = reports.toMap()

    /** The newest part of each router that was heard. */
    public fun parts(): List<RouterPart> = parts.values.map { it.part }

    /** The part with the newest VM list, or null when nobody was heard. */
    public fun newestVmList(): RouterPart? = parts.values.map { it.part }.maxByOrNull { it.vmListRevision }

    private fun mergeReport(report: LoadReport) {
        val held = reports[report.upstream]
        if (held == null || report.reportedAtMillis > held.reportedAtMillis) reports[report.upstream] = report
    }

    private fun <K> sum(nowMillis: Long, numbers: (RouterPart) -> Map<K, Int>): Map<K, Int> {
        val sums = HashMap<K, Int>()
        parts.values
            .filter { nowMillis - it.takenAtMillis < expiryMillis }
            .forEach { held -> numbers(held.part).forEach { (key, count) -> sums.merge(key, count, Int::plus) } }
        return sums
    }
}

private class HeldPart(val part: RouterPart, val takenAtMillis: Long)
