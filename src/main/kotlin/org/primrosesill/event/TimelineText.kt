/*
 * Renders a timeline as plain text.
 */
package org.primrosesill.event

import java.time.DateTimeException
import java.time.Instant
import java.time.ZoneOffset
import java.time.format.DateTimeFormatter

private val timestampFormat = DateTimeFormatter.ofPattern("yyyy-MM-dd HH:mm:ss.SSS").withZone(ZoneOffset.UTC)

/** Formats a time in UTC with milliseconds. A time outside the range of the calendar is printed as a number. */
internal fun formatInstant(millis: Long): String =
    try {
        timestampFormat.format(Instant.ofEpochMilli(millis))
    } catch (_: DateTimeException) {
        millis.toString()
    }

/** Returns the identifiers of the objects that an event concerns, each with its label. */
internal fun subjectLabels(entry: TimelineEntry): List<Pair<String, String>> =
    listOfNotNull(
        entry.record.request?.let { "request" to it.value },
        entry.record.upstream?.let { "upstream" to it.value },
        entry.record.customer?.let { "customer" to it.value },
        entry.record.subject?.let { "subject" to it },
        entry.record.configurationRevision?.let { "revision" to it.toString() },
    )

/** Returns one line for each event: time in UTC, process, zone, type, subjects and cause. */
internal fun renderText(timeline: Timeline): Sequence<String> {
    val processWidth = timeline.processes.maxOfOrNull { it.length } ?: 0
    return timeline.entries.asSequence().map { entry ->
        val record = entry.record
        val labels = subjectLabels(entry).joinToString(" ") { (label, value) -> "$label=$value" }
        printable(
            "${formatInstant(entry.atMillis)}  ${record.process.padEnd(processWidth)}  " +
                "${(record.availabilityZone?.value ?: "-").padEnd(ZONE_WIDTH)}  " +
                "${record.type.value.padEnd(
                    TYPE_WIDTH,
                )}  $labels${if (record.cause.isEmpty()) "" else "  ${record.cause}"}",
        )
    }
}

/** Returns notes on what may make the order inaccurate: clock corrections, malformed lines and missing events. */
internal fun renderNotes(timeline: Timeline): List<String> =
    timeline.clocks.filterValues { it.millis != 0L || !it.consistent }.map { (process, clock) ->
        printable("clock of $process: ${clock.millis} ms added, ${correctionBasis(clock)}")
    } +
        timeline.malformed.map { (file, count) -> printable("$file: $count malformed lines left out") } +
        timeline.missing.map { (process, count) -> printable("$process: $count events missing from its log") }

private fun correctionBasis(clock: ClockCorrection): String =
    when {
        clock.setByOperator -> "as given"
        !clock.consistent -> "estimated from ${clock.requests} requests that do not agree; the clock may have been set"
        else -> "estimated from ${clock.requests} requests" + (clock.uncertaintyMillis?.let { ", ± $it ms" } ?: "")
    }

private const val ZONE_WIDTH = 4
private const val TYPE_WIDTH = 22
