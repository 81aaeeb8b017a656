/*
 * What the stand-in engine ran, so that tests can ask for it, and the load reports that it shows late.
 */
package org.primrosesill.standin

import kotlinx.serialization.Serializable
import org.primrosesill.generated.LoadReport

/**
 * One chat request as the engine sees it.
 *
 * @property promptTokens the whole conversation in order, split at white space
 * @property deadlineMillis milliseconds that the caller waits
 */
internal class Chat(
    val requestId: String,
    val model: String,
    val promptTokens: List<String>,
    val priority: Int = 5,
    val deadlineMillis: Long = 120_000,
    val maximumTokens: Int? = null,
)

/** One run of a chat request. */
internal class Execution(val chat: Chat, val startedAtMillis: Long, val cachedTokens: Int, val whileLeaving: Boolean) {
    @Volatile var generatedTokens: Int = 0

    @Volatile var end: StreamEnd? = null
        private set

    @Volatile var endedAtMillis: Long? = null
        private set

    fun end(end: StreamEnd, nowMillis: Long) {
        endedAtMillis = nowMillis
        this.end = end
    }

    fun answer(): List<String> = (0 until generatedTokens).map { answerToken(chat, it) }

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

/** An execution as `GET /stand-in/executions` shows it. [end] is absent while it runs. */
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

/** All executions of an engine, and how often it fell over. */
@Serializable
internal data class ExecutionPage(val executions: List<ExecutionView>, val fellOver: Int)

/** Keeps the latest executions. Safe to call from any thread. */
internal class ExecutionLog {
    private val executions = ArrayDeque<Execution>()
    private var falls = 0

    @Synchronized
    fun add(execution: Execution) {
        executions.addLast(execution)
        if (executions.size > MAXIMUM_EXECUTIONS) executions.removeFirst()
    }

    @Synchronized
    fun fellOver() {
        falls++
    }

    @Synchronized
    fun page(): ExecutionPage = ExecutionPage(executions.map(Execution::view), falls)

    private companion object {
        const val MAXIMUM_EXECUTIONS = 100_000
    }
}

/** Shows each load report [lagMillis] late. Not safe for use by several threads. */
internal class ReportHistory(private val lagMillis: Long) {
    private val reports = ArrayDeque<LoadReport>()

    @Synchronized
    fun record(report: LoadReport) {
        reports.addLast(report)
        dropBefore(report.reportedAtMillis - lagMillis)
    }

    @Synchronized
    fun at(nowMillis: Long): LoadReport {
        val seenAt = nowMillis - lagMillis
        dropBefore(seenAt)
        return reports.first().let { it.copy(reportedAtMillis = maxOf(it.reportedAtMillis, seenAt)) }
    }

    private fun dropBefore(millis: Long) {
        while (reports.size > 1 && reports[1].reportedAtMillis <= millis) reports.removeFirst()
    }
}
