/*
 * Stores the newest parts received from other routers. Messages arrive late, twice, out of order or never, so a part is
 * accepted only when its heartbeat is higher than that of the previous part, and counts that are too old are ignored.
 */
package org.primrosesill.exchange

import org.primrosesill.generated.LoadReport
import org.primrosesill.generated.RouterPart
import org.primrosesill.model.CustomerId
import org.primrosesill.model.RouterId
import org.primrosesill.model.UpstreamId

/**
 * The newest part of each router except [self]. Owned by the control thread.
 *
 * @param expiryMillis age after which the in-flight counts of a router are ignored
 */
public class PartTable(private val self: RouterId, private val expiryMillis: Long = 3_000) {
    private val parts = HashMap<RouterId, ReceivedPart>()
    private val reports = HashMap<UpstreamId, LoadReport>()

    /** Stores [part] if it is newer than the stored one of its router, and returns whether it is. */
    public fun merge(part: RouterPart, nowMillis: Long): Boolean {
        val router = part.member.router
        val current = parts[router]
        if (router == self || (current != null && part.member.heartbeat <= current.part.member.heartbeat)) return false
        parts[router] = ReceivedPart(part, nowMillis)
        part.reports.orEmpty().forEach(::mergeReport)
        return true
    }

    /** Removes the part of a router that is lost permanently. */
    public fun remove(router: RouterId) {
        parts.remove(router)
    }

    /** Removes the load reports of upstreams that no longer exist; [upstreams] are the existing ones. */
    public fun retainUpstreams(upstreams: Set<UpstreamId>) {
        reports.keys.retainAll(upstreams)
    }

    /** Returns the sum of the other routers' requests in flight, by upstream. */
    public fun inFlight(nowMillis: Long): Map<UpstreamId, Int> =
        sumUnexpired(nowMillis) { part -> part.inFlight.orEmpty().mapKeys { UpstreamId(it.key) } }

    /** Returns the sum of the other routers' requests in flight, by customer. */
    public fun customersInFlight(nowMillis: Long): Map<CustomerId, Int> =
        sumUnexpired(nowMillis) { part -> part.customersInFlight.orEmpty().mapKeys { CustomerId(it.key) } }

    /** Returns the newest load report of each upstream that any router polled. */
    public fun reports(): Map<UpstreamId, LoadReport> = reports.toMap()

    /** Returns the newest part received from each router. */
    public fun parts(): List<RouterPart> = parts.values.map { it.part }

    /** Returns the part with the highest VM list revision, or null before any part is received. */
    public fun newestVmList(): RouterPart? = parts.values.map { it.part }.maxByOrNull { it.vmListRevision }

    private fun mergeReport(report: LoadReport) {
        val current = reports[report.upstream]
        if (current == null || report.reportedAtMillis > current.reportedAtMillis) reports[report.upstream] = report
    }

    private fun <K> sumUnexpired(nowMillis: Long, countsOf: (RouterPart) -> Map<K, Int>): Map<K, Int> {
        val sums = HashMap<K, Int>()
        parts.values
            .filter { nowMillis - it.receivedAtMillis < expiryMillis }
            .forEach { received ->
                countsOf(received.part).forEach { (key, count) -> sums.merge(key, count, Int::plus) }
            }
        return sums
    }
}

private class ReceivedPart(val part: RouterPart, val receivedAtMillis: Long)
