/*
 * Decodes the items of the platform's store. Names of the store's keys and fields are not used outside this package.
 */
package org.primrosesill.platform

import org.primrosesill.discovery.DecodedItem
import org.primrosesill.discovery.PlatformItem
import org.primrosesill.discovery.PlatformItemDecoder
import org.primrosesill.discovery.UpstreamRegistration
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.PoolId
import org.primrosesill.model.UpstreamId
import org.primrosesill.model.parseSocketAddress
import kotlin.time.Duration.Companion.milliseconds

internal const val OPERATOR_PREFIX = "op/"
internal const val SERVER_PREFIX = "servers/"
private const val CONFIGURATION_KEY = "op/config"
private const val EVACUATION_PREFIX = "op/evacuate/"

/** Returns the decoder of the store's items. */
public fun storeItemDecoder(): PlatformItemDecoder = StoreItemDecoder

private object StoreItemDecoder : PlatformItemDecoder {
    override fun decode(item: PlatformItem): DecodedItem = decode(item, previous = null)

    override fun decode(item: PlatformItem, previous: DecodedItem.Configuration?): DecodedItem {
        require(!item.isDeleted) { "a deleted item cannot be decoded" }
        return when {
            item.key == CONFIGURATION_KEY ->
                readConfiguration(checkNotNull(item.segments), previous).fold({ invalid(it) }, { it })
            item.key.startsWith(SERVER_PREFIX) ->
                readRegistration(item.key, checkNotNull(item.value)).fold({ invalid(it) }, { DecodedItem.Upstream(it) })
            else -> evacuatedZoneOf(item.key)?.let { DecodedItem.ZoneEvacuated(it) } ?: DecodedItem.Unrelated
        }
    }

    override fun upstreamOf(key: String): UpstreamId? = suffixOf(key, SERVER_PREFIX)?.let(::UpstreamId)

    override fun evacuatedZoneOf(key: String): AvailabilityZoneId? =
        suffixOf(key, EVACUATION_PREFIX)?.let(::AvailabilityZoneId)

    private fun suffixOf(key: String, prefix: String): String? =
        key.takeIf { it.startsWith(prefix) }?.removePrefix(prefix)?.takeIf { it.isNotEmpty() }

    private fun invalid(error: WireError) = DecodedItem.Invalid(error.toString())
}

private fun readAddress(entry: WireObject): String {
    val address = entry.string("address")
    val hasPort = parseSocketAddress(address).fold({ false }, { it.port > 0 })
    return if (hasPort) address else entry.fail("address", "'$address'", "an IP address and a port")
}

/** Upstreams receive their id in a header field. */
private val idPattern = Regex("[!-~]{1,200}")

private val SLOTS = 1L..1_000_000L

/** An hour; a cold upstream is warm after seconds. */
private val COLD_MILLIS = 0L..3_600_000L

private fun readRegistration(key: String, value: String) =
    readWireObject(value, key) { entry ->
        val id = key.removePrefix(SERVER_PREFIX)
        if (!idPattern.matches(id)) entry.fail("key", "'$id'", "visible ASCII characters")
        val state = entry.string("state")
        if (state != "ready" && state != "draining") entry.fail("state", "'$state'", "'ready' or 'draining'")
        UpstreamRegistration(
            id = UpstreamId(id),
            pool = PoolId(entry.string("service")),
            address = readAddress(entry),
            availabilityZone = AvailabilityZoneId(entry.string("zone")),
            softwareVersion = entry.optionalString("version").orEmpty(),
            slots = entry.integerIn("max_batch", SLOTS).toInt(),
            draining = state == "draining",
            coldFor = (entry.optionalIntegerIn("warmup_left_ms", COLD_MILLIS) ?: 0).milliseconds,
            startedAtMillis = entry.optionalInteger("born"),
        )
    }
