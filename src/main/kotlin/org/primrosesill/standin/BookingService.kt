/*
 * The state of the stand-in booking service, without HTTP. It executes every request and never deduplicates, so that a
 * request that was executed twice appears twice in its execution log. Tests inject the faults of a real service.
 */
package org.primrosesill.standin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A fault that a test injects into the responses of the service. */
@Serializable
internal enum class ServiceFault {
    @SerialName("none")
    NONE,

    /** Executes the request and closes the connection without a response. */
    @SerialName("close-after-read")
    CLOSE_AFTER_READ,

    /** Executes the request and delays the response. */
    @SerialName("late")
    LATE,

    /** Executes the request and returns a different request id. */
    @SerialName("wrong-request-id")
    WRONG_REQUEST_ID,

    /** Executes the request, sends half of the response body and closes the connection. */
    @SerialName("cut")
    CUT,

    /** Rejects the request with `X-Not-Run` and does not execute it. */
    @SerialName("refuse")
    REFUSE,
}

/**
 * The fault that the service applies to its next requests.
 *
 * @property count number of requests that the fault applies to; unlimited when null
 * @property delayMillis delay of each response under [ServiceFault.LATE]
 */
@Serializable
internal data class FaultSwitch(val fault: ServiceFault, val count: Int? = null, val delayMillis: Long = 2_000)

/** One call that was executed. [key] is its idempotency key. */
@Serializable
internal data class ServiceExecution(
    val sequence: Long,
    val request: String,
    val method: String,
    val item: String,
    val key: String? = null,
    val atMillis: Long,
)

/** All executed calls. [doubles] lists each idempotency key that was executed more than once. */
@Serializable
internal data class ServiceExecutionPage(val executions: List<ServiceExecution>, val doubles: List<String>)

@Serializable
internal data class BookingBody(val item: String, val quantity: Int = 1)

@Serializable
internal data class BookingResponse(val booking: Long, val item: String, val quantity: Int, val request: String)

@Serializable
internal data class StockResponse(val item: String, val left: Int)

/** Books items from an initial [stock] of each item. The remaining stock can become negative. Thread-safe. */
internal class BookingService(private val stock: Int) {
    private val executions = mutableListOf<ServiceExecution>()
    private val bookedQuantities = mutableMapOf<String, Int>()
    private var faultSwitch = FaultSwitch(ServiceFault.NONE)

    @Synchronized
    fun book(body: BookingBody, request: String, key: String?, nowMillis: Long): BookingResponse {
        bookedQuantities.merge(body.item, body.quantity, Int::plus)
        return BookingResponse(record("POST", body.item, request, key, nowMillis), body.item, body.quantity, request)
    }

    @Synchronized
    fun stock(item: String, request: String, nowMillis: Long): StockResponse {
        record("GET", item, request, null, nowMillis)
        return StockResponse(item, stock - (bookedQuantities[item] ?: 0))
    }

    private fun record(method: String, item: String, request: String, key: String?, nowMillis: Long): Long {
        val sequence = executions.size + 1L
        executions += ServiceExecution(sequence, request, method, item, key, nowMillis)
        return sequence
    }

    @Synchronized
    fun executionPage(): ServiceExecutionPage =
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
    fun setFault(next: FaultSwitch) {
        faultSwitch = next
    }

    /** Returns the fault for the next request and decrements its count. */
    @Synchronized
    fun consumeFault(): FaultSwitch {
        val current = faultSwitch
        val remaining = current.count?.minus(1)
        if (remaining != null) {
            faultSwitch = if (remaining > 0) current.copy(count = remaining) else FaultSwitch(ServiceFault.NONE)
        }
        return current
    }
}
