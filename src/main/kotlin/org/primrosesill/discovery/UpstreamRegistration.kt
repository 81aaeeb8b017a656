/*
 * What upstreams say of themselves in the platform's directory.
 */
package org.primrosesill.discovery

import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.PoolId
import org.primrosesill.model.UpstreamId
import kotlin.time.Duration

/**
 * The entry of one incarnation of an upstream.
 *
 * @property address IP number and port for requests
 * @property softwareVersion version of its software
 * @property slots requests that it works on at once
 * @property draining whether it takes no new requests because it is about to stop
 * @property coldFor how much longer it is cold, from the moment at which the entry was written
 * @property startedAtMillis when it started, in milliseconds since the Unix epoch, or null when it does not say. The
 *     same id with another start is another incarnation.
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
