/*
 * The retry budget of one router. Each first attempt deposits a fixed fraction of one retry, so that retries never add
 * more than that fraction to the load offered to a failing pool, over any time and any number of routers.
 *
 * Half of each deposit goes to the balance of the customer and half to a shared balance, so that a customer with few
 * requests can retry as well and a customer with many failures cannot use up the retries of the others.
 */
package org.primrosesill.admission

import org.primrosesill.model.CustomerId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

private const val MILLITOKENS_PER_RETRY = 1_000
private const val MAXIMUM_BALANCE = 10 * MILLITOKENS_PER_RETRY

/**
 * Returns a budget that limits retries to [fraction] of the first attempts. It starts empty, because an initial balance
 * would let every restarted router exceed the fraction.
 */
public fun tokenRetryBudget(fraction: Double = 0.1): RetryBudget = TokenRetryBudget(fraction)

private class TokenRetryBudget(fraction: Double) : RetryBudget {
    private val halfDeposit = (MILLITOKENS_PER_RETRY * fraction / 2).toInt()
    private val sharedBalance = AtomicInteger()
    private val balances = ConcurrentHashMap<CustomerId, AtomicInteger>()

    override fun recordAttempt(customer: CustomerId) {
        deposit(sharedBalance)
        deposit(balances.computeIfAbsent(customer) { AtomicInteger() })
    }

    override fun tryRetry(customer: CustomerId): Boolean =
        balances[customer]?.let(::withdraw) == true || withdraw(sharedBalance)

    private fun deposit(balance: AtomicInteger) {
        balance.updateAndGet { minOf(it + halfDeposit, MAXIMUM_BALANCE) }
    }

    private fun withdraw(balance: AtomicInteger): Boolean =
        balance.getAndUpdate { if (it >= MILLITOKENS_PER_RETRY) it - MILLITOKENS_PER_RETRY else it } >=
            MILLITOKENS_PER_RETRY
}
