/*
 * The configuration in force at one time, for request handling.
 */
package org.primrosesill.configuration

import org.primrosesill.generated.Contract
import org.primrosesill.generated.FleetDocument
import org.primrosesill.model.CustomerId

/**
 * An immutable view of all accepted documents.
 *
 * @property revision highest revision up to which all documents have been received
 * @property fleet the fleet document in force, or null before the first one is accepted
 */
public data class ConfigurationSnapshot(
    val revision: Long = 0,
    val fleet: FleetDocument? = null,
    val contracts: Map<CustomerId, Contract> = emptyMap(),
    val customersByCredentialHash: Map<String, CustomerId> = emptyMap(),
) {
    /** Returns the contract with the SHA-256 [credentialHash] of a bearer token, or null. */
    public fun contractFor(credentialHash: String): Contract? =
        customersByCredentialHash[credentialHash]?.let(contracts::get)
}
