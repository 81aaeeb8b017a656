/*
 * Limits the length of the store's values to what gateways use of them. Anyone may write a value of a megabyte that nobody
 * can use, as often and under as many keys as they like; gateways keep and relay the items that they receive.
 *
 * Short values remain as they were written, so that a gateway of a newer release that receives them from an older one can
 * read what the older one cannot.
 */
package org.primrosesill.platform

import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.primrosesill.discovery.PlatformItem

/** Length in characters up to which a value remains as it is, whatever it is. */
private const val MAXIMUM_UNREAD_CHARACTERS = 500

/** Length in characters up to which the entry of a server remains as it is. */
private const val MAXIMUM_ENTRY_CHARACTERS = 2_000

/** Returns [item] with a value of limited length, as [StoreItemDecoder] does. */
internal fun itemWithLimitedValue(item: PlatformItem): PlatformItem {
    if (item.isDeleted || item.key == CONFIGURATION_KEY) return item
    val value = checkNotNull(item.value)
    if (value.length <= MAXIMUM_UNREAD_CHARACTERS) return item
    val limited = limitedValue(item.key, value)
    return if (limited == value) item else PlatformItem(item.key, item.revision, limited)
}

private fun limitedValue(key: String, value: String): String {
    if (!key.startsWith(SERVER_PREFIX)) return omission(value, "not used")
    return readRegistration(key, value).fold(
        { omission(value, it.toString()) },
        { if (value.length <= MAXIMUM_ENTRY_CHARACTERS) value else entryOf(it) },
    )
}

/** Returns a text that stands for [value], which gateways cannot use for [reason], and cannot be read as an entry either. */
private fun omission(value: String, reason: String): String =
    buildJsonObject {
        put(OMITTED_CHARACTERS, value.length)
        put(REASON, reason.take(MAXIMUM_REASON_CHARACTERS))
    }.toString()

/** Returns why a value was replaced by [text], or null if [text] is a value. */
internal fun omissionReason(text: String): String? {
    if (!text.startsWith(OMISSION_START)) return null
    return readWireObject(text, "omission") { wire ->
        "${wire.string(REASON)}; ${wire.integer(OMITTED_CHARACTERS)} characters omitted"
    }.getOrNull()
}

private const val OMITTED_CHARACTERS = "omitted_characters"
private const val REASON = "reason"
private const val OMISSION_START = "{\"$OMITTED_CHARACTERS\":"
private const val MAXIMUM_REASON_CHARACTERS = 200
