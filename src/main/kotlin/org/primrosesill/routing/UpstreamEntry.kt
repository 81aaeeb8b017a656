/*
 * One upstream in the upstream table: its VM, its last load report, and the state that follows from them and the time.
 */
package org.primrosesill.routing

import org.primrosesill.generated.LoadReport
import org.primrosesill.generated.PoolSettings
import org.primrosesill.generated.UpstreamState
import org.primrosesill.generated.VmEntry
import org.primrosesill.generated.VmKind
import org.primrosesill.model.UpstreamId

/** An upstream without a report for this long is taken as cold, because nothing shows that it is not. */
internal const val REPORT_EXPIRY_MILLIS: Long = 3_000

/** An upstream that the VM list dropped is lost once it was silent for this long. */
internal const val SILENCE_MILLIS: Long = 10_000

/** The longest time that an upstream is kept on its reports alone. */
internal const val UNLISTED_MILLIS: Long = 600_000

/**
 * Time over which an upstream that has become warm gets its full share. Its prompt cache is empty, so each request costs
 * more work than at its neighbours.
 */
internal const val WARM_RAMP_MILLIS: Long = 10_000

internal class UpstreamEntry(val id: UpstreamId, var vm: VmEntry, var leaving: Boolean) {
    var unlistedSinceMillis: Long? = null
    var report: LoadReport? = null
        private set
    var warm: Boolean = false
        private set
    private var receivedAtMillis: Long? = null
    private var warmSinceMillis: Long = 0

    /** Takes over [candidate] if it is newer than the report held, by the clock of the upstream. */
    fun accept(candidate: LoadReport, nowMillis: Long): Boolean {
        val current = report
        if (current != null && candidate.reportedAtMillis <= current.reportedAtMillis) return false
        report = candidate
        receivedAtMillis = nowMillis
        return true
    }

    fun isLost(nowMillis: Long): Boolean {
        val unlisted = unlistedSinceMillis ?: return false
        if (nowMillis - unlisted > UNLISTED_MILLIS) return true
        return nowMillis - maxOf(unlisted, receivedAtMillis ?: unlisted) > SILENCE_MILLIS
    }

    fun lostBecause(nowMillis: Long): String {
        val seconds = (nowMillis - (unlistedSinceMillis ?: nowMillis)) / 1_000
        return "missing from the VM list for $seconds s, last report ${receivedAtMillis ?: "never"}"
    }

    /** Recomputes the state, and returns the cause when it changed. A new engine starts cold. */
    fun update(nowMillis: Long): String? {
        val age = receivedAtMillis?.let { nowMillis - it }
        val fresh = age != null && age <= REPORT_EXPIRY_MILLIS
        // Plain services publish no load, so silence does not make one cold.
        val usable = fresh || vm.kind == VmKind.SERVICE
        val nowWarm = usable && !(fresh && report?.state == UpstreamState.COLD)
        if (nowWarm == warm) return null
        warm = nowWarm
        if (nowWarm) warmSinceMillis = nowMillis
        return when {
            nowWarm -> if (fresh) "reports that it is warm" else "a service without a report that it is cold"
            !fresh -> "no report for $age ms"
            else -> "reports that it is cold and bears ${report?.bears}"
        }
    }

    fun view(nowMillis: Long, settings: PoolSettings, othersInFlight: Int, blockedBecause: String?): UpstreamView =
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
            bears = report?.bears ?: settings.coldSlots,
            reportedLoad = report?.let { it.running + it.queued } ?: 0,
            othersInFlight = othersInFlight,
            blockedBecause = blockedBecause,
            rampShare = if (warm) rampShare(nowMillis) else 1.0,
        )

    private fun rampShare(nowMillis: Long): Double =
        ((nowMillis - warmSinceMillis).toDouble() / WARM_RAMP_MILLIS).coerceIn(0.0, 1.0)
}
