/*
 * Paths and size limits of the peer protocol, shared by the listener and the client.
 */
package org.primrosesill.http

internal const val EXCHANGE_PATH = "/peer/v1/exchange"
internal const val CONFIGURATION_PATH = "/peer/v1/configuration"
internal const val VM_LIST_PATH = "/peer/v1/vms"
internal const val CLAIM_PATH = "/peer/v1/claim"
internal const val CLAIM_RELEASE_PATH = "/peer/v1/claim/release"
internal const val CLAIM_OUTCOME_PATH = "/peer/v1/claim/outcome"
internal const val RESERVATION_PATH = "/peer/v1/reservation"
internal const val LEASE_PATH = "/peer/v1/lease"

/** A configuration value has at most 1 MB; a page contains at least one value and its surrounding fields. */
internal const val MAXIMUM_PEER_MESSAGE_BYTES = 2 * 1024 * 1024
