/*
 * What a gateway remembers of its own requests to a pool of engines, from which it derives how many requests of each class,
 * account and session to admit. Counts decay, so that they follow the load within seconds.
 *
 * Load pattern: a few client accounts send most of the requests of a class, and a session sends many requests in a row.
 */
package org.primrosesill.admission

import org.primrosesill.model.CustomerId
import kotlin.math.exp
import kotlin.time.Duration

/** Several times the age of gossiped loads, so that a class with a few requests a second is not lost between two of them. */
private const val TIME_CONSTANT_MILLIS = 10_000.0

/** Decayed count below which a class or account counts as gone: 30 s after a single request. */
private const val MINIMUM_COUNT = 0.05
private const val MAXIMUM_ACCOUNTS = 256
private const val MAXIMUM_SESSIONS = 2_000

internal class DecayedCount {
    private var value = 0.0
    private var atMillis = 0L

    fun at(nowMillis: Long): Double = value * exp(-(nowMillis - atMillis).coerceAtLeast(0) / TIME_CONSTANT_MILLIS)

    fun add(amount: Double, nowMillis: Long) {
        value = at(nowMillis) + amount
        atMillis = nowMillis
    }
}

/** The requests of one priority. */
internal class ClassHistory(var latencyTarget: Duration) {
    val offered = DecayedCount()
    val admitted = DecayedCount()

    /** Prompt tokens to prefill of the requests in [admitted]. */
    private val tokens = DecayedCount()
    private val byAccount = HashMap<CustomerId?, DecayedCount>()

    fun recordOffered(request: AdmissionRequest) {
        latencyTarget = request.latencyTarget
        offered.add(1.0, request.nowMillis)
        if (byAccount.size >= MAXIMUM_ACCOUNTS) byAccount.values.removeIf { it.at(request.nowMillis) < 1.0 }
        if (byAccount.size >= MAXIMUM_ACCOUNTS) byAccount.clear()
        byAccount.getOrPut(request.account) { DecayedCount() }.add(1.0, request.nowMillis)
    }

    fun admittedTokens(nowMillis: Long): Double = tokens.at(nowMillis)

    fun recordAdmitted(request: AdmissionRequest) {
        admitted.add(1.0, request.nowMillis)
        tokens.add(request.prefillTokens.toDouble(), request.nowMillis)
    }

    /**
     * Returns the fraction of the requests of [account] to admit if [fraction] of the class is admitted: no account gets more
     * than an equal share unless others leave a part of theirs.
     */
    fun accountFraction(account: CustomerId?, fraction: Double, nowMillis: Long): Double {
        val counts = byAccount.values.map { it.at(nowMillis) }.sorted()
        var remaining = counts.sum() * fraction
        var share = 0.0
        for ((index, count) in counts.withIndex()) {
            share = remaining / (counts.size - index)
            if (count > share) break
            remaining -= count
        }
        return (share / (byAccount[account]?.at(nowMillis) ?: 1.0)).coerceAtMost(1.0)
    }
}

/** The requests of one pool. */
internal class PoolHistory {
    private val classes = sortedMapOf<Int, ClassHistory>()
    private val refusedInRow =
        object : LinkedHashMap<Any, Int>(16, 0.75f, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Any, Int>) = size > MAXIMUM_SESSIONS
        }
    private var engines: PoolQueues? = null
    val level = PoolAdmissionLevel()

    fun queues(candidates: List<AdmissionCandidate>): PoolQueues =
        engines?.takeIf { it.candidates === candidates } ?: PoolQueues(candidates).also { engines = it }

    fun recordOffered(request: AdmissionRequest) {
        classes.values.removeIf { it.offered.at(request.nowMillis) < MINIMUM_COUNT }
        classes.getOrPut(request.priority) { ClassHistory(request.latencyTarget) }.recordOffered(request)
    }

    /** Records that [request] was admitted or not, for its class, its account and its session. */
    fun recordDecision(request: AdmissionRequest, isAdmitted: Boolean) {
        if (isAdmitted) classes[request.priority]?.recordAdmitted(request)
        for (key in keysOf(request)) {
            if (isAdmitted) refusedInRow.remove(key) else refusedInRow.merge(key, 1, Int::plus)
        }
    }

    /** Returns the most requests in a row that were refused to the account or to the session of [request]. */
    fun refusedInRow(request: AdmissionRequest): Int = keysOf(request).maxOfOrNull { refusedInRow[it] ?: 0 } ?: 0

    /** A session is counted for each priority, as an account with requests of two classes keeps a tenth of each. */
    private fun keysOf(request: AdmissionRequest): List<Any> =
        listOfNotNull(request.account?.let { it to request.priority }, request.session?.let { it to request.priority })

    /** The known classes, the most urgent one first. */
    fun classes(): List<Pair<Int, ClassHistory>> = classes.map { it.key to it.value }

    /**
     * Returns the prompt tokens that each waiting request stands for, of those of [maximumPriority] or more urgent: the waiting
     * requests of all gateways are taken to be like those that this one has admitted.
     */
    fun tokensPerWaiting(maximumPriority: Int, nowMillis: Long): Double {
        val all = classes.values.sumOf { it.admitted.at(nowMillis) }
        val ahead = classes.filterKeys { it <= maximumPriority }.values.sumOf { it.admittedTokens(nowMillis) }
        return if (all > 0) ahead / all else 0.0
    }
}

/** The queues of the engines of a pool at one time. */
internal class PoolQueues(val candidates: List<AdmissionCandidate>) {
    val hasFree = candidates.any { it.isFree }

    /** Median of the waiting requests of an engine, each with the slowness of its engine. */
    val medianWaiting: Double =
        candidates.map { it.waiting * it.slowness }.sorted().let { if (it.isEmpty()) 0.0 else it[it.size / 2] }

    /** Returns the least time in milliseconds until an engine has done [tokens], behind [perWaiting] for each one waiting. */
    fun leastMillis(perWaiting: Double, tokens: Int, tokensPerMillisecond: Double): Double =
        candidates.minOf { (it.waiting * perWaiting + tokens) * it.slowness } / tokensPerMillisecond
}
