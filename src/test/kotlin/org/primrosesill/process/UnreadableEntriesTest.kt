/*
 * Gateway processes with the heap of the deploy file beside entries of other writers that nobody can use: at a start, and
 * while they are written again and again.
 */
package org.primrosesill.process

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.platform.awaitCondition
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class UnreadableEntriesTest {
    /** @property value returns the value that is written under the key with the given number, in the given round */
    private class Entries(
        val name: String,
        val count: Int,
        val prefix: String = "servers/i-other",
        val value: (Int, Int) -> ByteArray,
    )

    private fun Entries.write(fleet: GatewayProcesses, round: Int) {
        repeat(count) { fleet.site.store.write("$prefix$it", value(it, round)) }
    }

    // Guards against gateways that never become ready after a kill of all processes, as the listing of the platform exceeds a
    // limit because of entries that nobody can use (issue 55, review/9).
    @TestFactory
    fun `processes that start beside unusable entries serve within the recovery time`(): List<DynamicTest> =
        listOf(
            Entries("13 of 1 MB, no text", 13) { _, _ -> ByteArray(MEGABYTE) { 1 } },
            Entries("40 of 1 MB, no UTF-8", 40) { number, round -> randomBytes(MEGABYTE, number, round) },
            Entries("16 of 1 MB, JSON with a long field", 16) { _, _ -> entryWith("state", MEGABYTE).toByteArray() },
            Entries("16 of 1 MB, unknown services", 16) { _, _ -> entryWith("note", MEGABYTE).toByteArray() },
            Entries(
                "16 of 1 MB before the keys of the operator",
                16,
                "a/",
            ) { _, _ -> ByteArray(MEGABYTE) { 'x'.code.toByte() } },
            Entries("6,000 of 300 bytes, no JSON", 6_000) { number, round -> randomBytes(300, number, round) },
        ).map { entries ->
            dynamicTest(entries.name) {
                withFleet { fleet ->
                    entries.write(fleet, round = 0)
                    delay(2.seconds)
                    fleet.gateways.forEach { it.kill() }
                    fleet.gateways.forEach { it.start() }
                    fleet.gateways.forEach { fleet.awaitReady(it, RECOVERY_TIME) }
                    expectInForce(fleet, version = 2)
                }
            }
        }

    // Guards against gateways whose loops end by an exhausted memory, so that they serve an old configuration for ever, and
    // against one that cannot start as the items of its peers are too large (issue 55, review/6).
    @TestFactory
    fun `a version is in force while unusable entries are written again and again`(): List<DynamicTest> =
        listOf(
            Entries("8 of 1 MB, no UTF-8", 8) { number, round -> randomBytes(1_040_000, number, round) },
            Entries("30 of 0.3 MB, JSON with a long field", 30) { number, round ->
                entryWith("state", 300_000 + 10 * round + number).toByteArray()
            },
            Entries("300 of 3 kB, no JSON", 300) { number, round -> randomBytes(3_000, number, round) },
        ).map { entries ->
            dynamicTest(entries.name) {
                withFleet { fleet ->
                    repeat(ROUNDS) { round ->
                        if (round == RESTART_ROUND) {
                            fleet.gateways.last().kill()
                            fleet.gateways.last().start()
                        }
                        entries.write(fleet, round)
                        delay(HEARTBEAT)
                    }
                    fleet.awaitReady(fleet.gateways.last())
                    expectInForce(fleet, version = 2)
                }
            }
        }

    private fun withFleet(use: suspend (GatewayProcesses) -> Unit) =
        GatewayProcesses(count = 3).use { fleet ->
            runBlocking {
                fleet.gateways.forEach { it.start() }
                fleet.gateways.forEach { fleet.awaitReady(it) }
                use(fleet)
            }
        }

    /** Writes [version] with an added route, and checks that all gateways serve it in time and have recorded no fault. */
    private suspend fun expectInForce(fleet: GatewayProcesses, version: Int) {
        fleet.site.configure(version, extraRoutes = 1)
        fleet.gateways.forEach { gateway ->
            awaitCondition("version $version at ${gateway.peerAddress}", APPLY_TIME) {
                fleet.statusOf(gateway, "/extra0/1") == 200
            }
            expectThat(fleet.statusOf(gateway, "/stock/1")).isEqualTo(200)
            expectThat(fleet.metric(gateway, "primrosesill_process_faults")).isEqualTo(0.0)
            expectThat(gateway.logLines.filter { "process-fault" in it }).isEmpty()
        }
    }

    private companion object {
        const val MEGABYTE = 1_000_000
        const val ROUNDS = 10
        const val RESTART_ROUND = 5
        val HEARTBEAT = 1_200.milliseconds

        /** As the pages of the platform state. */
        val RECOVERY_TIME = 12.seconds
        val APPLY_TIME = 2.seconds

        /** Bytes that are no UTF-8. */
        fun randomBytes(size: Int, number: Int, round: Int): ByteArray {
            val bytes = Random(1_000 * round + number).nextBytes(size)
            for (index in bytes.indices) bytes[index] = (bytes[index].toInt() or 0x80).toByte()
            return bytes
        }

        /** Returns an entry of an unknown service with [length] characters in [field]. */
        fun entryWith(field: String, length: Int): String {
            val fields =
                mapOf(
                    "service" to "unknown",
                    "address" to "127.0.0.1:9",
                    "zone" to "a",
                    "state" to "ready",
                    field to "x".repeat(length),
                )
            val members = fields.entries.joinToString(",") { (name, value) -> "\"$name\":\"$value\"" }
            return """{$members,"max_batch":6}"""
        }
    }
}
