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
    override fun decode(item: PlatformItem): DecodedItem {
        val value = checkNotNull(item.value) { "a deleted item cannot be decoded" }
        return when {
            item.key == CONFIGURATION_KEY ->
                readConfiguration(value).fold({ invalid(it) }, { DecodedItem.Configuration(it) })
            item.key.startsWith(SERVER_PREFIX) ->
                readRegistration(item.key, value).fold({ invalid(it) }, { DecodedItem.Upstream(it) })
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
    if (parseSocketAddress(address).isLeft()) entry.fail("address", "'$address'", "an IP address and a port")
    return address
}

private fun readRegistration(key: String, value: String) =
    readWireObject(value, key) { entry ->
        val state = entry.string("state")
        if (state != "ready" && state != "draining") entry.fail("state", "'$state'", "'ready' or 'draining'")
        UpstreamRegistration(
            id = UpstreamId(key.removePrefix(SERVER_PREFIX)),
            pool = PoolId(entry.string("service")),
            address = readAddress(entry),
            availabilityZone = AvailabilityZoneId(entry.string("zone")),
            softwareVersion = entry.optionalString("version").orEmpty(),
            slots = entry.integer("max_batch").toInt(),
            draining = state == "draining",
            coldFor = (entry.optionalInteger("warmup_left_ms") ?: 0).milliseconds,
            startedAtMillis = entry.optionalInteger("born"),
        )
    }
