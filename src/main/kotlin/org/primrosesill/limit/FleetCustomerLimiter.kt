/*
 * Enforces the limits of contracts at one router with leases from the owners of the customers. Concurrent requests of
 * the same customer share one lease call. A router with many requests of a customer prefetches some permits in
 * proportion to its recent use; a router with few requests fetches exactly as many as it needs, so that none is wasted.
 */
package org.primrosesill.limit

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import org.primrosesill.generated.Contract
import org.primrosesill.generated.LeaseReply
import org.primrosesill.generated.LeaseRequest
import org.primrosesill.generated.LimitReason
import org.primrosesill.model.CustomerId
import org.primrosesill.model.Failure
import org.primrosesill.model.RouterId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds

/** Timeout of a call to the owner, in milliseconds. The backup owner has the rest of [LEASE_TIMEOUT_MILLIS]. */
private const val OWNER_CALL_TIMEOUT_MILLIS = 150L

/** Timeout of the calls to the owner and its backup together, in milliseconds. */
public const val LEASE_TIMEOUT_MILLIS: Long = 250

/** Time after a timeout during which the owner is skipped and the backup owner is called, in milliseconds. */
private const val OWNER_RETRY_DELAY_MILLIS = 500L

/** Permits to prefetch, as a fraction of the requests started in one second. */
private const val PREFETCH_FRACTION = 0.2

/** Obtains leases from the owners of customers through [client]. [currentMillis] is a monotonic clock. */
public class FleetCustomerLimiter(
    private val selfRouter: RouterId,
    private val client: LeaseClient,
    private val currentMillis: () -> Long,
) : CustomerLimiter {
    private val leasesByCustomer = ConcurrentHashMap<CustomerId, CustomerLeases>()

    override suspend fun acquire(contract: Contract): Either<Failure, CustomerPermit> {
        val customer = contract.customer
        // Counted inside compute, so that dropIdle cannot drop leases that a request has just looked up.
        val leases =
            leasesByCustomer.compute(customer) { _, existing ->
                (existing ?: CustomerLeases(customer)).also {
                    it.waitingRequests.incrementAndGet()
                }
            }!!
        val result =
            try {
                leases.tryAcquire(currentMillis())
                    ?: leases.callMutex.withLock { leases.tryAcquire(currentMillis()) ?: requestLease(leases) }
            } finally {
                leases.waitingRequests.decrementAndGet()
            }
        if (result is AcquireResult.Refused) return result.failure.left()
        leases.inFlight.incrementAndGet()
        val released = AtomicBoolean()
        return CustomerPermit { generatedTokens ->
            if (released.compareAndSet(false, true)) {
                leases.inFlight.decrementAndGet()
                if (contract.tokensPerSecond != null) leases.tokensUsed.addAndGet(generatedTokens.toLong())
            }
        }.right()
    }

    /** Returns the requests in flight at this router by customer, for the exchange; zero entries are omitted. */
    public fun inFlight(): Map<CustomerId, Int> =
        leasesByCustomer.values
            .mapNotNull { leases ->
                leases.inFlight
                    .get()
                    .takeIf { it > 0 }
                    ?.let { leases.customer to it }
            }.toMap()

    /** Reports generated tokens and expired permits that no lease request has sent yet. Called about once a second. */
    public suspend fun report() {
        for (leases in leasesByCustomer.values) {
            if (leases.needsReport(currentMillis())) leases.callMutex.withLock { sendRequest(leases, wanted = 0) }
        }
    }

    /** Drops the state of customers without requests. Called periodically. */
    public fun dropIdle() {
        val nowMillis = currentMillis()
        for (customer in leasesByCustomer.keys) {
            leasesByCustomer.computeIfPresent(customer) { _, leases ->
                leases.takeUnless {
                    it.isIdle(nowMillis)
                }
            }
        }
    }

    private suspend fun requestLease(leases: CustomerLeases): AcquireResult {
        val wanted = leases.waitingRequests.get().coerceAtLeast(1) + leases.permitsToPrefetch(currentMillis())
        val reply =
            sendRequest(leases, wanted)
                ?: return leases.recordRefusal(LimitReason.UNAVAILABLE, LEASE_MILLIS, currentMillis())
        val nowMillis = currentMillis()
        leases.storeLease(reply, nowMillis)
        return leases.tryAcquire(nowMillis)
            ?: leases.recordRefusal(reply.limit ?: LimitReason.RATE, reply.retryAfterMillis, nowMillis)
    }

    private suspend fun sendRequest(leases: CustomerLeases, wanted: Int): LeaseReply? {
        val startedMillis = currentMillis()
        val tokens = minOf(leases.tokensUsed.get(), MAXIMUM_REPORTED_TOKENS)
        leases.tokensUsed.addAndGet(-tokens)
        val unused = leases.removeExpiredPermits(startedMillis)
        val request = LeaseRequest(leases.customer, selfRouter, wanted, leases.inFlight.get(), tokens.toInt(), unused)
        val ownerSkipped = startedMillis - leases.ownerTimedOutAtMillis < OWNER_RETRY_DELAY_MILLIS
        val fromOwner =
            if (ownerSkipped) {
                null
            } else {
                awaitReply(
                    OWNER_CALL_TIMEOUT_MILLIS,
                ) { client.lease(request, rank = 0) }
            }
        if (fromOwner == null && !ownerSkipped) leases.ownerTimedOutAtMillis = currentMillis()
        val remainingMillis = LEASE_TIMEOUT_MILLIS - (currentMillis() - startedMillis)
        val reply = fromOwner ?: awaitReply(remainingMillis) { client.lease(request.copy(standIn = true), rank = 1) }
        if (reply == null) leases.tokensUsed.addAndGet(tokens)
        // The owner granted the lease at an unknown time during the call, so its validity is counted from the start.
        return reply?.let { it.copy(expiresInMillis = it.expiresInMillis - (currentMillis() - startedMillis)) }
    }

    private suspend fun awaitReply(millis: Long, call: suspend () -> LeaseReply?): LeaseReply? =
        withTimeoutOrNull(millis.milliseconds) { call() }
}

/** Longest time for which a refusal is cached instead of calling the owner again, in milliseconds. */
private const val REFUSAL_CACHE_MILLIS = 250L

private const val MAXIMUM_REPORTED_TOKENS = 1_000_000_000L

private sealed interface AcquireResult {
    data object Granted : AcquireResult

    class Refused(val failure: Failure) : AcquireResult
}

/** Leases and counters of one customer at this router. Thread-safe. */
private class CustomerLeases(val customer: CustomerId) {
    val callMutex = Mutex()
    val waitingRequests = AtomicInteger()
    val inFlight = AtomicInteger()
    val tokensUsed = AtomicLong()

    @Volatile
    var ownerTimedOutAtMillis = Long.MIN_VALUE / 2
    private var remainingPermits = 0
    private var validUntilMillis = 0L
    private var refusalValidUntilMillis = Long.MIN_VALUE
    private var refusalReason = LimitReason.RATE
    private var windowStartMillis = 0L
    private var startedInCurrentWindow = 0
    private var startedInPreviousWindow = 0

    /** Returns whether there are tokens to report or expired permits to return. */
    @Synchronized
    fun needsReport(nowMillis: Long): Boolean =
        tokensUsed.get() > 0 || (remainingPermits > 0 && nowMillis >= validUntilMillis)

    /**
     * Removes and returns the unused permits of an expired lease. They are lost when the call that returns them fails.
     */
    @Synchronized
    fun removeExpiredPermits(nowMillis: Long): Int =
        if (nowMillis >=
            validUntilMillis
        ) {
            remainingPermits.also { remainingPermits = 0 }
        } else {
            0
        }

    /** Uses one permit of the lease, returns a refusal that is still cached, or null when the owner must be called. */
    @Synchronized
    fun tryAcquire(nowMillis: Long): AcquireResult? {
        rotateWindow(nowMillis)
        if (remainingPermits > 0 && nowMillis < validUntilMillis) {
            remainingPermits--
            startedInCurrentWindow++
            return AcquireResult.Granted
        }
        if (nowMillis >= refusalValidUntilMillis) return null
        return AcquireResult.Refused(
            Failure.LimitExceeded(customer, refusalReason, (refusalValidUntilMillis - nowMillis).milliseconds),
        )
    }

    @Synchronized
    fun storeLease(reply: LeaseReply, nowMillis: Long) {
        remainingPermits = reply.granted
        validUntilMillis = nowMillis + reply.expiresInMillis
    }

    /** Returns a refusal and caches it for a short time, in which the owner would refuse further requests as well. */
    @Synchronized
    fun recordRefusal(reason: LimitReason, retryAfterMillis: Long, nowMillis: Long): AcquireResult {
        refusalReason = reason
        refusalValidUntilMillis = nowMillis + retryAfterMillis.coerceIn(1, REFUSAL_CACHE_MILLIS)
        return AcquireResult.Refused(
            Failure.LimitExceeded(customer, reason, retryAfterMillis.coerceAtLeast(1).milliseconds),
        )
    }

    @Synchronized
    fun permitsToPrefetch(nowMillis: Long): Int {
        rotateWindow(nowMillis)
        return (maxOf(startedInPreviousWindow, startedInCurrentWindow) * PREFETCH_FRACTION).toInt()
    }

    @Synchronized
    fun isIdle(nowMillis: Long): Boolean {
        rotateWindow(nowMillis)
        val isUnused = startedInCurrentWindow + startedInPreviousWindow == 0 && waitingRequests.get() == 0
        return isUnused && inFlight.get() == 0 && tokensUsed.get() == 0L
    }

    private fun rotateWindow(nowMillis: Long) {
        val elapsed = nowMillis - windowStartMillis
        if (elapsed < 1_000) return
        startedInPreviousWindow = if (elapsed < 2_000) startedInCurrentWindow else 0
        startedInCurrentWindow = 0
        windowStartMillis = nowMillis
    }
}
