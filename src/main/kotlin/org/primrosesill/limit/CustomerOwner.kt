/*
 * Grants leases for the customers of which this router is the owner or the backup owner. The state is in the memory of
 * this router only: a router that becomes the owner starts with an almost empty bucket, so that a change of owner
 * cannot add a burst.
 *
 * Why the fleet exceeds a contract by less than 5% over a minute: the owner issues permits at the rate of the contract
 * and accumulates at most the burst plus half a second of the rate (0.8%). A backup owner issues permits at 0.5% of the
 * rate and accumulates at most 2 seconds of the rate (3.8% in all), so that both together stay below 5% in a minute in
 * which both receive lease requests. An owner in whose view only a fraction of the zones has live routers issues
 * permits at the same fraction of the rate.
 */
package org.primrosesill.limit

import org.primrosesill.generated.Contract
import org.primrosesill.generated.LeaseReply
import org.primrosesill.generated.LeaseRequest
import org.primrosesill.generated.LimitReason
import org.primrosesill.model.CustomerId
import org.primrosesill.model.RouterId
import kotlin.math.ceil
import kotlin.math.floor

/** Longest validity of a lease, in milliseconds. */
public const val LEASE_MILLIS: Long = 1_000

/** Gap between ticks of the control loop above which the process counts as paused, in milliseconds. */
private const val PAUSE_THRESHOLD_MILLIS = 2_000L

/** Time without a lease request after which the state of a customer is dropped, in milliseconds. */
private const val CUSTOMER_IDLE_MILLIS = 120_000L

/**
 * The contract and the role of this router for one grant.
 *
 * @property isBackup whether this router grants as the backup owner, because it is not the first in the owner order
 * @property zoneFraction fraction of the availability zones with a live router in the view of this router, from 0 to 1
 */
public data class GrantContext(val contract: Contract, val isBackup: Boolean = false, val zoneFraction: Double = 1.0)

/** Grants leases for the customers that this router owns. Confined to the control thread. */
public class CustomerOwner(startedAtMillis: Long) {
    private val quotas = HashMap<CustomerId, CustomerQuota>()
    private var startedAtMillis = startedAtMillis
    private var lastTickMillis = startedAtMillis
    private var lastMemberLossMillis = startedAtMillis

    /** Counts the usage that [request] reports, and returns a lease or a refusal. */
    public fun grant(request: LeaseRequest, context: GrantContext, nowMillis: Long): LeaseReply {
        detectPause(nowMillis)
        val quota =
            quotas.getOrPut(request.customer) {
                val level =
                    if (context.isBackup) {
                        initialBackupLevel(
                            context,
                            nowMillis - startedAtMillis,
                        )
                    } else {
                        initialLevel(context, nowMillis)
                    }
                CustomerQuota(context, level, nowMillis)
            }
        return quota.grant(request, context, nowMillis)
    }

    /**
     * Returns the permits that an idle customer accumulated since this router may have become its owner, burst
     * included.
     */
    private fun initialLevel(context: GrantContext, nowMillis: Long): Double {
        val rate = context.contract.requestsPerSecond * context.zoneFraction
        val ownerSinceMillis = maxOf(startedAtMillis, lastMemberLossMillis)
        return (rate * (nowMillis - ownerSinceMillis) / 1_000).coerceIn(1.0, ownerCapacity(context.contract))
    }

    /** Records the requests in flight by customer that [router] sent in an exchange; zero entries are omitted. */
    public fun observe(router: RouterId, inFlight: Map<CustomerId, Int>, nowMillis: Long) {
        for ((customer, quota) in quotas) quota.observe(router, inFlight[customer] ?: 0, nowMillis)
    }

    /**
     * Removes a router that is lost or leaving. This router may become the owner of its customers, whose buckets then
     * start without a burst.
     */
    public fun removeRouter(router: RouterId, nowMillis: Long = lastTickMillis) {
        lastMemberLossMillis = nowMillis
        quotas.values.forEach { it.removeRouter(router) }
    }

    /** Detects pauses of the process and drops idle customers. Called at least once a second. */
    public fun tick(nowMillis: Long) {
        detectPause(nowMillis)
        quotas.values.removeIf { nowMillis - it.lastRequestMillis > CUSTOMER_IDLE_MILLIS }
    }

    /** Restarts as a new owner after a pause, because other routers granted leases in the meantime. */
    private fun detectPause(nowMillis: Long) {
        if (nowMillis - lastTickMillis > PAUSE_THRESHOLD_MILLIS) {
            quotas.clear()
            startedAtMillis = nowMillis
        }
        lastTickMillis = maxOf(lastTickMillis, nowMillis)
    }
}

/** Rate, token and concurrency limits of one customer at its owner. */
private class CustomerQuota(context: GrantContext, level: Double, nowMillis: Long) {
    private val requests = TokenBucket(level, nowMillis)
    private val tokens = TokenBucket(context.contract.tokensPerSecond ?: 0.0, nowMillis)
    private val usageByRouter = HashMap<RouterId, RouterUsage>()
    var lastRequestMillis = nowMillis
        private set
    private var lastShortageMillis = Long.MIN_VALUE / 2

    fun grant(request: LeaseRequest, context: GrantContext, nowMillis: Long): LeaseReply {
        lastRequestMillis = nowMillis
        val contract = context.contract
        val rate = contract.requestsPerSecond * if (context.isBackup) BACKUP_RATE_FRACTION else context.zoneFraction
        val capacity = if (context.isBackup) backupCapacity(context) else ownerCapacity(contract)
        requests.refill(rate, capacity, nowMillis)
        requests.level =
            minOf(capacity, requests.level + request.unused.coerceIn(0, contract.requestsPerSecond.toInt()))
        val usage = usageByRouter.getOrPut(request.router) { RouterUsage() }
        usage.report(request.inFlight, nowMillis)
        chargeTokens(request, context, nowMillis)
        exceededLimit(context, nowMillis)?.let { return LeaseReply(0, 0, retryMillis(it, rate, contract), it) }
        val granted = permitsToGrant(request, usage, rate, contract, context, nowMillis)
        if (granted == 0) {
            if (request.wanted > 0) lastShortageMillis = nowMillis
            // A backup owner with an empty bucket cannot determine whether the customer exceeds its rate.
            val isRateUnknown = context.isBackup
            val reason = if (isRateUnknown) LimitReason.UNAVAILABLE else LimitReason.RATE
            return LeaseReply(0, 0, if (isRateUnknown) LEASE_MILLIS else requests.millisUntilOne(rate), reason)
        }
        requests.level -= granted
        usage.recordGrant(granted, nowMillis)
        return LeaseReply(granted, LEASE_MILLIS, requests.millisUntilOne(rate))
    }

    fun observe(router: RouterId, inFlight: Int, nowMillis: Long) {
        usageByRouter[router]?.report(inFlight, nowMillis)
    }

    fun removeRouter(router: RouterId) {
        usageByRouter.remove(router)
    }

    private fun chargeTokens(request: LeaseRequest, context: GrantContext, nowMillis: Long) {
        val rate = context.contract.tokensPerSecond ?: return
        tokens.refill(rate * context.zoneFraction, rate, nowMillis)
        tokens.level -= request.tokensUsed
    }

    private fun exceededLimit(context: GrantContext, nowMillis: Long): LimitReason? =
        when {
            context.contract.tokensPerSecond != null && tokens.level <= 0 -> LimitReason.TOKENS
            freeConcurrency(context, nowMillis) < 1 -> LimitReason.CONCURRENCY
            else -> null
        }

    private fun retryMillis(reason: LimitReason, rate: Double, contract: Contract): Long =
        if (reason == LimitReason.TOKENS) {
            tokens.millisUntilOne(contract.tokensPerSecond ?: 1.0)
        } else {
            maxOf(requests.millisUntilOne(rate), CONCURRENCY_RETRY_MILLIS)
        }

    /**
     * Returns the permits for [request]. Under contention, a router above its even share leaves a part of the bucket to
     * routers with a small demand.
     */
    private fun permitsToGrant(
        request: LeaseRequest,
        usage: RouterUsage,
        rate: Double,
        contract: Contract,
        context: GrantContext,
        nowMillis: Long,
    ): Int {
        // Includes one router without a request so far, so that a single busy router leaves permits for another one.
        val active = 1 + usageByRouter.values.count { nowMillis - it.lastGrantMillis <= LEASE_MILLIS }
        val reservedForOthers = floor(minOf(active.toDouble(), contract.requestsPerSecond * FAIRNESS_RESERVE_SECONDS))
        val contended = nowMillis - lastShortageMillis <= LEASE_MILLIS
        val exceedsShare = contended && usage.recentlyGranted(nowMillis) > rate / active
        val available = requests.level - if (exceedsShare) reservedForOthers else 0.0
        // One call gets at most half of the bucket, so that prefetching shrinks as the bucket empties.
        val maximumGrant = maxOf(minOf(1, floor(available + ROUNDING_TOLERANCE).toInt()), floor(available / 2).toInt())
        return minOf(request.wanted, maximumGrant, freeConcurrency(context, nowMillis)).coerceAtLeast(0)
    }

    /**
     * Returns how many more requests may be in flight. A granted permit counts as a request in flight until its router
     * reports, but no longer than a request can last within the contract, and for 2 seconds at most.
     */
    private fun freeConcurrency(context: GrantContext, nowMillis: Long): Int {
        val contract = context.contract
        val maximumMillis = (contract.concurrentRequests / contract.requestsPerSecond * 1_000).coerceAtMost(2_000.0)
        val inFlight = usageByRouter.values.sumOf { it.estimateInFlight(nowMillis, maximumMillis) }
        return ceil(contract.concurrentRequests * context.zoneFraction - ROUNDING_TOLERANCE).toInt() - inFlight
    }
}

/** Rate at which a backup owner issues permits, as a fraction of the rate of the contract. */
private const val BACKUP_RATE_FRACTION = 0.005
private const val BACKUP_CAPACITY_SECONDS = 2.0
private const val OWNER_SURPLUS_SECONDS = 0.5
private const val FAIRNESS_RESERVE_SECONDS = 0.25
private const val CONCURRENCY_RETRY_MILLIS = 100L

/** Tolerance for rounding errors, as sums of fractions of a permit can fall just short of a whole number. */
private const val ROUNDING_TOLERANCE = 1e-6

private fun ownerCapacity(contract: Contract): Double =
    contract.burst + contract.requestsPerSecond * OWNER_SURPLUS_SECONDS

private fun backupCapacity(context: GrantContext): Double =
    maxOf(1.0, context.contract.requestsPerSecond * BACKUP_CAPACITY_SECONDS * context.zoneFraction)

private fun initialBackupLevel(context: GrantContext, ageMillis: Long): Double =
    (context.contract.requestsPerSecond * BACKUP_RATE_FRACTION * ageMillis / 1_000).coerceIn(
        1.0,
        backupCapacity(context),
    )

/** A token bucket of permits or of generated tokens. */
private class TokenBucket(var level: Double, private var refilledAtMillis: Long) {
    fun refill(rate: Double, capacity: Double, nowMillis: Long) {
        val added = rate * (nowMillis - refilledAtMillis).coerceAtLeast(0) / 1_000
        level = minOf(capacity, level + added)
        refilledAtMillis = maxOf(refilledAtMillis, nowMillis)
    }

    fun millisUntilOne(rate: Double): Long =
        if (rate <= 0) LEASE_MILLIS else ceil((1 - level).coerceAtLeast(0.0) / rate * 1_000).toLong().coerceAtLeast(1)
}

/** Usage of one customer at one router: the requests in flight that it reported, and the permits granted since. */
private class RouterUsage {
    private var reported = 0
    private var grantedSinceReport = 0
    private var windowStartMillis = 0L
    private var currentWindow = 0
    private var previousWindow = 0
    var lastGrantMillis = Long.MIN_VALUE / 2
        private set

    fun report(inFlight: Int, nowMillis: Long) {
        reported = inFlight
        if (nowMillis > lastGrantMillis) grantedSinceReport = 0
    }

    fun recordGrant(count: Int, nowMillis: Long) {
        rotateWindow(nowMillis)
        currentWindow += count
        grantedSinceReport += count
        lastGrantMillis = nowMillis
    }

    fun recentlyGranted(nowMillis: Long): Int {
        rotateWindow(nowMillis)
        return maxOf(currentWindow, previousWindow)
    }

    fun estimateInFlight(nowMillis: Long, maximumMillis: Double): Int =
        reported + if (nowMillis - lastGrantMillis <= maximumMillis) grantedSinceReport else 0

    private fun rotateWindow(nowMillis: Long) {
        val elapsed = nowMillis - windowStartMillis
        if (elapsed < LEASE_MILLIS) return
        previousWindow = if (elapsed < 2 * LEASE_MILLIS) currentWindow else 0
        currentWindow = 0
        windowStartMillis = nowMillis
    }
}
