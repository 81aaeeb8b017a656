/*
 * The execution log of the stand-in engine, which tests query, and the history behind its delayed load reports.
 */
package org.primrosesill.standin

import kotlinx.serialization.Serializable
import org.primrosesill.generated.LoadReport

/**
 * A chat request in the form that the engine processes.
 *
 * @property promptTokens the whole conversation in order, split at whitespace
 * @property priority 0 is the highest
 * @property deadlineMillis remaining time that the caller waits, in milliseconds
 */
internal class EngineChatRequest(
    val requestId: String,
    val model: String,
    val promptTokens: List<String>,
    val priority: Int = 5,
    val deadlineMillis: Long = 120_000,
    val maximumTokens: Int? = null,
)

/** One execution of a chat request. [whileLeaving] is set if it started in a leaving state. */
internal class Execution(
    val chat: EngineChatRequest,
    val startedAtMillis: Long,
    val cachedTokens: Int,
    val whileLeaving: Boolean,
) {
    @Volatile var generatedTokens: Int = 0

    @Volatile var end: StreamEnd? = null
        private set

    @Volatile var endedAtMillis: Long? = null
        private set

    fun end(end: StreamEnd, nowMillis: Long) {
        endedAtMillis = nowMillis
        this.end = end
    }

    /** Returns the tokens generated so far. */
    fun tokens(): List<String> = (0 until generatedTokens).map { completionToken(chat, it) }

    fun view(): ExecutionView =
        ExecutionView(
            request = chat.requestId,
            priority = chat.priority,
            promptTokens = chat.promptTokens.size,
            cachedTokens = cachedTokens,
            generatedTokens = generatedTokens,
            startedAtMillis = startedAtMillis,
            endedAtMillis = endedAtMillis,
            end = end?.name?.lowercase(),
            whileLeaving = whileLeaving,
        )
}

/** An execution in the response of `GET /stand-in/executions`. [end] is absent while it runs. */
@Serializable
internal data class ExecutionView(
    val request: String,
    val priority: Int,
    val promptTokens: Int,
    val cachedTokens: Int,
    val generatedTokens: Int,
    val startedAtMillis: Long,
    val endedAtMillis: Long? = null,
    val end: String? = null,
    val whileLeaving: Boolean = false,
)

/** The latest executions of an engine. [fellOver] is the number of its failures from overload. */
@Serializable
internal data class ExecutionPage(val executions: List<ExecutionView>, val fellOver: Int)

/** Stores the latest [MAXIMUM_EXECUTIONS] executions. Thread-safe. */
internal class ExecutionLog {
    private val executions = ArrayDeque<Execution>()
    private var failures = 0

    @Synchronized
    fun add(execution: Execution) {
        executions.addLast(execution)
        if (executions.size > MAXIMUM_EXECUTIONS) executions.removeFirst()
    }

    @Synchronized
    fun recordFailure() {
        failures++
    }

    @Synchronized
    fun page(): ExecutionPage = ExecutionPage(executions.map(Execution::view), failures)

    private companion object {
        const val MAXIMUM_EXECUTIONS = 100_000
    }
}

/** Delays each load report by [lagMillis]. Thread-safe. */
internal class LoadReportHistory(private val lagMillis: Long) {
    private val reports = ArrayDeque<LoadReport>()

    @Synchronized
    fun record(report: LoadReport) {
        reports.addLast(report)
        dropBefore(report.reportedAtMillis - lagMillis)
    }

    /** Returns the report that is visible at [nowMillis]; a report must have been recorded before. */
    @Synchronized
    fun visibleAt(nowMillis: Long): LoadReport {
        val visibleMillis = nowMillis - lagMillis
        dropBefore(visibleMillis)
        return reports.first().let { it.copy(reportedAtMillis = maxOf(it.reportedAtMillis, visibleMillis)) }
    }

    /** Drops each report that a later report had replaced by [millis]. */
    private fun dropBefore(millis: Long) {
        while (reports.size > 1 && reports[1].reportedAtMillis <= millis) reports.removeFirst()
    }
}
