/*
 * Tests the event log: one line of JSON for each event, with sequence numbers without gaps.
 */
package org.primrosesill.event

import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Test
import org.primrosesill.generated.EventRecord
import org.primrosesill.generated.EventType
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.RequestId
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import java.io.ByteArrayOutputStream
import java.io.PrintStream

class EventLogTest {
    // Guards against event lines without the order or the cause of decisions.
    @Test
    fun `each event is one JSON line with its sequence number and cause`() {
        val bytes = ByteArrayOutputStream()
        val log = jsonEventLog("router-1", AvailabilityZoneId("a"), PrintStream(bytes)) { 1_000 }

        log.record(EventType.PROCESS_STARTED, "started by a test")
        log.record(EventType.REQUEST_REFUSED, "line\nbreak", EventSubject(request = RequestId("r1")))

        val records =
            bytes
                .toString()
                .lines()
                .filter(String::isNotEmpty)
                .map { Json.decodeFromString<EventRecord>(it) }
        expectThat(records.map { it.sequence }).containsExactly(1, 2)
        expectThat(records[1].cause).isEqualTo("line\nbreak")
        expectThat(records[1].request).isEqualTo(RequestId("r1"))
    }
}
