/*
 * Grants leases for the customers that this router owns, or stands in for. There is no state besides what is kept here:
 * a router that becomes the owner starts with almost nothing, so that a change of owners cannot add a burst.
 *
 * How the sum stays within 5% over a minute: the owner issues the contract's rate, and holds at most the burst and half
 * a second more (0.8%). A stand-in issues 0.5% of the rate and holds at most 2 seconds of it (3.8% in all), so that both
 * together stay below 5% in a minute in which both are asked. An owner with a partial view issues only its
 * fraction of the zones.
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

/** Longest time for which a lease can be used, in milliseconds. */
public const val LEASE_MILLIS: Long = 1_000

/** A silence of the control loop after which the router was paused, in milliseconds. */
private const val PAUSE_MILLIS = 2_000L

/** A customer without a request for this time is forgotten, in milliseconds. */
private const val IDLE_MILLIS = 120_000L

/**
 * What the owner knows when it grants.
 *
 * @property standsIn the router asks although this router is not the first in the owner order
 * @property zoneFraction part of the zones that this router can see, from 0 to 1
 */
public data class OwnerView(val contract: Contract, val standsIn: Boolean = false, val zoneFraction: Double = 1.0)

/** Shares of the customers that this router owns. Used by the control thread only. */
public class CustomerOwner(startedAtMillis: Long) {
    private val accounts = HashMap<CustomerId, CustomerAccount>()
    private var startedAtMillis = startedAtMillis
    private var lastTickMillis = startedAtMillis
    private var lastLossMillis = startedAtMillis

    /** Answers [request] at [nowMillis]. */
    public fun grant(request: LeaseRequest, view: OwnerView, nowMillis: Long): LeaseReply {
        noticePause(nowMillis)
        val account =
            accounts.getOrPut(request.customer) {
                val level = if (view.standsIn) reserve(view, nowMillis - startedAtMillis) else saved(view, nowMillis)
                CustomerAccount(view, level, nowMillis)
            }
        return account.grant(request, view, nowMillis)
    }

    /** What an idle customer has saved since this router can have become its owner, the burst included. */
    private fun saved(view: OwnerView, nowMillis: Long): Double {
        val rate = view.contract.requestsPerSecond * view.zoneFraction
        val since = maxOf(startedAtMillis, lastLossMillis)
        return (rate * (nowMillis - since) / 1_000).coerceIn(1.0, capacity(view.contract))
    }

    /** Records what [router] showed in an exchange: its requests in flight by customer, without zero entries. */
    public fun observe(router: RouterId, inFlight: Map<CustomerId, Int>, nowMillis: Long) {
        for ((customer, account) in accounts) account.observe(router, inFlight[customer] ?: 0, nowMillis)
    }

    /** Forgets a router that is lost or leaving. Its customers may be this router's from now on, without a burst. */
    public fun forget(router: RouterId, nowMillis: Long = lastTickMillis) {
        lastLossMillis = nowMillis
        accounts.values.forEach { it.forget(router) }
    }

    /** Runs at least once a second: notices pauses of the process and drops idle customers. */
    public fun tick(nowMillis: Long) {
        noticePause(nowMillis)
        accounts.values.removeIf { nowMillis - it.lastRequestMillis > IDLE_MILLIS }
    }

    /** After a pause others have granted in this router's place, so it starts again as a new owner. */
    private fun noticePause(nowMillis: Long) {
        if (nowMillis - lastTickMillis > PAUSE_MILLIS) {
            accounts.clear()
            startedAtMillis = nowMillis
        }
        lastTickMillis = maxOf(lastTickMillis, nowMillis)
    }
}

/** The shares of one customer. */
private class CustomerAccount(view: OwnerView, level: Double, nowMillis: Long) {
    private val requests = StartBucket(level, nowMillis)
    private val tokens = StartBucket(view.contract.tokensPerSecond ?: 0.0, nowMillis)
    private val uses = HashMap<RouterId, RouterUse>()
    var lastRequestMillis = nowMillis
        private set
    private var lastShortMillis = Long.MIN_VALUE / 2

    fun grant(request: LeaseRequest, view: OwnerView, nowMillis: Long): LeaseReply {
        lastRequestMillis = nowMillis
        val contract = view.contract
        val rate = contract.requestsPerSecond * if (view.standsIn) STAND_IN_FRACTION else view.zoneFraction
        val capacity = if (view.standsIn) reserveLimit(view) else capacity(contract)
        requests.refill(rate, capacity, nowMillis)
        requests.level =
            minOf(capacity, requests.level + request.unused.coerceIn(0, contract.requestsPerSecond.toInt()))
        val use = uses.getOrPut(request.router) { RouterUse() }
        use.report(request.inFlight, nowMillis)
        chargeTokens(request, view, nowMillis)
        refusal(view, nowMillis)?.let { return LeaseReply(0, 0, retryMillis(it, rate, contract), it) }
        val granted = share(request, use, rate, contract, view, nowMillis)
        if (granted == 0) {
            if (request.wanted > 0) lastShortMillis = nowMillis
            // A stand-in without a reserve does not know whether the customer is over its rate.
            val unknown = view.standsIn
            val reason = if (unknown) LimitReason.UNAVAILABLE else LimitReason.RATE
            return LeaseReply(0, 0, if (unknown) LEASE_MILLIS else requests.millisUntilOne(rate), reason)
        }
        requests.level -= granted
        use.granted(granted, nowMillis)
        return LeaseReply(granted, LEASE_MILLIS, requests.millisUntilOne(rate))
    }

    fun observe(router: RouterId, inFlight: Int, nowMillis: Long) {
        uses[router]?.report(inFlight, nowMillis)
    }

    fun forget(router: RouterId) {
        uses.remove(router)
    }

    private fun chargeTokens(request: LeaseRequest, view: OwnerView, nowMillis: Long) {
        val rate = view.contract.tokensPerSecond ?: return
        tokens.refill(rate * view.zoneFraction, rate, nowMillis)
        tokens.level -= request.tokensUsed
    }

    private fun refusal(view: OwnerView, nowMillis: Long): LimitReason? =
        when {
            view.contract.tokensPerSecond != null && tokens.level <= 0 -> LimitReason.TOKENS
            free(view, nowMillis) < 1 -> LimitReason.CONCURRENCY
            else -> null
        }

    private fun retryMillis(reason: LimitReason, rate: Double, contract: Contract): Long =
        if (reason == LimitReason.TOKENS) {
            tokens.millisUntilOne(contract.tokensPerSecond ?: 1.0)
        } else {
            maxOf(requests.millisUntilOne(rate), CONCURRENCY_RETRY_MILLIS)
        }

    /** A router that already has its even share leaves a part of the bucket to routers with a small demand. */
    private fun share(
        request: LeaseRequest,
        use: RouterUse,
        rate: Double,
        contract: Contract,
        view: OwnerView,
        nowMillis: Long,
    ): Int {
        // A router that has not asked yet counts as well, else a single busy one would take what a quiet one needs.
        val active = 1 + uses.values.count { nowMillis - it.lastGrantMillis <= LEASE_MILLIS }
        val floorLevel = floor(minOf(active.toDouble(), contract.requestsPerSecond * FAIR_SECONDS))
        val contended = nowMillis - lastShortMillis <= LEASE_MILLIS
        val aboveShare = contended && use.recent(nowMillis) > rate / active
        val available = requests.level - if (aboveShare) floorLevel else 0.0
        // One call gets at most half of what is there, so that starts in advance are scarce when the bucket is.
        val most = maxOf(minOf(1, floor(available + ROUNDING).toInt()), floor(available / 2).toInt())
        return minOf(request.wanted, most, free(view, nowMillis)).coerceAtLeast(0)
    }

    /** A grant counts as running until its router reports, but no longer than a request can last within the contract. */
    private fun free(view: OwnerView, nowMillis: Long): Int {
        val contract = view.contract
        val longestMillis = (contract.concurrentRequests / contract.requestsPerSecond * 1_000).coerceAtMost(2_000.0)
        val running = uses.values.sumOf { it.running(nowMillis, longestMillis) }
        return ceil(contract.concurrentRequests * view.zoneFraction - ROUNDING).toInt() - running
    }
}

/** Issued by a stand-in, as a part of the rate. */
private const val STAND_IN_FRACTION = 0.005
private const val RESERVE_SECONDS = 2.0
private const val HELD_SECONDS = 0.5
private const val FAIR_SECONDS = 0.25
private const val CONCURRENCY_RETRY_MILLIS = 100L

/** Sums of fractions of one request fall short of whole numbers by rounding. */
private const val ROUNDING = 1e-6

private fun capacity(contract: Contract): Double = contract.burst + contract.requestsPerSecond * HELD_SECONDS

private fun reserveLimit(view: OwnerView): Double =
    maxOf(1.0, view.contract.requestsPerSecond * RESERVE_SECONDS * view.zoneFraction)

private fun reserve(view: OwnerView, ageMillis: Long): Double =
    (view.contract.requestsPerSecond * STAND_IN_FRACTION * ageMillis / 1_000).coerceIn(1.0, reserveLimit(view))

/** Permissions that may be issued now. */
private class StartBucket(var level: Double, private var refilledAtMillis: Long) {
    fun refill(rate: Double, capacity: Double, nowMillis: Long) {
        val added = rate * (nowMillis - refilledAtMillis).coerceAtLeast(0) / 1_000
        level = minOf(capacity, level + added)
        refilledAtMillis = maxOf(refilledAtMillis, nowMillis)
    }

    fun millisUntilOne(rate: Double): Long =
        if (rate <= 0) LEASE_MILLIS else ceil((1 - level).coerceAtLeast(0.0) / rate * 1_000).toLong().coerceAtLeast(1)
}

/** What one router does for the customer: requests it reported, and those granted since. */
private class RouterUse {
    private var reported = 0
    private var grantedSince = 0
    private var windowStartMillis = 0L
    private var window = 0
    private var previous = 0
    var lastGrantMillis = Long.MIN_VALUE / 2
        private set

    fun report(inFlight: Int, nowMillis: Long) {
        reported = inFlight
        if (nowMillis > lastGrantMillis) grantedSince = 0
    }

    fun granted(count: Int, nowMillis: Long) {
        rotate(nowMillis)
        window += count
        grantedSince += count
        lastGrantMillis = nowMillis
    }

    fun recent(nowMillis: Long): Int {
        rotate(nowMillis)
        return maxOf(window, previous)
    }

    fun running(nowMillis: Long, longestMillis: Double): Int =
        reported + if (nowMillis - lastGrantMillis <= longestMillis) grantedSince else 0

    private fun rotate(nowMillis: Long) {
        val elapsed = nowMillis - windowStartMillis
        if (elapsed < LEASE_MILLIS) return
        previous = if (elapsed < 2 * LEASE_MILLIS) window else 0
        window = 0
        windowStartMillis = nowMillis
    }
}
