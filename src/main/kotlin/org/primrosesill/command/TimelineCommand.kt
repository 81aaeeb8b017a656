/*
 * The `timeline` command: merges the event logs of several processes into one ordered sequence of events.
 */
package org.primrosesill.command

import arrow.core.Either
import arrow.core.getOrElse
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.path
import org.primrosesill.event.EventFile
import org.primrosesill.event.Timeline
import org.primrosesill.event.TimelineFilter
import org.primrosesill.event.mergeTimeline
import org.primrosesill.event.readEvents
import org.primrosesill.event.renderHtml
import org.primrosesill.event.renderNotes
import org.primrosesill.event.renderText
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.CustomerId
import org.primrosesill.model.RequestId
import org.primrosesill.model.UpstreamId
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.bufferedWriter
import kotlin.io.path.inputStream

/** A failure to read an event log or to write the output file. */
internal sealed class TimelineFailure(val type: String, val detail: String) {
    override fun toString(): String = "$type: $detail"

    class FileNotReadable(file: Path, reason: String) :
        TimelineFailure("file-not-readable", "$file cannot be read: $reason")

    class FileNotWritable(file: Path, reason: String) :
        TimelineFailure("file-not-writable", "$file cannot be written: $reason")
}

internal class TimelineCommand : CliktCommand("timeline") {
    private val files by argument("file", help = "Event log files.").path().multiple(required = true)
    private val request by option("--request", help = "Only events of this request.")
    private val upstream by option("--upstream", help = "Only events that concern or were recorded by this upstream.")
    private val availabilityZone by option(
        "--availability-zone",
        help = "Only events that concern or were recorded in this zone.",
    )
    private val customer by option("--customer", help = "Only events of this customer's requests.")
    private val offsets by option(
        "--offset",
        help = "Milliseconds to add to the times of a process in place of the estimate; comma-separated or repeated.",
        metavar = "process=millis",
    ).convert { text ->
        val millis = text.substringAfterLast('=', "").toLongOrNull()
        text.substringBeforeLast('=') to (millis ?: fail("'$text' is not of the form process=millis"))
    }.split(",")
        .multiple()
    private val html by option("--html", help = "Write an HTML page with one lane for each process.").path()

    override fun help(context: Context): String = "Merge the event logs of several processes into one timeline."

    override fun run() {
        val filter =
            TimelineFilter(
                request?.let(::RequestId),
                upstream?.let(::UpstreamId),
                availabilityZone?.let(::AvailabilityZoneId),
                customer?.let(::CustomerId),
            )
        val timeline =
            mergeTimeline(files.map { read(it).getOrElse(::commandFailed) }, filter, offsets.flatten().toMap())
        renderNotes(timeline).forEach { echo(it, err = true) }
        val target = html
        if (target == null) {
            renderText(timeline).forEach(::echo)
        } else {
            write(timeline, target).getOrElse(::commandFailed)
            echo("${timeline.entries.size} events written to $target")
        }
    }

    private fun read(file: Path): Either<TimelineFailure, EventFile> =
        Either
            .catchOrThrow<IOException, EventFile> {
                file.inputStream().bufferedReader().useLines { readEvents(file.toString(), it) }
            }.mapLeft { TimelineFailure.FileNotReadable(file, "${it::class.simpleName}") }

    private fun write(timeline: Timeline, file: Path): Either<TimelineFailure, Unit> =
        Either
            .catchOrThrow<IOException, Unit> { file.bufferedWriter().use { renderHtml(timeline, it) } }
            .mapLeft { TimelineFailure.FileNotWritable(file, "${it::class.simpleName}") }
}
