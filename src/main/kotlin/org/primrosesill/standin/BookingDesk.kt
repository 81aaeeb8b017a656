/*
 * The stand-in booking desk itself, without HTTP. It runs whatever it is asked, so that a request that ran twice shows
 * in its record, and it fails in the ways a service fails.
 */
package org.primrosesill.standin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
internal enum class ServiceFault {
    @SerialName("none")
    NONE,

    /** Runs the request and closes the connection without an answer. */
    @SerialName("close-after-read")
    CLOSE_AFTER_READ,

    @SerialName("late")
    LATE,

    @SerialName("wrong-request-id")
    WRONG_REQUEST_ID,

    /** Sends half of the answer and closes the connection. */
    @SerialName("cut")
    CUT,

    /** Says that the request did not run, which is true. */
    @SerialName("refuse")
    REFUSE,
}

/**
 * A fault switch.
 *
 * @property count requests that meet the fault; all when null
 * @property delayMillis how late a late answer is
 */
@Serializable
internal data class FaultSwitch(val fault: ServiceFault, val count: Int? = null, val delayMillis: Long = 2_000)

/** One call that ran. */
@Serializable
internal data class ServiceExecution(
    val sequence: Long,
    val request: String,
    val method: String,
    val item: String,
    val key: String? = null,
    val atMillis: Long,
)

/** All calls that ran. [doubles] lists each idempotency key that ran more than once. */
@Serializable
internal data class ServiceExecutionPage(val executions: List<ServiceExecution>, val doubles: List<String>)

@Serializable
internal data class BookingBody(val item: String, val quantity: Int = 1)

@Serializable
internal data class BookingAnswer(val booking: Long, val item: String, val quantity: Int, val request: String)

@Serializable
internal data class StockAnswer(val item: String, val left: Int)

/** Books items of which there are [stock] each. Safe to call from any thread. */
internal class BookingDesk(private val stock: Int) {
    private val executions = mutableListOf<ServiceExecution>()
    private val booked = mutableMapOf<String, Int>()
    private var switch = FaultSwitch(ServiceFault.NONE)

    @Synchronized
    fun book(body: BookingBody, request: String, key: String?, nowMillis: Long): BookingAnswer {
        booked.merge(body.item, body.quantity, Int::plus)
        return BookingAnswer(record("POST", body.item, request, key, nowMillis), body.item, body.quantity, request)
    }

    @Synchronized
    fun stock(item: String, request: String, nowMillis: Long): StockAnswer {
        record("GET", item, request, null, nowMillis)
        return StockAnswer(item, stock - (booked[item] ?: 0))
    }

    private fun record(method: String, item: String, request: String, key: String?, nowMillis: Long): Long {
        val sequence = executions.size + 1L
        executions += ServiceExecution(sequence, request, method, item, key, nowMillis)
        return sequence
    }

    @Synchronized
    fun page(): ServiceExecutionPage =
        ServiceExecutionPage(
            executions.toList(),
            executions
                .mapNotNull { it.key }
                .groupingBy { it }
                .eachCount()
                .filterValues { it > 1 }
                .keys
                .toList(),
        )

    @Synchronized
    fun switch(next: FaultSwitch) {
        switch = next
    }

    /** Returns the fault that the next request meets and counts it. */
    @Synchronized
    fun nextFault(): FaultSwitch {
        val current = switch
        val left = current.count?.minus(1)
        if (left != null) switch = if (left > 0) current.copy(count = left) else FaultSwitch(ServiceFault.NONE)
        return current
    }
}
