/*
 * One upstream in the upstream table: its VM, its latest load report, and the state derived from both and the time.
 */
package org.primrosesill.routing

import org.primrosesill.generated.LoadReport
import org.primrosesill.generated.PoolSettings
import org.primrosesill.generated.UpstreamState
import org.primrosesill.generated.VmEntry
import org.primrosesill.generated.VmKind
import org.primrosesill.model.UpstreamId

/** An upstream without a load report for longer than this is treated as cold, because nothing shows that it is warm. */
internal const val REPORT_EXPIRY_MILLIS: Long = 3_000

/** An upstream that is missing from the VM list is lost after this time without a load report. */
internal const val UNLISTED_SILENCE_MILLIS: Long = 10_000

/** Maximum time for which load reports alone keep an upstream that is missing from the VM list. */
internal const val UNLISTED_EXPIRY_MILLIS: Long = 600_000

/**
 * Slow start: time over which an upstream that has become warm reaches its full share. Its prompt cache is empty, so
 * each request costs more work than at other upstreams.
 */
internal const val SLOW_START_MILLIS: Long = 10_000

internal class UpstreamEntry(val id: UpstreamId, var vm: VmEntry, var leaving: Boolean) {
    var unlistedSinceMillis: Long? = null
    var report: LoadReport? = null
        private set
    var warm: Boolean = false
        private set
    private var receivedAtMillis: Long? = null
    private var warmSinceMillis: Long = 0

    /** Stores [newReport] and returns true if it is newer than the current report by the clock of the upstream. */
    fun accept(newReport: LoadReport, nowMillis: Long): Boolean {
        val current = report
        if (current != null && newReport.reportedAtMillis <= current.reportedAtMillis) return false
        report = newReport
        receivedAtMillis = nowMillis
        return true
    }

    fun isLost(nowMillis: Long): Boolean {
        val unlisted = unlistedSinceMillis ?: return false
        if (nowMillis - unlisted > UNLISTED_EXPIRY_MILLIS) return true
        return nowMillis - maxOf(unlisted, receivedAtMillis ?: unlisted) > UNLISTED_SILENCE_MILLIS
    }

    fun lossCause(nowMillis: Long): String {
        val seconds = (nowMillis - (unlistedSinceMillis ?: nowMillis)) / 1_000
        return "missing from the VM list for $seconds s, last report ${receivedAtMillis ?: "never"}"
    }

    /** Recomputes the state and returns the cause of a change, or null if there is none. A new engine starts cold. */
    fun updateState(nowMillis: Long): String? {
        val age = receivedAtMillis?.let { nowMillis - it }
        val fresh = age != null && age <= REPORT_EXPIRY_MILLIS
        // Plain services publish no load reports, so a missing report does not make one cold.
        val usable = fresh || vm.kind == VmKind.SERVICE
        val isWarmNow = usable && !(fresh && report?.state == UpstreamState.COLD)
        if (isWarmNow == warm) return null
        warm = isWarmNow
        if (isWarmNow) warmSinceMillis = nowMillis
        return when {
            isWarmNow -> if (fresh) "reported warm" else "plain service without a cold report"
            !fresh -> "no report for $age ms"
            else -> "reported cold, with a concurrency limit of ${report?.bears}"
        }
    }

    fun view(nowMillis: Long, settings: PoolSettings, othersInFlight: Int, ineligibleReason: String?): UpstreamView =
        UpstreamView(
            id = id,
            availabilityZone = vm.availabilityZone,
            address = vm.address,
            pools = vm.pools,
            state =
                when {
                    leaving -> UpstreamState.LEAVING
                    warm -> UpstreamState.WARM
                    else -> UpstreamState.COLD
                },
            coldConcurrencyLimit = report?.bears ?: settings.coldSlots,
            reportedLoad = report?.let { it.running + it.queued } ?: 0,
            othersInFlight = othersInFlight,
            ineligibleReason = ineligibleReason,
            slowStartFactor = if (warm) slowStartFactor(nowMillis) else 1.0,
        )

    private fun slowStartFactor(nowMillis: Long): Double =
        ((nowMillis - warmSinceMillis).toDouble() / SLOW_START_MILLIS).coerceIn(0.0, 1.0)
}
