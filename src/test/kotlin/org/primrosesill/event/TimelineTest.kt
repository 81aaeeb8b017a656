/*
 * Tests the timeline: order across clocks that differ, tolerance of damaged logs, filters, and escaping of output.
 */
package org.primrosesill.event

import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.apache.commons.rng.simple.RandomSource
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import org.primrosesill.generated.EventRecord
import org.primrosesill.generated.EventType
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.CustomerId
import org.primrosesill.model.RequestId
import org.primrosesill.model.UpstreamId
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse

class TimelineTest {
    private val lifecycle =
        listOf(
            EventType.REQUEST_ROUTED to "router",
            EventType.REQUEST_EXECUTED to "engine",
            EventType.REQUEST_FINISHED to "engine",
            EventType.REQUEST_FINISHED to "router",
        )

    // Guards against a timeline in which an upstream executes a request before a router has routed it.
    @ParameterizedTest(name = "requests are in causal order although clocks differ by up to an hour, seed {0}")
    @ValueSource(longs = [1, 2, 3, 4, 5])
    fun `causal order with clock skew`(seed: Long) {
        println("seed $seed")
        val random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
        val skews = mutableMapOf<String, Long>()
        val logs = mutableMapOf<String, MutableList<EventRecord>>()

        fun log(type: EventType, process: String, request: String, upstream: String, atMillis: Long) {
            val skew = skews.getOrPut(process) { random.nextInt(7_200_000) - 3_600_000L }
            val log = logs.getOrPut(process, ::mutableListOf)
            log += record(type, process, log.size + 1L, atMillis + skew, request = request, upstream = upstream)
        }
        repeat(300) { request ->
            val engine = "engine${random.nextInt(8)}"
            val router = "router${random.nextInt(6)}"
            lifecycle.forEachIndexed { step, (type, role) ->
                // A router appends a suffix to the request id in its call to the upstream.
                val requestId = if (role == "router") "r$request" else "r$request.suffix-1"
                log(type, if (role == "router") router else engine, requestId, engine, request * 20L + step * 3)
            }
        }

        val timeline = mergeTimeline(logs.map { (process, records) -> EventFile(process, records, 0) })

        val outOfOrder =
            timeline.entries
                .groupBy {
                    it.record.request
                        ?.value
                        ?.substringBefore('.')
                }.count { (_, entries) ->
                    entries.map { it.record.type to it.record.process.trimEnd { c -> c.isDigit() } } != lifecycle
                }
        expectThat(outOfOrder).isEqualTo(0)
        expectThat(timeline.entries.size).isEqualTo(1_200)
    }

    // Guards against corrections of equal clocks, an unreported clock step, and overriding the operator's offset.
    @TestFactory
    fun `clock corrections`(): List<DynamicTest> {
        fun request(id: String, skew: Long, at: Long) =
            listOf(
                record(EventType.REQUEST_ROUTED, "router", at, at, request = id, upstream = "engine"),
                record(EventType.REQUEST_EXECUTED, "engine", at + 1, at + 1 + skew, request = id, upstream = "engine"),
                record(EventType.REQUEST_FINISHED, "engine", at + 8, at + 8 + skew, request = id, upstream = "engine"),
                record(EventType.REQUEST_FINISHED, "router", at + 9, at + 9, request = id, upstream = "engine"),
            )

        fun clock(records: List<EventRecord>, operatorOffsets: Map<String, Long> = emptyMap()) =
            estimateClockCorrections(records, operatorOffsets).getValue("engine")
        return mapOf(
            "clocks that may be equal are not corrected" to
                (clock(request("a", 0, 100)) to ClockCorrection(0, 1, 1)),
            "a clock 5 s ahead is corrected by -5 s" to
                (clock(request("a", 5_000, 100) + request("b", 5_000, 200)) to ClockCorrection(-5_000, 1, 2)),
            "a clock that was stepped between requests is reported as inconsistent" to
                (
                    clock(request("a", 0, 100) + request("b", 5_000, 200)).copy(millis = 0) to
                        ClockCorrection(0, null, 2, consistent = false)
                ),
            "the operator's offset is kept" to
                (clock(request("a", 5_000, 100), mapOf("engine" to 7L)) to ClockCorrection(7, setByOperator = true)),
            "a process without shared requests is not corrected" to
                (clock(request("a", 5_000, 100).filter { it.process == "engine" }) to ClockCorrection()),
        ).map { (name, case) -> DynamicTest.dynamicTest(name) { expectThat(case.first).isEqualTo(case.second) } }
    }

    // Guards against one malformed line that makes a whole log unreadable, and against unreported lost events.
    @Test
    fun `valid events of damaged logs are read, and malformed lines and missing events are counted`() {
        val lines = listOf(1L, 2L, 5L).map { Json.encodeToString(record(EventType.ZONE_OUT, "p", it, it)) }
        val damaged =
            sequenceOf(lines[0], "", "{\"atMillis\":1", "\u0000", "[]", lines[1], lines[2].dropLast(3), lines[2])
        val file = readEvents("p.log", damaged)
        val timeline = mergeTimeline(listOf(file, file))
        expectThat(timeline.entries.map { it.record.sequence }).containsExactly(1, 2, 5)
        expectThat(file.malformed).isEqualTo(4)
        expectThat(timeline.missing).isEqualTo(mapOf("p" to 2L))
    }

    // Guards against ordering a process's events by its clock or by write order, and against falsely reported losses.
    @TestFactory
    fun `event order within one process`(): List<DynamicTest> =
        mapOf(
            "a clock that is set back" to (listOf(1L to 100L, 2L to 50L, 3L to 120L) to listOf(100L, 100L, 120L)),
            "lines that threads wrote out of sequence order" to
                (listOf(1L to 1L, 3L to 2L, 2L to 1L, 4L to 3L) to listOf(1L, 1L, 2L, 3L)),
            "a process that was restarted" to
                (listOf(1L to 1L, 2L to 2L, 1L to 7L, 2L to 8L) to listOf(1L, 2L, 7L, 8L)),
        ).map { (name, case) ->
            DynamicTest.dynamicTest("$name keeps sequence order and reports no missing events") {
                val records = case.first.map { (sequence, at) -> record(EventType.ZONE_OUT, "p", sequence, at) }
                val timeline = mergeTimeline(listOf(EventFile("p", records, 0)))
                expectThat(timeline.entries.map { it.atMillis }).isEqualTo(case.second)
                expectThat(timeline.missing).isEqualTo(emptyMap())
            }
        }

    // Guards against a customer filter that omits the events of the upstream.
    @TestFactory
    fun filters(): List<DynamicTest> {
        val records =
            listOf(
                record(EventType.REQUEST_ROUTED, "router", 1, 1, request = "a", upstream = "e1", customer = "c1"),
                record(EventType.REQUEST_EXECUTED, "e1", 1, 2, request = "a.x-1", upstream = "e1", zone = "z1"),
                record(EventType.REQUEST_ROUTED, "router", 2, 3, request = "b", upstream = "e2", customer = "c2"),
                record(EventType.ZONE_OUT, "router", 3, 4, subject = "z1"),
                record(EventType.PROCESS_STOPPING, "e2", 1, 5),
            )
        return mapOf(
            TimelineFilter() to listOf(1, 2, 3, 4, 5),
            TimelineFilter(request = RequestId("a")) to listOf(1, 2),
            TimelineFilter(upstream = UpstreamId("e2")) to listOf(3, 5),
            TimelineFilter(availabilityZone = AvailabilityZoneId("z1")) to listOf(2, 4),
            TimelineFilter(customer = CustomerId("c1")) to listOf(1, 2),
            TimelineFilter(customer = CustomerId("c2"), upstream = UpstreamId("e1")) to emptyList(),
        ).map { (filter, expected) ->
            DynamicTest.dynamicTest("$filter selects events $expected") {
                val entries = mergeTimeline(listOf(EventFile("f", records, 0)), filter).entries
                expectThat(entries.map { it.record.atMillis.toInt() }).isEqualTo(expected)
            }
        }
    }

    // Guards against text of callers and upstreams that runs as a script in the browser or controls the terminal.
    @Test
    fun `untrusted text is escaped in HTML and in plain text`() {
        val untrusted = "<script>alert('1')</script>\"&\u001b[2J\n"
        val record =
            record(EventType.REQUEST_REFUSED, untrusted, 1, 1, untrusted, untrusted, untrusted, untrusted, untrusted)
                .copy(cause = untrusted)
        val timeline = mergeTimeline(listOf(EventFile(untrusted, listOf(record), 1)))
        val page = buildString { renderHtml(timeline, this) }
        expectThat(page.contains("<script")).isFalse()
        expectThat(page.split("&lt;script&gt;alert(&#39;1&#39;)").size - 1).isEqualTo(7)
        val text = renderText(timeline).single() + renderNotes(timeline).single()
        expectThat(text.filter { it.isISOControl() }).isEqualTo("")
    }

    private fun record(
        type: EventType,
        process: String,
        sequence: Long,
        atMillis: Long,
        request: String? = null,
        upstream: String? = null,
        customer: String? = null,
        zone: String? = null,
        subject: String? = null,
    ) = EventRecord(
        atMillis = atMillis,
        process = process,
        sequence = sequence,
        type = type,
        availabilityZone = zone?.let(::AvailabilityZoneId),
        request = request?.let(::RequestId),
        upstream = upstream?.let(::UpstreamId),
        customer = customer?.let(::CustomerId),
        subject = subject,
    )
}
