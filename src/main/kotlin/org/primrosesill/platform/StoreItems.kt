/*
 * Decodes the items of the platform's store. Names of the store's keys and fields are not used outside this package.
 */
package org.primrosesill.platform

import org.primrosesill.discovery.DecodedItem
import org.primrosesill.discovery.PlatformItem
import org.primrosesill.discovery.PlatformItemDecoder
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.UpstreamId

internal const val OPERATOR_PREFIX = "op/"
internal const val SERVER_PREFIX = "servers/"
internal const val CONFIGURATION_KEY = "op/config"
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
                decodeEntry(item.key, checkNotNull(item.value))
            else -> evacuatedZoneOf(item.key)?.let { DecodedItem.ZoneEvacuated(it) } ?: DecodedItem.Unrelated
        }
    }

    override fun withLimitedValue(item: PlatformItem): PlatformItem = itemWithLimitedValue(item)

    override fun isConfiguration(key: String): Boolean = key == CONFIGURATION_KEY

    override fun upstreamOf(key: String): UpstreamId? = suffixOf(key, SERVER_PREFIX)?.let(::UpstreamId)

    override fun evacuatedZoneOf(key: String): AvailabilityZoneId? =
        suffixOf(key, EVACUATION_PREFIX)?.let(::AvailabilityZoneId)

    private fun suffixOf(key: String, prefix: String): String? =
        key.takeIf { it.startsWith(prefix) }?.removePrefix(prefix)?.takeIf { it.isNotEmpty() }

    private fun decodeEntry(key: String, value: String): DecodedItem =
        omissionReason(value)?.let { DecodedItem.Invalid(it) }
            ?: readRegistration(key, value).fold({ invalid(it) }, { DecodedItem.Upstream(it) })

    private fun invalid(error: WireError) = DecodedItem.Invalid(error.toString())
}
