/*
 * The identifiers of the domain. Each is a value class, so that a customer id cannot be passed in place of an upstream
 * id, and is serialized to JSON as a plain string.
 */
package org.primrosesill.model

import kotlinx.serialization.Serializable

/** Identifies an availability zone, as in the fleet document and in the settings of a process. */
@JvmInline
@Serializable
public value class AvailabilityZoneId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a VM in the platform's VM list. */
@JvmInline
@Serializable
public value class VmId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a customer. Each customer has one contract. */
@JvmInline
@Serializable
public value class CustomerId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies an upstream. It equals the id of the VM that the upstream runs on. */
@JvmInline
@Serializable
public value class UpstreamId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies one run of a router process. A restarted router has a new id, because its in-memory state is lost. */
@JvmInline
@Serializable
public value class RouterId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a pool: the model that engines serve, or the service that plain upstreams offer. */
@JvmInline
@Serializable
public value class PoolId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies one request of a caller across all processes. */
@JvmInline
@Serializable
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a document of the configuration: `fleet` or `contract/<customer>`. */
@JvmInline
@Serializable
public value class DocumentName(public val value: String) {
    override fun toString(): String = value
}

/** Identifies the resource of a claim: an idempotency key of a customer, or one slot of a cold upstream. */
@JvmInline
@Serializable
public value class ClaimResource(public val value: String) {
    override fun toString(): String = value
}
