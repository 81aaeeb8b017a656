/*
 * What a router knows of the other routers when it places a request.
 */
package org.primrosesill.placement

import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.UpstreamId

/**
 * Immutable.
 *
 * @property othersInFlight requests of other routers in progress, as of the last exchange
 * @property complete whether [othersInFlight] covers all routers
 * @property silentZones zones from which no router was heard lately, so that they are probably cut off
 */
public class FleetLoad(
    public val othersInFlight: Map<UpstreamId, Int> = emptyMap(),
    public val complete: Boolean = true,
    public val silentZones: Set<AvailabilityZoneId> = emptySet(),
)
