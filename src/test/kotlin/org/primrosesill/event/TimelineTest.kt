/*
 * Contract of the time line: order across clocks that differ, tolerance of damaged logs, filters, and safe output.
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

    // Guards against an account in which an upstream seems to run what nobody has routed yet.
    @ParameterizedTest(name = "requests are in causal order although clocks differ by up to an hour, seed {0}")
    @ValueSource(longs = [1, 2, 3, 4, 5])
    fun `clocks that differ`(seed: Long) {
        println("seed $seed")
        val random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
        val clocks = mutableMapOf<String, Long>()
        val logs = mutableMapOf<String, MutableList<EventRecord>>()

        fun log(type: EventType, process: String, request: String, upstream: String, atMillis: Long) {
            val skew = clocks.getOrPut(process) { random.nextInt(7_200_000) - 3_600_000L }
            val log = logs.getOrPut(process, ::mutableListOf)
            log += record(type, process, log.size + 1L, atMillis + skew, request = request, upstream = upstream)
        }
        repeat(300) { request ->
            val engine = "engine${random.nextInt(8)}"
            val router = "router${random.nextInt(6)}"
            lifecycle.forEachIndexed { step, (type, role) ->
                // A router adds a suffix to the request's name in its call to the upstream.
                val name = if (role == "router") "r$request" else "r$request.suffix-1"
                log(type, if (role == "router") router else engine, name, engine, request * 20L + step * 3)
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

    // Guards against corrections that invent a difference, hide a clock that was set, or overrule the operator.
    @TestFactory
    fun corrections(): List<DynamicTest> {
        fun request(id: String, skew: Long, at: Long) =
            listOf(
                record(EventType.REQUEST_ROUTED, "router", at, at, request = id, upstream = "engine"),
                record(EventType.REQUEST_EXECUTED, "engine", at + 1, at + 1 + skew, request = id, upstream = "engine"),
                record(EventType.REQUEST_FINISHED, "engine", at + 8, at + 8 + skew, request = id, upstream = "engine"),
                record(EventType.REQUEST_FINISHED, "router", at + 9, at + 9, request = id, upstream = "engine"),
            )

        fun clock(records: List<EventRecord>, given: Map<String, Long> = emptyMap()) =
            estimateClocks(records, given).getValue("engine")
        return mapOf(
            "clocks that may agree are left alone" to
                (clock(request("a", 0, 100)) to ClockCorrection(0, 1, 1)),
            "a clock 5 s ahead is set back" to
                (clock(request("a", 5_000, 100) + request("b", 5_000, 200)) to ClockCorrection(-5_000, 1, 2)),
            "a clock that was set in between is reported" to
                (
                    clock(request("a", 0, 100) + request("b", 5_000, 200)).copy(millis = 0) to
                        ClockCorrection(0, null, 2, consistent = false)
                ),
            "what the operator gives is kept" to
                (clock(request("a", 5_000, 100), mapOf("engine" to 7L)) to ClockCorrection(7, given = true)),
            "a process that shares no request is left alone" to
                (clock(request("a", 5_000, 100).filter { it.process == "engine" }) to ClockCorrection()),
        ).map { (name, case) -> DynamicTest.dynamicTest(name) { expectThat(case.first).isEqualTo(case.second) } }
    }

    // Guards against one bad line that hides a whole log, and against losses that nobody notices.
    @Test
    fun `damaged logs tell what they can, and what is lost is counted`() {
        val lines = listOf(1L, 2L, 5L).map { Json.encodeToString(record(EventType.ZONE_OUT, "p", it, it)) }
        val damaged =
            sequenceOf(lines[0], "", "{\"atMillis\":1", "\u0000", "[]", lines[1], lines[2].dropLast(3), lines[2])
        val file = readEvents("p.log", damaged)
        val timeline = mergeTimeline(listOf(file, file))
        expectThat(timeline.entries.map { it.record.sequence }).containsExactly(1, 2, 5)
        expectThat(file.malformed).isEqualTo(4)
        expectThat(timeline.missing).isEqualTo(mapOf("p" to 2L))
    }

    // Guards against an order within a process that follows its clock or its threads, and against false losses.
    @TestFactory
    fun `order of one process`(): List<DynamicTest> =
        mapOf(
            "a clock that is set back" to (listOf(1L to 100L, 2L to 50L, 3L to 120L) to listOf(100L, 100L, 120L)),
            "lines that threads wrote in another order" to
                (listOf(1L to 1L, 3L to 2L, 2L to 1L, 4L to 3L) to listOf(1L, 1L, 2L, 3L)),
            "a process that was started again" to
                (listOf(1L to 1L, 2L to 2L, 1L to 7L, 2L to 8L) to listOf(1L, 2L, 7L, 8L)),
        ).map { (name, case) ->
            DynamicTest.dynamicTest("$name keeps its order and shows no loss") {
                val records = case.first.map { (sequence, at) -> record(EventType.ZONE_OUT, "p", sequence, at) }
                val timeline = mergeTimeline(listOf(EventFile("p", records, 0)))
                expectThat(timeline.entries.map { it.atMillis }).isEqualTo(case.second)
                expectThat(timeline.missing).isEqualTo(emptyMap())
            }
        }

    // Guards against an answer to "what happened to this customer" that leaves out the upstream's side.
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
            DynamicTest.dynamicTest("$filter shows events $expected") {
                val shown = mergeTimeline(listOf(EventFile("f", records, 0)), filter).entries
                expectThat(shown.map { it.record.atMillis.toInt() }).isEqualTo(expected)
            }
        }
    }

    // Guards against text of callers and upstreams that runs in the operator's browser or steers the terminal.
    @Test
    fun `text from outside is escaped on the page and in the list`() {
        val evil = "<script>alert('1')</script>\"&\u001b[2J\n"
        val bad =
            record(EventType.REQUEST_REFUSED, evil, 1, 1, evil, evil, evil, evil, evil).copy(cause = evil)
        val timeline = mergeTimeline(listOf(EventFile(evil, listOf(bad), 1)))
        val page = buildString { renderHtml(timeline, this) }
        expectThat(page.contains("<script")).isFalse()
        expectThat(page.split("&lt;script&gt;alert(&#39;1&#39;)").size - 1).isEqualTo(7)
        val list = renderText(timeline).single() + renderNotes(timeline).single()
        expectThat(list.filter { it.isISOControl() }).isEqualTo("")
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
