/*
 * The entries that upstreams publish about themselves in the directory of the platform.
 */
package org.primrosesill.discovery

import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.PoolId
import org.primrosesill.model.UpstreamId
import kotlin.time.Duration

/**
 * The entry of one incarnation of an upstream.
 *
 * @property address IP address and port for requests
 * @property slots number of requests that it processes concurrently
 * @property draining whether it accepts no new requests because it is about to stop
 * @property coldFor remaining time for which it is cold, counted from when the entry was written
 * @property startedAtMillis start time in milliseconds since the Unix epoch, or null when the entry has none. The same
 *     id with another start time is another incarnation.
 */
public data class UpstreamRegistration(
    val id: UpstreamId,
    val pool: PoolId,
    val address: String,
    val availabilityZone: AvailabilityZoneId,
    val softwareVersion: String,
    val slots: Int,
    val draining: Boolean,
    val coldFor: Duration,
    val startedAtMillis: Long?,
)
