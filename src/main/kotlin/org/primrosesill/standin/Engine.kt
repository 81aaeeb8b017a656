/*
 * The stand-in engine itself, without HTTP: what it takes and refuses, how long it works, what it caches and what it
 * reports. Time comes from the argument and from the coroutine clock, so that tests run it under virtual time.
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
 * Settings of the stand-in engine. Durations are in milliseconds.
 *
 * @property capacity requests that run together
 * @property firstTokenMillis time to the first token of an empty prompt in an empty batch
 * @property promptTokenMicros microseconds for each prompt token that is not cached
 * @property betweenTokensMillis time between tokens in an empty batch
 * @property batchGrowth how much each other request in the batch lengthens these times, as a fraction
 * @property coldMillis how long a cold start lasts; 0 starts warm
 * @property bears requests that the engine bears while cold
 * @property fallMillis how long the engine refuses everything after it fell over
 * @property unreadMillis time after which a stream that nobody reads is cancelled
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

/** What a test sets by a control call. */
@Serializable
internal enum class EngineMode {
    @SerialName("warm")
    WARM,

    @SerialName("cold")
    COLD,

    /** Reports that it is leaving and still runs what arrives. */
    @SerialName("leaving")
    LEAVING,

    /** Reports that it is leaving, ends what runs and refuses what arrives. */
    @SerialName("graceful")
    GRACEFUL,
}

/** Why the engine did not run a request. */
internal data class EngineRefusal(val reason: String, val state: UpstreamState)

/** The decisions of one stand-in engine. Safe to call from any thread. */
internal class Engine(
    private val settings: EngineSettings,
    private val scope: CoroutineScope,
    private val currentMillis: () -> Long,
    private val executed: (Execution) -> Unit = {},
) {
    private val batch = EngineBatch(settings.capacity, settings.queueLimit)
    private val cacheLog =
        CacheEventLog(
            settings.cacheEventLagMillis,
            settings.cacheEventLoss,
            RandomSource.XO_RO_SHI_RO_128_PP.create(settings.seed),
        )
    private val cache = PrefixCache(settings.cacheTokens / BLOCK_TOKENS, cacheLog)
    private val reports = ReportHistory(settings.reportLagMillis)
    private val streams = ConcurrentHashMap<String, EngineStream>()
    private val jobs = ConcurrentHashMap<EngineStream, Job>()
    private var mode = EngineMode.WARM
    private var coldUntilMillis = 0L
    private var fallenUntilMillis = 0L
    private var pending = 0

    val bears: Int get() = settings.bears
    val executions = ExecutionLog()
    val fallen: Boolean get() = currentMillis() < fallenUntilMillis
    val state: UpstreamState
        get() =
            when {
                mode == EngineMode.LEAVING || mode == EngineMode.GRACEFUL -> UpstreamState.LEAVING
                fallen || currentMillis() < coldUntilMillis -> UpstreamState.COLD
                else -> UpstreamState.WARM
            }

    init {
        if (settings.coldMillis > 0) switch(EngineMode.COLD)
        recordLoad()
    }

    @Synchronized
    fun switch(next: EngineMode) {
        mode = next
        fallenUntilMillis = 0
        coldUntilMillis = if (next == EngineMode.COLD) currentMillis() + settings.coldMillis else 0
        recordLoad()
        recordLoadAfter(settings.coldMillis)
    }

    /** Waits for a place in the batch and starts to answer [chat], or refuses it as not run. */
    suspend fun submit(chat: Chat): Either<EngineRefusal, EngineStream> {
        take()?.let { return refusal(it).left() }
        var entered = false
        var stream: EngineStream? = null
        try {
            entered = batch.enter(chat.priority, chat.deadlineMillis)
            if (entered) stream = start(chat)
        } finally {
            // A started answer gives its place back itself when it ends.
            if (stream == null) release(entered)
        }
        return stream?.right()
            ?: refusal(if (fallen) "the engine fell over" else "no place in the batch in time").left()
    }

    /** Counts one more request, or returns the reason to refuse it. */
    @Synchronized
    private fun take(): String? {
        val reason =
            when {
                fallen -> "the engine fell over"
                mode == EngineMode.GRACEFUL -> "the engine is leaving"
                state == UpstreamState.COLD && pending >= settings.bears -> fallOver()
                else -> null
            }
        if (reason == null) pending++
        recordLoad()
        return reason
    }

    private fun fallOver(): String {
        fallenUntilMillis = currentMillis() + settings.fallMillis
        coldUntilMillis = fallenUntilMillis + settings.coldMillis
        executions.fellOver()
        recordLoadAfter(settings.fallMillis + settings.coldMillis)
        jobs.forEach { (stream, job) ->
            stream.end(StreamEnd.FELL_OVER)
            job.cancel()
        }
        return "the engine fell over under more than ${settings.bears} requests while cold"
    }

    private fun refusal(reason: String) = EngineRefusal(reason, state)

    private fun release(entered: Boolean) {
        if (entered) batch.leave()
        synchronized(this) { pending-- }
        recordLoad()
    }

    /** Starts to answer, or returns null when the engine fell over meanwhile. */
    @Synchronized
    private fun start(chat: Chat): EngineStream? {
        if (fallen) return null
        val cached = synchronized(cache) { cache.use(chat.promptTokens, currentMillis()) }
        val leaving = state == UpstreamState.LEAVING
        val execution = Execution(chat, currentMillis(), minOf(cached, chat.promptTokens.size), leaving)
        val stream = EngineStream(execution)
        executions.add(execution)
        executed(execution)
        streams[chat.requestId] = stream
        val job = scope.launch(start = CoroutineStart.LAZY) { generate(stream) }
        jobs[stream] = job
        // A job that is cancelled before it starts runs no code of its own, so its place is freed from outside.
        job.invokeOnCompletion { finish(stream) }
        job.start()
        recordLoad()
        return stream
    }

    private fun finish(stream: EngineStream) {
        stream.end(StreamEnd.CANCELLED)
        stream.execution.end(stream.end ?: StreamEnd.CANCELLED, currentMillis())
        executed(stream.execution)
        jobs.remove(stream)
        release(entered = true)
        forgetLater(stream)
    }

    private suspend fun generate(stream: EngineStream) {
        val chat = stream.execution.chat
        val uncached = chat.promptTokens.size - stream.execution.cachedTokens
        delay(stretched(settings.firstTokenMillis + uncached * settings.promptTokenMicros / 1_000))
        for (index in 0 until (chat.maximumTokens ?: settings.answerTokens)) {
            if (index > 0) delay(stretched(settings.betweenTokensMillis))
            if (stream.unreadMillis(currentMillis()) > settings.unreadMillis) stream.end(StreamEnd.CANCELLED)
            if (stream.end != null) return
            stream.append(chatChunk(chat, answerToken(chat, index)))
            stream.execution.generatedTokens = index + 1
        }
        synchronized(cache) { cache.use(chat.promptTokens + "assistant" + stream.execution.answer(), currentMillis()) }
        stream.append(finishChunk(chat))
        stream.append(usageChunk(stream.execution))
        stream.append("[DONE]")
        stream.end(StreamEnd.FINISHED)
    }

    private fun stretched(millis: Long): Long = (millis * (1 + settings.batchGrowth * (batch.running - 1))).toLong()

    private fun forgetLater(stream: EngineStream) {
        scope.launch {
            delay(KEEP_STREAM_MILLIS)
            streams.remove(stream.execution.chat.requestId, stream)
        }
    }

    fun stream(requestId: String): EngineStream? = streams[requestId]

    /** Stops generating, and returns false when there is no such stream or it has ended. */
    fun cancel(requestId: String): Boolean {
        val stream = streams[requestId]?.takeIf { it.end == null } ?: return false
        stream.end(StreamEnd.CANCELLED)
        jobs[stream]?.cancel()
        return true
    }

    /** Breaks every connection that reads a stream. */
    fun cutConnections() {
        streams.values.forEach(EngineStream::cutReaders)
    }

    fun report(): LoadReport = reports.at(currentMillis())

    fun cacheEvents(since: Long): CacheEventPage = synchronized(cache) { cacheLog.page(since, currentMillis()) }

    /** Records the end of a cold start, which no request marks. */
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
        // Longer than the longest deadline of a chat, so that a stream can be resumed until then.
        const val KEEP_STREAM_MILLIS = 180_000L
    }
}
