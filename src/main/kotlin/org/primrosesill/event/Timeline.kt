/*
 * One ordered time line from the event logs of any number of processes.
 */
package org.primrosesill.event

import org.primrosesill.generated.EventRecord
import org.primrosesill.generated.EventType
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.CustomerId
import org.primrosesill.model.RequestId
import org.primrosesill.model.UpstreamId
import java.util.PriorityQueue

/**
 * The events of one file in the order they were written.
 *
 * @property malformed lines that hold no event
 */
internal data class EventFile(val name: String, val records: List<EventRecord>, val malformed: Int)

/** Which events to show. Each property that is not null must match. */
internal data class TimelineFilter(
    val request: RequestId? = null,
    val upstream: UpstreamId? = null,
    val availabilityZone: AvailabilityZoneId? = null,
    val customer: CustomerId? = null,
)

/**
 * What is added to the times of one process.
 *
 * @property millis to add to the clock of the process
 * @property uncertaintyMillis largest error that the shared requests allow, or null when none is shared
 * @property requests shared requests that the estimate rests on
 * @property consistent whether one correction fits all of them; a clock that was stepped breaks this
 * @property given whether the operator gave the correction
 */
internal data class ClockCorrection(
    val millis: Long = 0,
    val uncertaintyMillis: Long? = null,
    val requests: Int = 0,
    val consistent: Boolean = true,
    val given: Boolean = false,
)

/** One event at its corrected time. */
internal data class TimelineEntry(val atMillis: Long, val record: EventRecord)

/**
 * Events of all processes in order.
 *
 * @property malformed lines without an event, by file; files without such lines are left out
 * @property missing sequence numbers that are absent between two events of a process, by process
 */
internal data class Timeline(
    val entries: List<TimelineEntry>,
    val clocks: Map<String, ClockCorrection>,
    val malformed: Map<String, Int>,
    val missing: Map<String, Long>,
) {
    val processes: List<String> get() = entries.map { it.record.process }.distinct().sorted()
}

/** Merges [files] under [filter]. [offsets] are corrections in milliseconds that the operator knows, by process. */
internal fun mergeTimeline(
    files: List<EventFile>,
    filter: TimelineFilter = TimelineFilter(),
    offsets: Map<String, Long> = emptyMap(),
): Timeline {
    val runs = runs(files)
    val records = runs.flatten()
    val clocks = estimateClocks(records, offsets)
    val shown = matching(records, filter)
    return Timeline(
        entries = merge(runs.map { monotone(it, clocks) }).filter { shown(it.record) },
        clocks = clocks,
        malformed = files.filter { it.malformed > 0 }.associate { it.name to it.malformed },
        missing =
            runs.groupBy { it.first().process }.mapValues { (_, all) -> all.sumOf(::missing) }.filterValues {
                it >
                    0
            },
    )
}

/** Splits [files] into runs of one process each, in the process's own order. A file that is given twice counts once. */
private fun runs(files: List<EventFile>): List<List<EventRecord>> {
    val seen = hashSetOf<EventRecord>()
    return files.flatMap { file ->
        file.records
            .filter(seen::add)
            .groupBy { it.process }
            .values
            .flatMap(::incarnations)
    }
}

/**
 * Splits the log of one process where it was started again and counts from 1 anew. Threads may write their lines in
 * another order than they numbered them, so each part is sorted.
 */
private fun incarnations(log: List<EventRecord>): List<List<EventRecord>> {
    val starts = listOf(0) + (1 until log.size).filter { log[it].sequence == 1L } + log.size
    return starts.zipWithNext { from, to -> log.subList(from, to).sortedBy { it.sequence } }.filter { it.isNotEmpty() }
}

private fun missing(run: List<EventRecord>): Long =
    run.zipWithNext { before, after -> (after.sequence - before.sequence - 1).coerceAtLeast(0) }.sum()

/** A process writes its events in order, so a clock that was set back does not change their order. */
private fun monotone(run: List<EventRecord>, clocks: Map<String, ClockCorrection>): List<TimelineEntry> {
    var latest = Long.MIN_VALUE
    return run.map { record ->
        latest = maxOf(latest, record.atMillis + (clocks[record.process]?.millis ?: 0))
        TimelineEntry(latest, record)
    }
}

/** Merges runs that are in order. At the same time, a request is routed before it runs and ends upstream first. */
private fun merge(runs: List<List<TimelineEntry>>): List<TimelineEntry> {
    val heads =
        PriorityQueue(
            compareBy<Pair<TimelineEntry, Iterator<TimelineEntry>>>(
                { it.first.atMillis },
                { rank(it.first.record) },
                { it.first.record.process },
            ),
        )
    runs.map { it.iterator() }.filter { it.hasNext() }.forEach { heads += it.next() to it }
    return buildList {
        while (true) {
            val (entry, rest) = heads.poll() ?: break
            add(entry)
            if (rest.hasNext()) heads += rest.next() to rest
        }
    }
}

private fun rank(record: EventRecord): Int =
    when {
        record.type == EventType.REQUEST_EXECUTED -> 1
        record.type == EventType.REQUEST_FINISHED && record.process == record.upstream?.value -> 2
        record.type == EventType.REQUEST_FINISHED -> 3
        else -> 0
    }

/** Upstreams do not know customers, so a customer's events include all events of the customer's requests. */
private fun matching(records: List<EventRecord>, filter: TimelineFilter): (EventRecord) -> Boolean {
    val names = RequestNames(records)
    val requests =
        records
            .filter { it.customer != null && it.customer == filter.customer }
            .mapNotNullTo(hashSetOf(), names::callersName)
    return { record ->
        val request = names.callersName(record)
        matches(filter.request) { request == it || record.request == it } &&
            matches(filter.upstream) { record.upstream == it || it.value in listOf(record.process, record.subject) } &&
            matches(filter.availabilityZone) { record.availabilityZone == it || record.subject == it.value } &&
            matches(filter.customer) { record.customer == it || request in requests }
    }
}

private fun <T : Any> matches(wanted: T?, test: (T) -> Boolean): Boolean = wanted == null || test(wanted)
