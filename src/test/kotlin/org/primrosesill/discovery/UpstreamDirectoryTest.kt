/*
 * The state of the directory after updates that arrive late, twice, out of order or not at all.
 */
package org.primrosesill.discovery

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.primrosesill.forwarding.testConfiguration
import org.primrosesill.forwarding.testPool
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.UpstreamId
import org.primrosesill.route.ColdStartLimits
import org.primrosesill.route.PoolDefinition
import org.primrosesill.route.ServingConfiguration
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decodes the key `config` with a version, keys `zone/ID`, and keys `up/ID` with `ready`, `draining` or `cold:MILLIS`.
 */
internal object TextItemDecoder : PlatformItemDecoder {
    override fun decode(item: PlatformItem): DecodedItem {
        val value = checkNotNull(item.value)
        return when {
            item.key == "config" -> DecodedItem.Configuration(configurationWithColdStart(value.toLong()))
            item.key.startsWith("zone/") -> DecodedItem.ZoneEvacuated(checkNotNull(evacuatedZoneOf(item.key)))
            value == "garbage" -> DecodedItem.Invalid("garbage")
            else -> DecodedItem.Upstream(registration(checkNotNull(upstreamOf(item.key)), value))
        }
    }

    override fun isConfiguration(key: String): Boolean = key == "config"

    override fun upstreamOf(key: String): UpstreamId? =
        key.takeIf { it.startsWith("up/") }?.removePrefix("up/")?.let(::UpstreamId)

    override fun evacuatedZoneOf(key: String): AvailabilityZoneId? =
        key.takeIf { it.startsWith("zone/") }?.removePrefix("zone/")?.let(::AvailabilityZoneId)

    private fun configurationWithColdStart(version: Long): ServingConfiguration {
        val base = testConfiguration(version = version)
        val pool = PoolDefinition(testPool, "/healthz", 96, ColdStartLimits(3.seconds, 10.0), engine = null)
        return ServingConfiguration(version, base.routes, mapOf(testPool to pool), base.limits, base.accounts)
    }

    private fun registration(id: UpstreamId, value: String) =
        UpstreamRegistration(
            id,
            testPool,
            "10.0.0.1:80",
            AvailabilityZoneId("a"),
            "v1",
            6,
            draining = value == "draining",
            coldFor = (value.removePrefix("cold:").toLongOrNull() ?: 0).milliseconds,
            startedAtMillis = null,
        )
}

internal fun item(key: String, revision: Long, value: String?) = PlatformItem(key, revision, value)

class UpstreamDirectoryTest {
    private var directory = UpstreamDirectory(TextItemDecoder)

    private fun eligible() = directory.view().eligible(testPool).map { it.id.value }

    private fun applyListing(revision: Long, vararg items: PlatformItem, at: Long = 0) {
        directory.reachability.recordResponse(at)
        directory.applyListing(PlatformListing(PlatformRevision(revision), items.toList()), at)
    }

    /** Records a response of the platform each second from [fromMillis] to [untilMillis]. */
    private fun platformRespondsEachSecond(fromMillis: Long, untilMillis: Long) =
        (fromMillis..untilMillis step 1_000).forEach { directory.reachability.recordResponse(it) }

    private fun applyChange(vararg items: PlatformItem, at: Long = 0) =
        directory.applyChanges(
            directory.revision,
            PlatformChanges(PlatformRevision(items.maxOf { it.revision }), items.toList()),
            at,
        )

    private class ConfigurationOrder(
        val name: String,
        val versions: List<Pair<Long, String>>,
        val expectedVersion: Long,
    )

    // Guards against a return to an older configuration, whatever the source and the order of the items.
    @TestFactory
    fun `the highest configuration version stays active`(): List<DynamicTest> =
        listOf(
            ConfigurationOrder("in order", listOf(1L to "1", 2L to "5"), 5),
            ConfigurationOrder("an old item again", listOf(2L to "5", 1L to "1"), 5),
            ConfigurationOrder("a newer item with an older version", listOf(2L to "5", 3L to "4"), 5),
            ConfigurationOrder("twice", listOf(2L to "5", 2L to "5"), 5),
        ).map { case ->
            dynamicTest(case.name) {
                val directory = UpstreamDirectory(TextItemDecoder)
                case.versions.forEach { (revision, version) ->
                    val changes = PlatformChanges(PlatformRevision(revision), listOf(item("config", revision, version)))
                    directory.applyChanges(PlatformRevision.NONE, changes, 0)
                }
                expectThat(directory.view().configuration?.version).isEqualTo(case.expectedVersion)
            }
        }

    // Guards against requests to an upstream that is draining or removed, and against the removal of a live one.
    @Test
    fun `an upstream is eligible from its registration until it drains or is removed`() {
        applyListing(1, item("up/1", 1, "ready"), at = 0)
        expectThat(eligible()).isEqualTo(listOf("1"))
        platformRespondsEachSecond(1_000, 10_000)
        applyChange(item("up/1", 2, "draining"), at = 10_000)
        expectThat(eligible()).isEqualTo(emptyList())
        applyChange(item("up/2", 3, "ready"), at = 10_000)
        applyChange(item("up/2", 4, null), at = 10_000)
        expectThat(directory.view().upstreams[testPool]?.map { it.id.value }).isEqualTo(listOf("1"))
    }

    // Guards against an empty set of upstreams after an outage of the platform in which their entries expired.
    @Test
    fun `entries that expired during a platform outage have time to be registered again`() {
        applyListing(2, item("up/1", 1, "ready"), item("up/2", 2, "ready"))
        directory.reachability.recordFailure(1_000)
        directory.reachability.recordResponse(20_000)
        applyChange(item("up/1", 3, null), item("up/2", 4, null), at = 20_000)
        directory.tick(21_500)
        expectThat(eligible().sorted()).isEqualTo(listOf("1", "2"))
        applyChange(item("up/1", 5, "ready"), at = 21_600)
        directory.tick(22_000)
        expectThat(eligible()).isEqualTo(listOf("1"))
    }

    private class RemovalCase(val name: String, val record: (PlatformReachability) -> Unit, val staysListed: Boolean)

    // Guards against two more seconds of requests to an upstream that was removed, which happened when the platform
    // refused this gateway or a peer, and against the removal of upstreams whose entries expired in an outage.
    @TestFactory
    fun `a removal is delayed only when the platform was unavailable to all gateways`(): List<DynamicTest> =
        listOf(
            RemovalCase(
                "it responds to this gateway",
                { reachability -> respondFrom(reachability, 0) },
                staysListed = false,
            ),
            RemovalCase("it refuses this gateway and responds to others", { reachability ->
                respondFrom(reachability, 0, until = 5_000)
                reachability.recordFailure(5_500)
                (5_000L..9_500L step 500).forEach { reachability.recordResponseAt(it) }
            }, staysListed = false),
            RemovalCase("it was unavailable for a short time", { reachability ->
                respondFrom(reachability, 0, until = 8_000)
                reachability.recordFailure(8_100)
            }, staysListed = true),
            RemovalCase(
                "it was unavailable, and no gateway called it",
                { reachability -> respondFrom(reachability, 0, until = 6_000) },
                staysListed = true,
            ),
            RemovalCase(
                "a peer received responses all the while",
                { reachability -> reachability.recordPeerResponses(0, 9_900) },
                staysListed = false,
            ),
            RemovalCase("a peer received responses before the outage", { reachability ->
                reachability.recordResponse(9_900)
                reachability.recordPeerResponses(0, 6_000)
            }, staysListed = true),
        ).map { case ->
            dynamicTest(case.name) {
                directory = UpstreamDirectory(TextItemDecoder)
                applyListing(2, item("up/1", 1, "ready"), item("up/2", 2, "ready"))
                case.record(directory.reachability)
                directory.reachability.recordResponse(10_000)
                applyChange(item("up/1", 3, null), at = 10_000)
                expectThat(eligible().sorted()).isEqualTo(if (case.staysListed) listOf("1", "2") else listOf("2"))
                directory.tick(12_000)
                expectThat(eligible()).isEqualTo(listOf("2"))
            }
        }

    private fun respondFrom(reachability: PlatformReachability, from: Long, until: Long = 9_500) =
        (from..until step 500).forEach { reachability.recordResponse(it) }

    // Guards against an upstream that stays although a peer reports that the platform was available when its entry was
    // removed.
    @Test
    fun `a peer with uninterrupted responses from the platform ends the grace time of an entry`() {
        applyListing(2, item("up/1", 1, "ready"), item("up/2", 2, "ready"))
        directory.reachability.recordResponse(10_000)
        applyChange(item("up/1", 3, null), at = 10_000)
        expectThat(eligible().sorted()).isEqualTo(listOf("1", "2"))
        directory.reachability.recordPeerResponses(1_000, 10_050)
        applyChange(item("up/2", 4, "ready"), at = 10_100)
        expectThat(eligible()).isEqualTo(listOf("2"))
    }

    // Guards against an upstream that was removed during an outage and stays eligible without end.
    @Test
    fun `items that a listing lacks are deleted`() {
        applyListing(2, item("up/1", 1, "ready"), item("up/2", 2, "ready"))
        platformRespondsEachSecond(1_000, 10_000)
        directory.applyListing(PlatformListing(PlatformRevision(9), listOf(item("up/1", 1, "ready"))), 10_000)
        expectThat(eligible()).isEqualTo(listOf("1"))
    }

    // Guards against a listing that was read before an entry was written and deletes that entry.
    @Test
    fun `items newer than a listing stay`() {
        applyListing(1, item("up/1", 1, "ready"))
        applyChange(item("up/2", 7, "ready"), at = 10_000)
        directory.applyListing(PlatformListing(PlatformRevision(5), listOf(item("up/1", 1, "ready"))), 10_000)
        expectThat(eligible().sorted()).isEqualTo(listOf("1", "2"))
    }

    // Guards against changes that are never fetched because a later page arrived first.
    @Test
    fun `a page that leaves a gap is applied but does not advance the revision`() {
        applyListing(3, item("up/1", 1, "ready"))
        val changes = PlatformChanges(PlatformRevision(9), listOf(item("up/2", 9, "ready")))
        directory.applyChanges(PlatformRevision(8), changes, 0)
        expectThat(directory.revision).isEqualTo(PlatformRevision(3))
        expectThat(eligible().sorted()).isEqualTo(listOf("1", "2"))
    }

    // Guards against the use of an earlier entry after another writer has overwritten it with an invalid value.
    @Test
    fun `an invalid entry removes its upstream`() {
        applyListing(1, item("up/1", 1, "ready"), item("up/2", 1, "ready"))
        platformRespondsEachSecond(1_000, 10_000)
        applyChange(item("up/1", 2, "garbage"), at = 10_000)
        expectThat(eligible()).isEqualTo(listOf("2"))
    }

    // Guards against overload of an upstream that has just started or whose zone has just been restored.
    @Test
    fun `upstreams are cold as registered and after their zone is restored`() {
        applyListing(2, item("config", 1, "1"), item("up/1", 2, "cold:1500"), at = 1_000)
        expectThat(firstUpstream().isCold(2_400)).isEqualTo(true)
        expectThat(firstUpstream().isCold(2_600)).isEqualTo(false)
        applyChange(item("zone/a", 3, "x"), at = 5_000)
        expectThat(eligible()).isEqualTo(emptyList())
        applyChange(item("zone/a", 4, null), at = 9_000)
        expectThat(eligible()).isEqualTo(listOf("1"))
        expectThat(firstUpstream().isCold(9_000 + 3_000)).isEqualTo(true)
    }

    private fun firstUpstream() = expectThat(directory.view().upstreams[testPool]?.firstOrNull()).isNotNull().subject
}
