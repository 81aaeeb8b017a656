/*
 * The differences between two fleet documents that operators answer for: zones and VMs out of service or back.
 */
package org.primrosesill.configuration

import org.primrosesill.generated.EventType
import org.primrosesill.generated.FleetDocument

/** A zone or VM that went out of service or came back; [type] is the event to record. */
public data class FleetChange(val type: EventType, val subject: String, val cause: String)

internal fun fleetChanges(before: FleetDocument?, after: FleetDocument): List<FleetChange> {
    val zonesOutBefore =
        before
            ?.availabilityZones
            .orEmpty()
            .filter { it.outOfService }
            .mapTo(HashSet()) { it.id }
    val zones =
        after.availabilityZones.mapNotNull { zone ->
            when {
                zone.outOfService && zone.id !in zonesOutBefore ->
                    FleetChange(EventType.ZONE_OUT, zone.id.value, zone.reason.ifEmpty { "set by the fleet document" })
                !zone.outOfService && zone.id in zonesOutBefore ->
                    FleetChange(EventType.ZONE_BACK, zone.id.value, "set by the fleet document")
                else -> null
            }
        }
    val vmsBefore = before?.outOfServiceVms.orEmpty().toSet()
    val vmsAfter = after.outOfServiceVms.toSet()
    val cause = "set by the fleet document"
    return zones +
        (vmsAfter - vmsBefore).map { FleetChange(EventType.VM_OUT, it.value, cause) } +
        (vmsBefore - vmsAfter).map { FleetChange(EventType.VM_BACK, it.value, cause) }
}
