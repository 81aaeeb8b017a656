/*
 * Values of the store that are limited to what gateways use of them: each decodes to the same as before, and takes a bounded
 * length, whoever has written it.
 */
package org.primrosesill.platform

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.discovery.DecodedItem
import org.primrosesill.discovery.PlatformItem
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isSameInstanceAs

class LimitedValuesTest {
    private val decoder = storeItemDecoder()

    private fun limited(key: String, value: String) = decoder.withLimitedValue(PlatformItem(key, 1, value))

    private fun entry(vararg changed: Pair<String, String>): String {
        val fields =
            mapOf(
                "service" to "\"s\"",
                "address" to "\"10.0.0.1:80\"",
                "zone" to "\"a\"",
                "version" to "\"v1\"",
                "max_batch" to "96",
                "state" to "\"draining\"",
                "warmup_left_ms" to "1500",
                "born" to "1700000000000",
            ) + changed
        return fields.entries.joinToString(",", "{", "}") { (name, value) -> "\"$name\":$value" }
    }

    private fun text(length: Int, character: Char = 'x') = "\"${"$character".repeat(length)}\""

    private fun described(decoded: DecodedItem): String =
        when (decoded) {
            is DecodedItem.Upstream -> "${decoded.registration}"
            is DecodedItem.Invalid -> "invalid"
            is DecodedItem.ZoneEvacuated -> "${decoded.zone} evacuated"
            is DecodedItem.Configuration -> "configuration"
            DecodedItem.Unrelated -> "unrelated"
        }

    private class Case(val name: String, val key: String, val value: String)

    private val longValues =
        listOf(
            Case("no text", "servers/i", "\u0001".repeat(LENGTH)),
            Case("no UTF-8", "servers/i", "\uFFFD".repeat(LENGTH)),
            Case("a long field of another type", "servers/i", entry("service" to "5", "note" to text(LENGTH))),
            Case("a long state", "servers/i", entry("state" to text(LENGTH))),
            Case("a long address", "servers/i", entry("address" to text(LENGTH))),
            Case("a long service", "servers/i", entry("service" to text(LENGTH))),
            Case("a long zone, not ASCII", "servers/i", entry("zone" to text(LENGTH, '\u00e9'))),
            Case("a long version", "servers/i", entry("version" to text(LENGTH))),
            Case("a long field that gateways do not know", "servers/i", entry("note" to text(LENGTH))),
            Case("many fields", "servers/i", entry(*Array(LENGTH / 20) { "field$it" to "$it" })),
            Case("deeply nested", "servers/i", "[".repeat(LENGTH)),
            Case("an evacuated zone", "op/evacuate/a", "x".repeat(LENGTH)),
            Case("another key of the operator", "op/other", "x".repeat(LENGTH)),
        )

    // Guards against a megabyte that is kept, copied and sent for each entry that nobody can use (issue 55, review/6 and 9),
    // and against a sound entry that is rejected for its length.
    @TestFactory
    fun `a long value is limited and decodes to the same`(): List<DynamicTest> =
        longValues.map { case ->
            dynamicTest(case.name) {
                val item = limited(case.key, case.value)
                expectThat(checkNotNull(item.value).length).isLessThanOrEqualTo(MAXIMUM_LENGTH)
                val before = described(decoder.decode(PlatformItem(case.key, 1, case.value)))
                expectThat(described(decoder.decode(item))).isEqualTo(before)
                val again = limited(case.key, checkNotNull(item.value))
                expectThat(again.value).describedAs("limited again").isEqualTo(item.value)
            }
        }

    // Guards against an error of an entry that quotes a megabyte of it in the log.
    @TestFactory
    fun `the reason why a long value cannot be used is short and names the field`(): List<DynamicTest> =
        listOf(
            Triple("a long state", entry("state" to text(LENGTH)), "servers/i.state"),
            Triple("a long service", entry("service" to text(LENGTH)), "servers/i.service"),
            Triple("a long address", entry("address" to text(LENGTH)), "servers/i.address"),
            Triple("no JSON", "{" + "x".repeat(LENGTH), "not JSON"),
            Triple("no JSON object", "x".repeat(LENGTH), "expected a JSON object"),
        ).map { (name, value, expected) ->
            dynamicTest(name) {
                val reasons =
                    listOf(PlatformItem("servers/i", 1, value), limited("servers/i", value))
                        .map { (decoder.decode(it) as DecodedItem.Invalid).reason }
                reasons.forEach { reason ->
                    expectThat(reason).contains(expected)
                    expectThat(reason.length).isLessThanOrEqualTo(MAXIMUM_REASON_LENGTH)
                }
                expectThat(reasons.last()).contains("${value.length} characters omitted")
            }
        }

    // Guards against a newer release that receives less from an older gateway than it could read, and against a configuration
    // that is cut.
    @TestFactory
    fun `what remains as it was written`(): List<DynamicTest> =
        listOf(
            Case("a short entry", "servers/i", entry()),
            Case("a short entry in a format of a newer release", "servers/i", """{"format":2,"s":"s"}"""),
            Case("an entry with fields that gateways do not know", "servers/i", entry("models" to text(1_500))),
            Case("a large configuration", "op/config", "x".repeat(LENGTH)),
            Case("a short value of the operator", "op/other", "{}"),
        ).map { case ->
            dynamicTest(case.name) {
                val item = PlatformItem(case.key, 1, case.value)
                expectThat(decoder.withLimitedValue(item)).isSameInstanceAs(item)
            }
        }

    private companion object {
        const val LENGTH = 1_000_000
        const val MAXIMUM_LENGTH = 2_000
        const val MAXIMUM_REASON_LENGTH = 400
    }
}
