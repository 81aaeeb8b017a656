/*
 * Orders to the stand-in engine to load something or to change its role. Some engines refuse an order with an old
 * fencing number and others ignore the number, so safety never depends on it.
 */
package org.primrosesill.standin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
internal enum class OrderKind {
    @SerialName("load-model")
    LOAD_MODEL,

    @SerialName("load-adapter")
    LOAD_ADAPTER,

    @SerialName("load-version")
    LOAD_VERSION,

    @SerialName("set-role")
    SET_ROLE,
}

/** One order. [target] names the model, adapter, version or role; [fencing] grows with each new holder of the right. */
@Serializable
internal data class EngineOrder(val kind: OrderKind, val target: String, val fencing: Long)

/** The orders in force and the count of those refused. */
@Serializable
internal data class EngineOrders(val inForce: List<EngineOrder>, val highestFencing: Long, val refused: Int)

/** Takes orders, with or without a [fencingCheck]. Safe to call from any thread. */
internal class OrderBook(private val fencingCheck: Boolean) {
    private val inForce = linkedMapOf<OrderKind, EngineOrder>()
    private var highest = 0L
    private var refused = 0

    /** Applies [order], or returns false when its fencing number is older than one seen before. */
    @Synchronized
    fun apply(order: EngineOrder): Boolean {
        if (fencingCheck && order.fencing < highest) {
            refused++
            return false
        }
        highest = maxOf(highest, order.fencing)
        inForce[order.kind] = order
        return true
    }

    @Synchronized
    fun orders(): EngineOrders = EngineOrders(inForce.values.toList(), highest, refused)
}
