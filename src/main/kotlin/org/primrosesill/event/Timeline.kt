/*
 * Merges the event logs of any number of processes into one ordered timeline.
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
 * The events of one file in the order in which they were written.
 *
 * @property malformed number of lines that are not a valid event
 */
internal data class EventFile(val name: String, val records: List<EventRecord>, val malformed: Int)

/** Selects events. An event must match every property that is not null. */
internal data class TimelineFilter(
    val request: RequestId? = null,
    val upstream: UpstreamId? = null,
    val availabilityZone: AvailabilityZoneId? = null,
    val customer: CustomerId? = null,
)

/**
 * The clock correction of one process.
 *
 * @property millis milliseconds that are added to the timestamps of the process
 * @property uncertaintyMillis largest error that the shared requests allow, or null when no request is shared
 * @property requests number of shared requests that the estimate is based on
 * @property consistent whether one correction fits all shared requests; a step of the clock makes it false
 * @property setByOperator whether the operator set the correction
 */
internal data class ClockCorrection(
    val millis: Long = 0,
    val uncertaintyMillis: Long? = null,
    val requests: Int = 0,
    val consistent: Boolean = true,
    val setByOperator: Boolean = false,
)

/** One event with its corrected timestamp. */
internal data class TimelineEntry(val atMillis: Long, val record: EventRecord)

/**
 * The events of all processes in order.
 *
 * @property malformed number of malformed lines by file; files without malformed lines are omitted
 * @property missing number of sequence numbers missing between two events of a process, by process
 */
internal data class Timeline(
    val entries: List<TimelineEntry>,
    val clocks: Map<String, ClockCorrection>,
    val malformed: Map<String, Int>,
    val missing: Map<String, Long>,
) {
    val processes: List<String> get() = entries.map { it.record.process }.distinct().sorted()
}

/** Merges the events in [files] that match [filter]. [offsets] are clock corrections in milliseconds, by process. */
internal fun mergeTimeline(
    files: List<EventFile>,
    filter: TimelineFilter = TimelineFilter(),
    offsets: Map<String, Long> = emptyMap(),
): Timeline {
    val runs = splitIntoRuns(files)
    val records = runs.flatten()
    val clocks = estimateClockCorrections(records, offsets)
    val matchesFilter = filterPredicate(records, filter)
    return Timeline(
        entries = merge(runs.map { correctTimestamps(it, clocks) }).filter { matchesFilter(it.record) },
        clocks = clocks,
        malformed = files.filter { it.malformed > 0 }.associate { it.name to it.malformed },
        missing =
            runs.groupBy { it.first().process }.mapValues { (_, all) -> all.sumOf(::countMissing) }.filterValues {
                it >
                    0
            },
    )
}

/** Splits [files] into runs of one process each, in sequence order. A file that is passed twice counts once. */
private fun splitIntoRuns(files: List<EventFile>): List<List<EventRecord>> {
    val seen = hashSetOf<EventRecord>()
    return files.flatMap { file ->
        file.records
            .filter(seen::add)
            .groupBy { it.process }
            .values
            .flatMap(::splitAtRestarts)
    }
}

/**
 * Splits the log of one process at each restart, where the sequence numbers restart at 1. Threads may write lines out
 * of sequence order, so each run is sorted.
 */
private fun splitAtRestarts(log: List<EventRecord>): List<List<EventRecord>> {
    val starts = listOf(0) + (1 until log.size).filter { log[it].sequence == 1L } + log.size
    return starts.zipWithNext { from, to -> log.subList(from, to).sortedBy { it.sequence } }.filter { it.isNotEmpty() }
}

private fun countMissing(run: List<EventRecord>): Long =
    run.zipWithNext { before, after -> (after.sequence - before.sequence - 1).coerceAtLeast(0) }.sum()

/** Corrects the timestamps of a run. Sequence order prevails, so setting the clock back does not reorder events. */
private fun correctTimestamps(run: List<EventRecord>, clocks: Map<String, ClockCorrection>): List<TimelineEntry> {
    var latest = Long.MIN_VALUE
    return run.map { record ->
        latest = maxOf(latest, record.atMillis + (clocks[record.process]?.millis ?: 0))
        TimelineEntry(latest, record)
    }
}

/**
 * Merges sorted runs. At equal timestamps, a request is routed before it is executed, and the upstream finishes before
 * the router.
 */
private fun merge(runs: List<List<TimelineEntry>>): List<TimelineEntry> {
    val heads =
        PriorityQueue(
            compareBy<Pair<TimelineEntry, Iterator<TimelineEntry>>>(
                { it.first.atMillis },
                { tieBreakRank(it.first.record) },
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

private fun tieBreakRank(record: EventRecord): Int =
    when {
        record.type == EventType.REQUEST_EXECUTED -> 1
        record.type == EventType.REQUEST_FINISHED && record.process == record.upstream?.value -> 2
        record.type == EventType.REQUEST_FINISHED -> 3
        else -> 0
    }

/** Upstreams do not log customers, so a customer filter also matches all events of the customer's requests. */
private fun filterPredicate(records: List<EventRecord>, filter: TimelineFilter): (EventRecord) -> Boolean {
    val requestIds = CallerRequestIds(records)
    val requests =
        records
            .filter { it.customer != null && it.customer == filter.customer }
            .mapNotNullTo(hashSetOf(), requestIds::callerRequestId)
    return { record ->
        val request = requestIds.callerRequestId(record)
        matches(filter.request) { request == it || record.request == it } &&
            matches(filter.upstream) { record.upstream == it || it.value in listOf(record.process, record.subject) } &&
            matches(filter.availabilityZone) { record.availabilityZone == it || record.subject == it.value } &&
            matches(filter.customer) { record.customer == it || request in requests }
    }
}

private fun <T : Any> matches(wanted: T?, test: (T) -> Boolean): Boolean = wanted == null || test(wanted)
