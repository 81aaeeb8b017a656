/*
 * The reachability of the fleet, as a router observes it when it places a request.
 */
package org.primrosesill.placement

import org.primrosesill.model.AvailabilityZoneId

/**
 * Immutable.
 *
 * @property silentZones zones from which no router has sent a message recently, so that they are probably partitioned
 */
public class FleetReachability(public val silentZones: Set<AvailabilityZoneId> = emptySet())
