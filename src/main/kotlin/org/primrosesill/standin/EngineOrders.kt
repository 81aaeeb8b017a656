/*
 * Orders that make the stand-in engine load a model, adapter or version, or change its role. Some engines reject an
 * order with an outdated fencing token and others ignore the token, so safety must never depend on the check.
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

/** One order. [target] is a model, adapter, version or role; [fencing] is a token that grows with each new holder. */
@Serializable
internal data class EngineOrder(val kind: OrderKind, val target: String, val fencing: Long)

/** The latest order of each kind, the highest fencing token received and the number of rejected orders. */
@Serializable
internal data class EngineOrders(val inForce: List<EngineOrder>, val highestFencing: Long, val refused: Int)

/** Applies orders and, with [fencingCheck], rejects those with an outdated fencing token. Thread-safe. */
internal class EngineOrderStore(private val fencingCheck: Boolean) {
    private val latestByKind = linkedMapOf<OrderKind, EngineOrder>()
    private var highestFencing = 0L
    private var rejected = 0

    /** Applies [order], or returns false if the check rejects its fencing token as lower than the highest one. */
    @Synchronized
    fun apply(order: EngineOrder): Boolean {
        if (fencingCheck && order.fencing < highestFencing) {
            rejected++
            return false
        }
        highestFencing = maxOf(highestFencing, order.fencing)
        latestByKind[order.kind] = order
        return true
    }

    @Synchronized
    fun orders(): EngineOrders = EngineOrders(latestByKind.values.toList(), highestFencing, rejected)
}
