/*
 * What a router believes after news that come late, twice, out of order or not at all.
 */
package org.primrosesill.discovery

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.primrosesill.forwarding.configuration
import org.primrosesill.forwarding.desk
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.UpstreamId
import org.primrosesill.route.ColdStart
import org.primrosesill.route.PoolDefinition
import org.primrosesill.route.ServingConfiguration
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Items are written as `config:VERSION`, `zone` and `ready`, `draining` or `cold:MILLIS`. */
private object TextDecoder : PlatformItemDecoder {
    override fun decode(item: PlatformItem): PlatformFact {
        val value = checkNotNull(item.value)
        return when {
            item.key == "config" -> PlatformFact.Configuration(coldStarting(value.toLong()))
            item.key.startsWith("zone/") -> PlatformFact.ZoneEvacuated(checkNotNull(evacuatedZoneOf(item.key)))
            value == "garbage" -> PlatformFact.Unusable("garbage")
            else -> PlatformFact.Upstream(registration(checkNotNull(upstreamOf(item.key)), value))
        }
    }

    override fun upstreamOf(key: String): UpstreamId? =
        key.takeIf { it.startsWith("up/") }?.removePrefix("up/")?.let(::UpstreamId)

    override fun evacuatedZoneOf(key: String): AvailabilityZoneId? =
        key.takeIf { it.startsWith("zone/") }?.removePrefix("zone/")?.let(::AvailabilityZoneId)

    private fun coldStarting(version: Long): ServingConfiguration {
        val plain = configuration(version = version)
        val pool = PoolDefinition(desk, "/healthz", 96, ColdStart(3.seconds, 10.0), engine = null)
        return ServingConfiguration(version, plain.routes, mapOf(desk to pool), plain.limits, plain.accounts)
    }

    private fun registration(id: UpstreamId, value: String) =
        UpstreamRegistration(
            id,
            desk,
            "10.0.0.1:80",
            AvailabilityZoneId("a"),
            "v1",
            6,
            draining = value == "draining",
            coldFor = (value.removePrefix("cold:").toLongOrNull() ?: 0).milliseconds,
            startedAtMillis = null,
        )
}

private fun item(key: String, revision: Long, value: String?) = PlatformItem(key, revision, value)

class UpstreamDirectoryTest {
    private var directory = UpstreamDirectory(TextDecoder)

    private fun eligible() = directory.view().eligible(desk).map { it.id.value }

    private fun list(revision: Long, vararg items: PlatformItem, at: Long = 0) {
        directory.reachability.answered(at)
        directory.applyListing(PlatformListing(revision, items.toList()), at)
    }

    /** The platform answers each second from [fromMillis] to [untilMillis]. */
    private fun answered(fromMillis: Long, untilMillis: Long) =
        (fromMillis..untilMillis step 1_000).forEach { directory.reachability.answered(it) }

    private fun change(vararg items: PlatformItem, at: Long = 0) =
        directory.applyChanges(directory.revision, PlatformChanges(items.maxOf { it.revision }, items.toList()), at)

    private class Order(val name: String, val versions: List<Pair<Long, String>>, val inForce: Long)

    // Guards against a configuration that goes back, whoever tells of the older one and in whatever order.
    @TestFactory
    fun `the highest version stays in force`(): List<DynamicTest> =
        listOf(
            Order("in order", listOf(1L to "1", 2L to "5"), 5),
            Order("an old item again", listOf(2L to "5", 1L to "1"), 5),
            Order("a newer item with an older version", listOf(2L to "5", 3L to "4"), 5),
            Order("twice", listOf(2L to "5", 2L to "5"), 5),
        ).map { case ->
            dynamicTest(case.name) {
                val directory = UpstreamDirectory(TextDecoder)
                case.versions.forEach { (revision, version) ->
                    directory.applyChanges(0, PlatformChanges(revision, listOf(item("config", revision, version))), 0)
                }
                expectThat(directory.view().configuration?.version).isEqualTo(case.inForce)
            }
        }

    // Guards against requests to an upstream that is leaving or gone, and against losing one that is not.
    @Test
    fun `an upstream is used from its entry until it drains or vanishes`() {
        list(1, item("up/1", 1, "ready"), at = 0)
        expectThat(eligible()).isEqualTo(listOf("1"))
        answered(1_000, 10_000)
        change(item("up/1", 2, "draining"), at = 10_000)
        expectThat(eligible()).isEqualTo(emptyList())
        change(item("up/2", 3, "ready"), at = 10_000)
        change(item("up/2", 4, null), at = 10_000)
        expectThat(directory.view().upstreams[desk]?.map { it.id.value }).isEqualTo(listOf("1"))
    }

    // Guards against an empty fleet after the platform was away and entries lapsed meanwhile.
    @Test
    fun `entries that lapsed while the platform was away have time to come back`() {
        list(2, item("up/1", 1, "ready"), item("up/2", 2, "ready"))
        directory.reachability.failed(1_000)
        directory.reachability.answered(20_000)
        change(item("up/1", 3, null), item("up/2", 4, null), at = 20_000)
        directory.tick(21_500)
        expectThat(eligible().sorted()).isEqualTo(listOf("1", "2"))
        change(item("up/1", 5, "ready"), at = 21_600)
        directory.tick(22_000)
        expectThat(eligible()).isEqualTo(listOf("1"))
    }

    private class Outage(val name: String, val known: (PlatformReachability) -> Unit, val keepsIt: Boolean)

    // Guards against an upstream that left and gets requests for two seconds more, since this gateway or a peer was turned
    // away by the platform, and against losing upstreams whose entries lapsed in an outage.
    @TestFactory
    fun `a removal is put off only when the platform was away for all`(): List<DynamicTest> =
        listOf(
            Outage("it answers this gateway", { known -> answersFrom(known, 0) }, keepsIt = false),
            Outage("it refuses this gateway and answers others", { known ->
                answersFrom(known, 0, until = 5_000)
                known.failed(5_500)
                (5_000L..9_500L step 500).forEach { known.answeredAt(it) }
            }, keepsIt = false),
            Outage("it was away for a short time", { known ->
                answersFrom(known, 0, until = 8_000)
                known.failed(8_100)
            }, keepsIt = true),
            Outage(
                "it was away, and nobody asked it",
                { known -> answersFrom(known, 0, until = 6_000) },
                keepsIt = true,
            ),
            Outage("a peer was answered all the while", { known -> known.answeredOthers(0, 9_900) }, keepsIt = false),
            Outage("a peer was answered before it was away", { known ->
                known.answered(9_900)
                known.answeredOthers(0, 6_000)
            }, keepsIt = true),
        ).map { case ->
            dynamicTest(case.name) {
                directory = UpstreamDirectory(TextDecoder)
                list(2, item("up/1", 1, "ready"), item("up/2", 2, "ready"))
                case.known(directory.reachability)
                directory.reachability.answered(10_000)
                change(item("up/1", 3, null), at = 10_000)
                expectThat(eligible().sorted()).isEqualTo(if (case.keepsIt) listOf("1", "2") else listOf("2"))
                directory.tick(12_000)
                expectThat(eligible()).isEqualTo(listOf("2"))
            }
        }

    private fun answersFrom(known: PlatformReachability, from: Long, until: Long = 9_500) =
        (from..until step 500).forEach { known.answered(it) }

    // Guards against an upstream that is kept although a peer says that the platform was not away when its entry went.
    @Test
    fun `a peer that was answered all the while ends the wait for an entry`() {
        list(2, item("up/1", 1, "ready"), item("up/2", 2, "ready"))
        directory.reachability.answered(10_000)
        change(item("up/1", 3, null), at = 10_000)
        expectThat(eligible().sorted()).isEqualTo(listOf("1", "2"))
        directory.reachability.answeredOthers(1_000, 10_050)
        change(item("up/2", 4, "ready"), at = 10_100)
        expectThat(eligible()).isEqualTo(listOf("2"))
    }

    // Guards against an upstream that left during an outage and is used for ever.
    @Test
    fun `what a listing lacks is gone`() {
        list(2, item("up/1", 1, "ready"), item("up/2", 2, "ready"))
        answered(1_000, 10_000)
        directory.applyListing(PlatformListing(9, listOf(item("up/1", 1, "ready"))), 10_000)
        expectThat(eligible()).isEqualTo(listOf("1"))
    }

    // Guards against a listing that was read before an entry was written and removes it.
    @Test
    fun `what is newer than a listing stays`() {
        list(1, item("up/1", 1, "ready"))
        change(item("up/2", 7, "ready"), at = 10_000)
        directory.applyListing(PlatformListing(5, listOf(item("up/1", 1, "ready"))), 10_000)
        expectThat(eligible().sorted()).isEqualTo(listOf("1", "2"))
    }

    // Guards against changes that are never asked for again because a later page came first.
    @Test
    fun `a page that leaves a gap counts but does not move the revision`() {
        list(3, item("up/1", 1, "ready"))
        directory.applyChanges(8, PlatformChanges(9, listOf(item("up/2", 9, "ready"))), 0)
        expectThat(directory.revision).isEqualTo(3)
        expectThat(eligible().sorted()).isEqualTo(listOf("1", "2"))
    }

    // Guards against an entry that another writer spoils and that stays in use as it was.
    @Test
    fun `an entry that cannot be read names no upstream`() {
        list(1, item("up/1", 1, "ready"), item("up/2", 1, "ready"))
        answered(1_000, 10_000)
        change(item("up/1", 2, "garbage"), at = 10_000)
        expectThat(eligible()).isEqualTo(listOf("2"))
    }

    // Guards against an upstream that is overrun when it has just started or its zone comes back.
    @Test
    fun `upstreams are cold as they say and when their zone comes back`() {
        list(2, item("config", 1, "1"), item("up/1", 2, "cold:1500"), at = 1_000)
        expectThat(known().isCold(2_400)).isEqualTo(true)
        expectThat(known().isCold(2_600)).isEqualTo(false)
        change(item("zone/a", 3, "x"), at = 5_000)
        expectThat(eligible()).isEqualTo(emptyList())
        change(item("zone/a", 4, null), at = 9_000)
        expectThat(eligible()).isEqualTo(listOf("1"))
        expectThat(known().isCold(9_000 + 3_000)).isEqualTo(true)
    }

    private fun known() = expectThat(directory.view().upstreams[desk]?.firstOrNull()).isNotNull().subject
}
