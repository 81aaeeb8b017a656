/*
 * What a router knows of the other routers when it places a request.
 */
package org.primrosesill.placement

import org.primrosesill.model.AvailabilityZoneId

/**
 * Immutable.
 *
 * @property silentZones zones from which no router was heard lately, so that they are probably cut off
 */
public class FleetLoad(public val silentZones: Set<AvailabilityZoneId> = emptySet())
