/*
 * The retry budget of one router. Each first attempt deposits a fixed fraction of one retry, so that retries never add
 * more than that fraction to the load offered to a failing pool, over any time and any number of routers.
 *
 * Half of each deposit belongs to the customer and half to all, so that a customer with few requests can retry as well
 * and a customer with many failures cannot take the retries of the others.
 */
package org.primrosesill.admission

import org.primrosesill.model.CustomerId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

private const val RETRY = 1_000
private const val MAXIMUM_DEPOSITS = 10 * RETRY

/**
 * Returns a budget in which retries are at most [fraction] of the first attempts. It starts empty, because a saved
 * start amount would let every restarted router exceed the fraction.
 */
public fun tokenRetryBudget(fraction: Double = 0.1): RetryBudget = TokenRetryBudget(fraction)

private class TokenRetryBudget(fraction: Double) : RetryBudget {
    private val half = (RETRY * fraction / 2).toInt()
    private val shared = AtomicInteger()
    private val own = ConcurrentHashMap<CustomerId, AtomicInteger>()

    override fun recordAttempt(customer: CustomerId) {
        deposit(shared)
        deposit(own.computeIfAbsent(customer) { AtomicInteger() })
    }

    override fun tryRetry(customer: CustomerId): Boolean = own[customer]?.let(::withdraw) == true || withdraw(shared)

    private fun deposit(account: AtomicInteger) {
        account.updateAndGet { minOf(it + half, MAXIMUM_DEPOSITS) }
    }

    private fun withdraw(account: AtomicInteger): Boolean =
        account.getAndUpdate { if (it >= RETRY) it - RETRY else it } >= RETRY
}
