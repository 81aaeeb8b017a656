/*
 * The document store under reordered, repeated, stale and invalid pages. Guards against a router that returns to an
 * older document, accepts an invalid one, or validates an entry differently from its peers.
 */
package org.primrosesill.configuration

import arrow.core.Either
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.generated.ConfigurationEntry
import org.primrosesill.generated.ConfigurationPage
import org.primrosesill.model.CustomerId
import org.primrosesill.model.DocumentName
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThanOrEqualTo

private fun json(text: String): JsonObject = Json.parseToJsonElement(text).jsonObject

internal fun contractEntry(customer: String, revision: Long, rate: Any = revision, hash: String = "ab") =
    ConfigurationEntry(
        DocumentName("contract/$customer"),
        revision,
        body =
            json(
                """{"customer":"$customer","credentialHashes":["${hash.repeat(
                    32,
                )}"],"requestsPerSecond":$rate,"concurrentRequests":9}""",
            ),
    )

internal fun fleetEntry(revision: Long, zoneOut: Boolean = false, allow: Boolean = false) =
    ConfigurationEntry(
        DocumentName("fleet"),
        revision,
        body =
            json(
                """{"availabilityZones":[{"id":"a","outOfService":$zoneOut}],"pools":[],"allowAllZonesOut":$allow}""",
            ),
    )

internal fun deletion(customer: String, revision: Long) =
    ConfigurationEntry(DocumentName("contract/$customer"), revision, deleted = true)

internal fun page(vararg entries: ConfigurationEntry) =
    ConfigurationPage(
        entries.maxOfOrNull {
            it.revision
        } ?: 0,
        entries.toList(),
    )

private fun DocumentStore.rate(customer: String) = snapshot.contracts[CustomerId(customer)]?.requestsPerSecond

class DocumentStoreTest {
    private class Case(val name: String, val pages: List<ConfigurationPage>, val rate: Double?, val refused: Int = 0)

    private val invalid = contractEntry("x", 4, "-1")

    @TestFactory
    fun `the contract in force is`() =
        listOf(
            Case(
                "the newest when pages are reordered",
                listOf(page(contractEntry("x", 9)), page(contractEntry("x", 5))),
                9.0,
            ),
            Case(
                "unchanged when a page is received twice",
                listOf(page(contractEntry("x", 5)), page(contractEntry("x", 5, 7))),
                5.0,
            ),
            Case(
                "absent after its deletion, also when the platform is stale",
                listOf(page(deletion("x", 6)), page(contractEntry("x", 5))),
                null,
            ),
            Case("present when it is created again", listOf(page(deletion("x", 6)), page(contractEntry("x", 7))), 7.0),
            Case("the last of two concurrent changes", listOf(page(contractEntry("x", 5), contractEntry("x", 6))), 6.0),
            Case("the one before a refused one", listOf(page(contractEntry("x", 3)), page(invalid)), 3.0, refused = 1),
            Case(
                "the one before a refused one, received later",
                listOf(page(invalid), page(contractEntry("x", 3))),
                3.0,
                refused = 1,
            ),
            Case(
                "the correction of a refused one",
                listOf(page(contractEntry("x", 3), invalid), page(contractEntry("x", 5))),
                5.0,
            ),
            Case(
                "unchanged by a page whose entries are newer than the page",
                listOf(page(contractEntry("x", 3)), ConfigurationPage(4, listOf(contractEntry("x", 8)))),
                3.0,
            ),
            Case(
                "unchanged by a page with a negative revision",
                listOf(page(contractEntry("x", 3)), ConfigurationPage(-4, emptyList())),
                3.0,
            ),
        ).map { case ->
            dynamicTest(case.name) {
                val store = DocumentStore()
                case.pages.forEach { store.apply(it, 0) }
                expectThat(store.rate("x")).isEqualTo(case.rate)
                expectThat(store.refused().size).isEqualTo(case.refused)
            }
        }

    @TestFactory
    fun `a fleet document`() =
        listOf(
            Triple("that takes every zone out of service is refused", fleetEntry(2, zoneOut = true), false),
            Triple(
                "that takes every zone out of service and allows it is accepted",
                fleetEntry(2, zoneOut = true, allow = true),
                true,
            ),
            Triple("cannot be deleted", ConfigurationEntry(DocumentName("fleet"), 2, deleted = true), false),
        ).map { (name, entry, accepted) ->
            dynamicTest(name) {
                val store = DocumentStore().also { it.apply(page(fleetEntry(1)), 0) }
                val report = (store.apply(page(entry), 0) as Either.Right).value
                expectThat(report.accepted.size).isEqualTo(if (accepted) 1 else 0)
                val zonesOut =
                    store.snapshot.fleet
                        ?.availabilityZones
                        ?.count { it.outOfService }
                expectThat(zonesOut).isEqualTo(
                    if (accepted) {
                        store.snapshot.fleet
                            ?.availabilityZones
                            ?.size
                    } else {
                        0
                    },
                )
                expectThat(store.revision).isEqualTo(2)
            }
        }

    /**
     * Guards against a revision that skips a lost page, or a far too high one without entries: both would hide
     * documents permanently.
     */
    @TestFactory
    fun `the revision that is requested next`() =
        listOf(
            Triple(
                "does not exceed that of the last entry of a page",
                ConfigurationPage(1_000_000, listOf(fleetEntry(7))),
                5L to 7L,
            ),
            Triple("does not skip a gap", page(fleetEntry(90)), 80L to 5L),
            Triple("does not decrease", ConfigurationPage(2, emptyList()), 0L to 5L),
        ).map { (name, page, expected) ->
            dynamicTest(name) {
                val store = DocumentStore().also { it.apply(page(fleetEntry(5)), 0) }
                store.apply(page, 0, since = expected.first)
                expectThat(store.revision).isEqualTo(expected.second)
            }
        }

    /** Guards against pages between routers that omit refused documents, their predecessors or deletions. */
    @TestFactory
    fun `a new router reaches the state of its peer through pages`() =
        listOf(100, 2_000, 1_000_000).map { maximumBytes ->
            dynamicTest("of $maximumBytes bytes") {
                val peer = DocumentStore()
                peer.apply(
                    page(fleetEntry(1), contractEntry("x", 3), invalid, deletion("y", 6), contractEntry("z", 8)),
                    0,
                )
                val fresh = DocumentStore()
                var pages = 0
                do {
                    val page = peer.page(fresh.revision, maximumBytes)
                    fresh.apply(page, 0)
                } while (page.more && ++pages < 10)
                expectThat(fresh.snapshot).isEqualTo(peer.snapshot)
                expectThat(fresh.refused().map { it.errors }).isEqualTo(peer.refused().map { it.errors })
                expectThat(fresh.lacksPredecessor()).isEqualTo(false)
            }
        }

    @TestFactory
    fun `no document reverts and routers with the same entries agree, seed`() =
        (1L..20L).map { seed ->
            dynamicTest("$seed") {
                val random = RandomSource.XO_SHI_RO_256_PP.create(seed)
                val entries =
                    (1L..200L).map { revision ->
                        val customer = "c${random.nextInt(8)}"
                        when (random.nextInt(6)) {
                            0 -> deletion(customer, revision)
                            1 -> contractEntry(customer, revision, "\"much\"")
                            2 -> fleetEntry(revision, zoneOut = random.nextBoolean())
                            else -> contractEntry(customer, revision, hash = if (random.nextBoolean()) "ab" else "cd")
                        }
                    }
                val stores = List(2) { DocumentStore() }
                for (store in stores) {
                    val highest = HashMap<DocumentName, Long>()
                    val deliveries =
                        entries.shuffled(kotlin.random.Random(random.nextLong())) +
                            entries.filter { random.nextBoolean() }
                    for (entry in deliveries) {
                        val report = (store.apply(page(entry), 0) as Either.Right).value
                        for (accepted in report.accepted) {
                            expectThat(accepted.revision).isGreaterThanOrEqualTo(highest[accepted.name] ?: 0)
                            highest[accepted.name] = accepted.revision
                        }
                    }
                    expectThat(highest.size).isLessThanOrEqualTo(9)
                }
                expectThat(stores[0].snapshot).isEqualTo(stores[1].snapshot)
                expectThat(stores[0].snapshot.fleet).isA<org.primrosesill.generated.FleetDocument>()
            }
        }
}
