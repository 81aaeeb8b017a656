/*
 * The ids of the domain. Each is a value class, so that a customer cannot be passed where an upstream is expected, and
 * each is written to JSON as a plain string.
 */
package org.primrosesill.model

import kotlinx.serialization.Serializable

/** Names an availability zone, as in the fleet document and in the settings of a process. */
@JvmInline
@Serializable
public value class AvailabilityZoneId(public val value: String) {
    override fun toString(): String = value
}

/** Names a VM in the platform's VM list. */
@JvmInline
@Serializable
public value class VmId(public val value: String) {
    override fun toString(): String = value
}

/** Names a customer. There is one contract for each customer. */
@JvmInline
@Serializable
public value class CustomerId(public val value: String) {
    override fun toString(): String = value
}

/** Names an upstream. It equals the id of the VM that the upstream runs on. */
@JvmInline
@Serializable
public value class UpstreamId(public val value: String) {
    override fun toString(): String = value
}

/** Names one incarnation of a router. A router that restarts has a new id, because its memory is new. */
@JvmInline
@Serializable
public value class RouterId(public val value: String) {
    override fun toString(): String = value
}

/** Names a pool: the model that engines serve, or the service that plain upstreams offer. */
@JvmInline
@Serializable
public value class PoolId(public val value: String) {
    override fun toString(): String = value
}

/** Names one request of a caller over all processes. */
@JvmInline
@Serializable
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}

/** Names a document of the configuration: `fleet` or `contract/<customer>`. */
@JvmInline
@Serializable
public value class DocumentName(public val value: String) {
    override fun toString(): String = value
}

/** Names what a claim is about: an idempotency key of a customer, or one slot of a cold upstream. */
@JvmInline
@Serializable
public value class ClaimResource(public val value: String) {
    override fun toString(): String = value
}
