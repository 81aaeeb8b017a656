/*
 * Holds the limits of contracts at one router with leases from the owners of customers. Requests that wait for the same
 * owner share one call. A router with many requests of a customer asks for some of its next ones in advance, in
 * proportion to what it used; a router with few asks for exactly what it needs, so that nothing is wasted.
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

/** Time in which an owner must answer, in milliseconds. The stand-in has the rest of [LEASE_ANSWER_MILLIS]. */
private const val OWNER_ANSWER_MILLIS = 150L

/** Time in which the owner or its stand-in must answer, in milliseconds. */
public const val LEASE_ANSWER_MILLIS: Long = 250

/** Time for which an owner that did not answer is not asked again, in milliseconds. */
private const val SILENT_OWNER_MILLIS = 500L

/** Requests asked for in advance, as a part of those started in the last second. */
private const val ADVANCE = 0.2

/** Asks the owners of customers through [client]. [currentMillis] is a clock that never goes back. */
public class FleetCustomerLimiter(
    private val router: RouterId,
    private val client: LeaseClient,
    private val currentMillis: () -> Long,
) : CustomerLimiter {
    private val shares = ConcurrentHashMap<CustomerId, CustomerShare>()

    override suspend fun acquire(contract: Contract): Either<Failure, CustomerPermit> {
        val customer = contract.customer
        // Counted inside compute, so that dropIdle cannot drop a share that a request has just found.
        val share =
            shares.compute(customer) { _, known ->
                (known ?: CustomerShare(customer)).also {
                    it.waiting.incrementAndGet()
                }
            }!!
        val refusal =
            try {
                share.take(currentMillis()) ?: share.calls.withLock { share.take(currentMillis()) ?: ask(share) }
            } finally {
                share.waiting.decrementAndGet()
            }
        if (refusal is Start.Refused) return refusal.failure.left()
        share.inFlight.incrementAndGet()
        val released = AtomicBoolean()
        return CustomerPermit { generatedTokens ->
            if (released.compareAndSet(false, true)) {
                share.inFlight.decrementAndGet()
                if (contract.tokensPerSecond != null) share.tokensUsed.addAndGet(generatedTokens.toLong())
            }
        }.right()
    }

    /** Requests of this router in flight by customer, for the exchange; zero entries are left out. */
    public fun inFlight(): Map<CustomerId, Int> =
        shares.values
            .mapNotNull { share ->
                share.inFlight
                    .get()
                    .takeIf { it > 0 }
                    ?.let { share.customer to it }
            }.toMap()

    /** Reports generated tokens and gives back unused starts that no request has carried yet. Runs about once a second. */
    public suspend fun report() {
        for (share in shares.values) {
            if (share.hasReport(currentMillis())) share.calls.withLock { call(share, wanted = 0) }
        }
    }

    /** Drops customers without requests. Runs now and then. */
    public fun dropIdle() {
        val nowMillis = currentMillis()
        for (customer in shares.keys) {
            shares.computeIfPresent(customer) { _, share ->
                share.takeUnless {
                    it.isIdle(nowMillis)
                }
            }
        }
    }

    private suspend fun ask(share: CustomerShare): Start {
        val wanted = share.waiting.get().coerceAtLeast(1) + share.advance(currentMillis())
        val reply = call(share, wanted) ?: return share.refuse(LimitReason.UNAVAILABLE, LEASE_MILLIS, currentMillis())
        val nowMillis = currentMillis()
        share.store(reply, nowMillis)
        return share.take(nowMillis) ?: share.refuse(reply.limit ?: LimitReason.RATE, reply.retryAfterMillis, nowMillis)
    }

    private suspend fun call(share: CustomerShare, wanted: Int): LeaseReply? {
        val startedMillis = currentMillis()
        val tokens = minOf(share.tokensUsed.get(), MAXIMUM_TOKENS)
        share.tokensUsed.addAndGet(-tokens)
        val unused = share.takeUnused(startedMillis)
        val request = LeaseRequest(share.customer, router, wanted, share.inFlight.get(), tokens.toInt(), unused)
        val skipped = startedMillis - share.ownerSilentAtMillis < SILENT_OWNER_MILLIS
        val fromOwner = if (skipped) null else within(OWNER_ANSWER_MILLIS) { client.lease(request, rank = 0) }
        if (fromOwner == null && !skipped) share.ownerSilentAtMillis = currentMillis()
        val left = LEASE_ANSWER_MILLIS - (currentMillis() - startedMillis)
        val reply = fromOwner ?: within(left) { client.lease(request.copy(standIn = true), rank = 1) }
        if (reply == null) share.tokensUsed.addAndGet(tokens)
        // The owner counted the lease from before this instant, so its time is counted from the call and not the reply.
        return reply?.let { it.copy(expiresInMillis = it.expiresInMillis - (currentMillis() - startedMillis)) }
    }

    private suspend fun within(millis: Long, call: suspend () -> LeaseReply?): LeaseReply? =
        withTimeoutOrNull(millis.milliseconds) { call() }
}

/** Longest time for which a refusal is repeated without asking the owner, in milliseconds. */
private const val REPEATED_REFUSAL_MILLIS = 250L

private const val MAXIMUM_TOKENS = 1_000_000_000L

private sealed interface Start {
    data object Granted : Start

    class Refused(val failure: Failure) : Start
}

/** The leases of one customer at this router. */
private class CustomerShare(val customer: CustomerId) {
    val calls = Mutex()
    val waiting = AtomicInteger()
    val inFlight = AtomicInteger()
    val tokensUsed = AtomicLong()

    @Volatile
    var ownerSilentAtMillis = Long.MIN_VALUE / 2
    private var left = 0
    private var validUntilMillis = 0L
    private var refusedUntilMillis = Long.MIN_VALUE
    private var refusedReason = LimitReason.RATE
    private var secondStartMillis = 0L
    private var startedThisSecond = 0
    private var startedLastSecond = 0

    /** Says that there are tokens to report or starts to give back. */
    @Synchronized
    fun hasReport(nowMillis: Long): Boolean = tokensUsed.get() > 0 || (left > 0 && nowMillis >= validUntilMillis)

    /** Takes what is left of an expired lease. It is lost when the call that gives it back fails. */
    @Synchronized
    fun takeUnused(nowMillis: Long): Int = if (nowMillis >= validUntilMillis) left.also { left = 0 } else 0

    /** Takes a start from the lease, repeats a refusal that still holds, or returns null when the owner must be asked. */
    @Synchronized
    fun take(nowMillis: Long): Start? {
        rotate(nowMillis)
        if (left > 0 && nowMillis < validUntilMillis) {
            left--
            startedThisSecond++
            return Start.Granted
        }
        if (nowMillis >= refusedUntilMillis) return null
        return Start.Refused(
            Failure.LimitExceeded(customer, refusedReason, (refusedUntilMillis - nowMillis).milliseconds),
        )
    }

    @Synchronized
    fun store(reply: LeaseReply, nowMillis: Long) {
        left = reply.granted
        validUntilMillis = nowMillis + reply.expiresInMillis
    }

    /** Refuses, and answers the next requests without asking for a short time: the owner would refuse them as well. */
    @Synchronized
    fun refuse(reason: LimitReason, retryAfterMillis: Long, nowMillis: Long): Start {
        refusedReason = reason
        refusedUntilMillis = nowMillis + retryAfterMillis.coerceIn(1, REPEATED_REFUSAL_MILLIS)
        return Start.Refused(Failure.LimitExceeded(customer, reason, retryAfterMillis.coerceAtLeast(1).milliseconds))
    }

    @Synchronized
    fun advance(nowMillis: Long): Int {
        rotate(nowMillis)
        return (maxOf(startedLastSecond, startedThisSecond) * ADVANCE).toInt()
    }

    @Synchronized
    fun isIdle(nowMillis: Long): Boolean {
        rotate(nowMillis)
        val unused = startedThisSecond + startedLastSecond == 0 && waiting.get() == 0
        return unused && inFlight.get() == 0 && tokensUsed.get() == 0L
    }

    private fun rotate(nowMillis: Long) {
        val elapsed = nowMillis - secondStartMillis
        if (elapsed < 1_000) return
        startedLastSecond = if (elapsed < 2_000) startedThisSecond else 0
        startedThisSecond = 0
        secondStartMillis = nowMillis
    }
}
