/*
 * The stand-in engine without HTTP: admission, response timing, prefix caching and load reports. Time comes from a
 * clock parameter and from coroutine delays, so that tests can run the engine under virtual time.
 */
package org.primrosesill.standin

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.apache.commons.rng.simple.RandomSource
import org.primrosesill.generated.LoadReport
import org.primrosesill.generated.UpstreamState
import org.primrosesill.model.UpstreamId
import java.util.concurrent.ConcurrentHashMap

/**
 * Settings of the stand-in engine. Durations are in milliseconds, except [promptTokenMicros].
 *
 * @property capacity maximum number of requests in the batch
 * @property queueLimit maximum number of requests that wait for a slot in the batch
 * @property firstTokenMillis time to the first token of an empty prompt, without other requests in the batch
 * @property promptTokenMicros microseconds of prefill for each prompt token that is not cached
 * @property betweenTokensMillis time between tokens, without other requests in the batch
 * @property batchGrowth fraction by which each other request in the batch increases the times above
 * @property answerTokens number of tokens in a response to a request without `max_tokens`
 * @property cacheTokens capacity of the prefix cache in tokens
 * @property reportLagMillis age of the state that the load report shows
 * @property cacheEventLagMillis delay after which a cache event is published
 * @property cacheEventLoss fraction of cache events that are lost
 * @property coldMillis duration of a cold start; 0 starts the engine warm
 * @property bears maximum number of concurrent requests while cold; one more makes the engine fail
 * @property fallMillis duration for which a failed engine rejects every request
 * @property unreadMillis time without a reader after which a stream is cancelled
 * @property fencingCheck whether orders with an outdated fencing token are rejected
 * @property seed seed of the random choice of lost cache events
 */
public data class EngineSettings(
    val upstream: UpstreamId,
    val capacity: Int = 16,
    val queueLimit: Int = 256,
    val firstTokenMillis: Long = 40,
    val promptTokenMicros: Long = 200,
    val betweenTokensMillis: Long = 10,
    val batchGrowth: Double = 0.05,
    val answerTokens: Int = 32,
    val cacheTokens: Int = 65_536,
    val reportLagMillis: Long = 200,
    val cacheEventLagMillis: Long = 500,
    val cacheEventLoss: Double = 0.05,
    val coldMillis: Long = 0,
    val bears: Int = 2,
    val fallMillis: Long = 5_000,
    val unreadMillis: Long = 10_000,
    val fencingCheck: Boolean = true,
    val seed: Long = 1,
)

/** The operating mode, set by a control call. */
@Serializable
internal enum class EngineMode {
    @SerialName("warm")
    WARM,

    @SerialName("cold")
    COLD,

    /** Reports that it is leaving, but still executes new requests. */
    @SerialName("leaving")
    LEAVING,

    /** Reports that it is leaving, completes running requests and rejects new ones. */
    @SerialName("graceful")
    GRACEFUL,
}

/** The reason why the engine rejected a request, and the state of the engine. The request was not executed. */
internal data class EngineRejection(val reason: String, val state: UpstreamState)

/**
 * One stand-in engine. Thread-safe. Responses are generated in [scope].
 *
 * @param onExecutionChange called when an execution starts and when it ends
 */
internal class Engine(
    private val settings: EngineSettings,
    private val scope: CoroutineScope,
    private val currentMillis: () -> Long,
    private val onExecutionChange: (Execution) -> Unit = {},
) {
    private val batch = EngineBatch(settings.capacity, settings.queueLimit)
    private val cacheLog =
        CacheEventLog(
            settings.cacheEventLagMillis,
            settings.cacheEventLoss,
            RandomSource.XO_RO_SHI_RO_128_PP.create(settings.seed),
        )
    private val cache = PrefixCache(settings.cacheTokens / BLOCK_TOKENS, cacheLog)
    private val reports = LoadReportHistory(settings.reportLagMillis)
    private val streams = ConcurrentHashMap<String, EngineStream>()
    private val jobs = ConcurrentHashMap<EngineStream, Job>()
    private var mode = EngineMode.WARM
    private var coldUntilMillis = 0L
    private var failedUntilMillis = 0L
    private var pendingRequests = 0

    val coldConcurrencyLimit: Int get() = settings.bears
    val executions = ExecutionLog()
    val hasFailed: Boolean get() = currentMillis() < failedUntilMillis
    val state: UpstreamState
        get() =
            when {
                mode == EngineMode.LEAVING || mode == EngineMode.GRACEFUL -> UpstreamState.LEAVING
                hasFailed || currentMillis() < coldUntilMillis -> UpstreamState.COLD
                else -> UpstreamState.WARM
            }

    init {
        if (settings.coldMillis > 0) setMode(EngineMode.COLD)
        recordLoad()
    }

    /** Sets the mode and ends a failure. A change to [EngineMode.COLD] starts a cold start. */
    @Synchronized
    fun setMode(next: EngineMode) {
        mode = next
        failedUntilMillis = 0
        coldUntilMillis = if (next == EngineMode.COLD) currentMillis() + settings.coldMillis else 0
        recordLoad()
        recordLoadAfter(settings.coldMillis)
    }

    /** Waits for a slot in the batch and starts the response to [chat], or rejects it without executing it. */
    suspend fun submit(chat: EngineChatRequest): Either<EngineRejection, EngineStream> {
        admit()?.let { return rejection(it).left() }
        var acquired = false
        var stream: EngineStream? = null
        try {
            acquired = batch.acquireSlot(chat.priority, chat.deadlineMillis)
            if (acquired) stream = start(chat)
        } finally {
            // A started response releases its slot when it ends.
            if (stream == null) release(acquired)
        }
        return stream?.right()
            ?: rejection(if (hasFailed) ENGINE_FAILED else "no slot in the batch before the deadline").left()
    }

    /** Adds a pending request and returns null, or returns the reason for the rejection. */
    @Synchronized
    private fun admit(): String? {
        val reason =
            when {
                hasFailed -> ENGINE_FAILED
                mode == EngineMode.GRACEFUL -> "the engine is leaving"
                state == UpstreamState.COLD && pendingRequests >= settings.bears -> failFromOverload()
                else -> null
            }
        if (reason == null) pendingRequests++
        recordLoad()
        return reason
    }

    /** Ends all running responses, rejects requests for [EngineSettings.fallMillis], and returns the reason. */
    private fun failFromOverload(): String {
        failedUntilMillis = currentMillis() + settings.fallMillis
        coldUntilMillis = failedUntilMillis + settings.coldMillis
        executions.recordFailure()
        recordLoadAfter(settings.fallMillis + settings.coldMillis)
        jobs.forEach { (stream, job) ->
            stream.end(StreamEnd.FELL_OVER)
            job.cancel()
        }
        return "the engine failed: more than ${settings.bears} concurrent requests while cold"
    }

    private fun rejection(reason: String) = EngineRejection(reason, state)

    private fun release(acquired: Boolean) {
        if (acquired) batch.releaseSlot()
        synchronized(this) { pendingRequests-- }
        recordLoad()
    }

    /** Starts the response to [chat], or returns null if the engine has failed in the meantime. */
    @Synchronized
    private fun start(chat: EngineChatRequest): EngineStream? {
        if (hasFailed) return null
        val cached = synchronized(cache) { cache.add(chat.promptTokens, currentMillis()) }
        val leaving = state == UpstreamState.LEAVING
        val execution = Execution(chat, currentMillis(), minOf(cached, chat.promptTokens.size), leaving)
        val stream = EngineStream(execution)
        executions.add(execution)
        onExecutionChange(execution)
        streams[chat.requestId] = stream
        val job = scope.launch(start = CoroutineStart.LAZY) { generate(stream) }
        jobs[stream] = job
        // A job that is cancelled before it starts runs none of its code, so its completion handler releases the slot.
        job.invokeOnCompletion { finish(stream) }
        job.start()
        recordLoad()
        return stream
    }

    private fun finish(stream: EngineStream) {
        stream.end(StreamEnd.CANCELLED)
        stream.execution.end(stream.end ?: StreamEnd.CANCELLED, currentMillis())
        onExecutionChange(stream.execution)
        jobs.remove(stream)
        release(acquired = true)
        removeAfterRetention(stream)
    }

    private suspend fun generate(stream: EngineStream) {
        val chat = stream.execution.chat
        val uncached = chat.promptTokens.size - stream.execution.cachedTokens
        delay(batchedMillis(settings.firstTokenMillis + uncached * settings.promptTokenMicros / 1_000))
        for (index in 0 until (chat.maximumTokens ?: settings.answerTokens)) {
            if (index > 0) delay(batchedMillis(settings.betweenTokensMillis))
            if (stream.unreadMillis(currentMillis()) > settings.unreadMillis) stream.end(StreamEnd.CANCELLED)
            if (stream.end != null) return
            stream.append(tokenChunk(chat, completionToken(chat, index)))
            stream.execution.generatedTokens = index + 1
        }
        synchronized(cache) { cache.add(chat.promptTokens + "assistant" + stream.execution.tokens(), currentMillis()) }
        stream.append(finishChunk(chat))
        stream.append(usageChunk(stream.execution))
        stream.append("[DONE]")
        stream.end(StreamEnd.FINISHED)
    }

    /** Returns [millis], increased for each other request in the batch. */
    private fun batchedMillis(millis: Long): Long = (millis * (1 + settings.batchGrowth * (batch.running - 1))).toLong()

    private fun removeAfterRetention(stream: EngineStream) {
        scope.launch {
            delay(STREAM_RETENTION_MILLIS)
            streams.remove(stream.execution.chat.requestId, stream)
        }
    }

    fun stream(requestId: String): EngineStream? = streams[requestId]

    /** Stops generating the response. Returns false if the stream does not exist or has ended. */
    fun cancel(requestId: String): Boolean {
        val stream = streams[requestId]?.takeIf { it.end == null } ?: return false
        stream.end(StreamEnd.CANCELLED)
        jobs[stream]?.cancel()
        return true
    }

    /** Aborts every connection that reads a stream. Generation continues. */
    fun disconnectReaders() {
        streams.values.forEach(EngineStream::disconnectReaders)
    }

    fun report(): LoadReport = reports.visibleAt(currentMillis())

    fun cacheEvents(since: Long): CacheEventPage = synchronized(cache) { cacheLog.page(since, currentMillis()) }

    /** Records the load after [millis], since no request triggers a record when a cold start ends. */
    private fun recordLoadAfter(millis: Long) {
        scope.launch {
            delay(millis)
            recordLoad()
        }
    }

    @Synchronized
    private fun recordLoad() {
        val now = currentMillis()
        reports.record(
            LoadReport(
                upstream = settings.upstream,
                state = state,
                running = batch.running,
                queued = batch.queued,
                capacity = settings.capacity,
                bears = settings.bears,
                reportedAtMillis = now,
            ),
        )
    }

    private companion object {
        // Longer than the longest deadline of a chat request, so that a stream can be resumed until its deadline.
        const val STREAM_RETENTION_MILLIS = 180_000L
        const val ENGINE_FAILED = "the engine has failed"
    }
}
