/*
 * Reads and writes the entries that servers publish about themselves in the platform's store.
 */
package org.primrosesill.platform

import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.primrosesill.discovery.UpstreamRegistration
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.PoolId
import org.primrosesill.model.UpstreamId
import org.primrosesill.model.parseSocketAddress
import kotlin.time.Duration.Companion.milliseconds

private fun readAddress(entry: WireObject): String {
    val address = entry.name("address")
    val hasPort = parseSocketAddress(address).fold({ false }, { it.port > 0 })
    return if (hasPort) address else entry.fail("address", "'$address'", "an IP address and a port")
}

/** Upstreams receive their id in a header field. */
private val idPattern = Regex("[!-~]{1,200}")

private const val READY = "ready"
private const val DRAINING = "draining"
private val SLOTS = 1L..1_000_000L

/** An hour; a cold upstream is warm after seconds. */
private val COLD_MILLIS = 0L..3_600_000L

/** Bounds what an entry takes in memory, logs and messages. */
private const val MAXIMUM_NAME_CHARACTERS = 400

private fun WireObject.name(field: String): String {
    val name = string(field)
    return if (name.length <= MAXIMUM_NAME_CHARACTERS) {
        name
    } else {
        fail(field, "${name.length} characters", "at most $MAXIMUM_NAME_CHARACTERS")
    }
}

/** Reads the entry of an upstream in [value], which is stored under [key]. */
internal fun readRegistration(key: String, value: String) =
    readWireObject(value, key) { entry ->
        val id = key.removePrefix(SERVER_PREFIX)
        if (!idPattern.matches(id)) entry.fail("key", "'$id'", "visible ASCII characters")
        val state = entry.string("state")
        if (state != READY && state != DRAINING) entry.fail("state", "'$state'", "'ready' or 'draining'")
        UpstreamRegistration(
            id = UpstreamId(id),
            pool = PoolId(entry.name("service")),
            address = readAddress(entry),
            availabilityZone = AvailabilityZoneId(entry.name("zone")),
            softwareVersion = entry.optionalString("version").orEmpty().take(MAXIMUM_NAME_CHARACTERS),
            slots = entry.integerIn("max_batch", SLOTS).toInt(),
            draining = state == DRAINING,
            coldFor = (entry.optionalIntegerIn("warmup_left_ms", COLD_MILLIS) ?: 0).milliseconds,
            startedAtMillis = entry.optionalInteger("born"),
        )
    }

/** Returns an entry with the fields of [registration], from which [readRegistration] reads the same. */
internal fun entryOf(registration: UpstreamRegistration): String =
    buildJsonObject {
        put("service", registration.pool.value)
        put("address", registration.address)
        put("zone", registration.availabilityZone.value)
        put("version", registration.softwareVersion)
        put("max_batch", registration.slots)
        put("state", if (registration.draining) DRAINING else READY)
        put("warmup_left_ms", registration.coldFor.inWholeMilliseconds)
        registration.startedAtMillis?.let { put("born", it) }
    }.toString()
