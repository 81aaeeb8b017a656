/*
 * Renders a timeline as one HTML page without scripts and external references, with one column for each process. Every
 * text from a log is escaped, because callers and upstreams control parts of it.
 */
package org.primrosesill.event

import org.primrosesill.generated.EventType

private const val STYLE =
    "body{font:14px sans-serif;margin:1em}table{border-collapse:collapse}" +
        "th{position:sticky;top:0;background:#fff;text-align:left;padding:.3em .6em;border-bottom:2px solid #888}" +
        "td{vertical-align:top;padding:.2em .6em;border-left:1px solid #ccc;max-width:26em;overflow-wrap:anywhere}" +
        "td.time{white-space:nowrap;font-family:monospace;border:0}tr:hover{background:#f3f3f3}" +
        ".refusal{color:#a00000}.change{color:#004a9f}.cause{color:#555}.about{font-family:monospace;font-size:12px}"

// Event types that an operator looks for first; the types in trafficTypes are ordinary traffic.
private val failureTypes =
    setOf(
        EventType.REQUEST_REFUSED,
        EventType.OUTCOME_UNKNOWN,
        EventType.ANSWER_CUT,
        EventType.ANSWER_DROPPED,
        EventType.CLAIM_DENIED,
        EventType.CONFIGURATION_REFUSED,
        EventType.UPSTREAM_FAILING,
        EventType.UPSTREAM_LOST,
        EventType.MEMBER_LOST,
    )
private val trafficTypes =
    setOf(
        EventType.REQUEST_ROUTED,
        EventType.REQUEST_EXECUTED,
        EventType.REQUEST_FINISHED,
        EventType.REQUEST_RETRIED,
        EventType.ANSWER_REPLAYED,
        EventType.CLAIM_GRANTED,
        EventType.CLAIM_RELEASED,
    )

/** Writes the HTML page of [timeline] to [output]. */
internal fun renderHtml(timeline: Timeline, output: Appendable) {
    val columns = timeline.processes
    output.append("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Time line</title>\n")
    output.append(
        "<meta http-equiv=\"Content-Security-Policy\" content=\"default-src 'none'; style-src 'unsafe-inline'\">\n",
    )
    output.append("<style>$STYLE</style></head><body>\n<h1>Time line</h1>\n")
    output.append("<p>${timeline.entries.size} events of ${columns.size} processes, times in UTC.</p>\n")
    val notes = renderNotes(timeline)
    if (notes.isNotEmpty()) {
        output.append(notes.joinToString("", "<ul>", "</ul>\n") { "<li>${escapeHtml(it)}</li>" })
    }
    output.append("<table><thead><tr><th>time</th>")
    columns.forEach { output.append("<th>${escapeHtml(it)}</th>") }
    output.append("</tr></thead><tbody>\n")
    timeline.entries.forEach { output.append(row(it, columns)) }
    output.append("</tbody></table></body></html>\n")
}

private fun row(entry: TimelineEntry, columns: List<String>): String {
    val column = columns.indexOf(entry.record.process)
    return buildString {
        append("<tr><td class=\"time\">${formatInstant(entry.atMillis)}</td>")
        repeat(column) { append("<td></td>") }
        append("<td>${eventCell(entry)}</td>")
        repeat(columns.size - column - 1) { append("<td></td>") }
        append("</tr>\n")
    }
}

private fun eventCell(entry: TimelineEntry): String {
    val type = entry.record.type
    val style =
        when (type) {
            in failureTypes -> "refusal"
            in trafficTypes -> "traffic"
            else -> "change"
        }
    val labels = subjectLabels(entry).joinToString("<br>") { (label, value) -> "$label ${escapeHtml(value)}" }
    return "<b class=\"$style\">${type.value}</b><div class=\"about\">$labels</div>" +
        "<div class=\"cause\">${escapeHtml(entry.record.cause)}</div>"
}

/** Escapes every character that is special in HTML text and attribute values. */
internal fun escapeHtml(text: String): String =
    buildString {
        for (character in text) {
            when (character) {
                '&' -> append("&amp;")
                '<' -> append("&lt;")
                '>' -> append("&gt;")
                '"' -> append("&quot;")
                '\'' -> append("&#39;")
                else -> append(character)
            }
        }
    }
