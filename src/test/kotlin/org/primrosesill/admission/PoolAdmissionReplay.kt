/*
 * Replays an overload of a pool of engines on several gateways in virtual time. Gateways know the load of an engine from the
 * responses to their own requests, and 0.3 to 2.4 s later from those to requests of others.
 */
package org.primrosesill.admission

import org.primrosesill.model.CustomerId
import org.primrosesill.model.PoolId
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

class ReplayClass(val priority: Int, val rate: Int, val tokens: Int, val targetMillis: Int, val deadlineMillis: Int)

/** Deployment B of docs/design/hard-load.md, with all shared parts cached. */
val replayClasses =
    listOf(
        ReplayClass(0, rate = 113, tokens = 110, targetMillis = 806, deadlineMillis = 15_000),
        ReplayClass(1, rate = 149, tokens = 360, targetMillis = 1_008, deadlineMillis = 4_000),
        ReplayClass(2, rate = 113, tokens = 580, targetMillis = 2_515, deadlineMillis = 6_000),
    )

enum class EngineOrder { BY_PRIORITY, BY_ARRIVAL }

class ReplayCount {
    var offered = 0
    var admitted = 0
    var served = 0
    var onTime = 0
}

/** @param admissionOf creates the admission of a gateway; null admits everything */
class PoolAdmissionReplay(
    private val load: Double,
    private val order: EngineOrder,
    private val admissionOf: (() -> PoolAdmission)?,
    private val seed: Long,
    private val lostGatewaysAtMillis: Long = Long.MAX_VALUE,
    private val partitionedFromMillis: Long = Long.MAX_VALUE,
) {
    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy({ it.atMillis }, { it.number }))
    private var eventNumber = 0L
    private var now = 0.0
    private val engines = List(ENGINES) { Engine() }
    private val gateways = List(GATEWAYS) { Gateway() }

    /** By class, by class and account, and by class, gateway and session. */
    val byClass = sortedMapOf<Int, ReplayCount>()
    val byAccount = HashMap<Pair<Int, String>, ReplayCount>()
    val bySession = HashMap<Triple<Int, Int, String>, ReplayCount>()
    val refused get() = byClass.values.sumOf { it.offered - it.admitted }
    val shortages = mutableListOf<Boolean>()

    private class Event(val atMillis: Double, val number: Long, val action: () -> Unit)

    private class Report(val atMillis: Double, val running: Int, val waiting: Int)

    private class Request(val type: ReplayClass, val gateway: Int, val atMillis: Double, val counts: List<ReplayCount>)

    private class Gateway(val reports: Array<Report?> = arrayOfNulls(ENGINES), var admission: PoolAdmission? = null)

    private inner class Engine {
        val queue =
            PriorityQueue<Request>(
                compareBy({ if (order == EngineOrder.BY_PRIORITY) it.type.priority else 0 }, { it.atMillis }),
            )
        var running = 0
        var prefilling: Request? = null
    }

    private fun at(millis: Double, action: () -> Unit) {
        events += Event(millis, eventNumber++, action)
    }

    fun play(): PoolAdmissionReplay {
        gateways.forEach { it.admission = admissionOf?.invoke() }
        val capacity = ENGINES * TOKENS_PER_MILLI / replayClasses.sumOf { it.rate * it.tokens }
        replayClasses.forEach { scheduleArrival(it, it.rate * capacity * load) }
        while (events.isNotEmpty()) {
            val event = events.poll()
            now = event.atMillis
            event.action()
        }
        return this
    }

    private fun scheduleArrival(type: ReplayClass, perMilli: Double) {
        val next = now - ln(1 - random.nextDouble()) / perMilli
        if (next > DURATION_MILLIS) return
        at(next) {
            arrive(type)
            scheduleArrival(type, perMilli)
        }
    }

    private fun arrive(type: ReplayClass) {
        val gateway = random.nextInt(if (now >= lostGatewaysAtMillis) GATEWAYS / 2 else GATEWAYS)
        val account = if (random.nextDouble() < LARGE_FRACTION) "large" else "account-${random.nextInt(ACCOUNTS - 1)}"
        val session = "$account-${random.nextInt(SESSIONS)}"
        val counts =
            listOf(
                byClass.getOrPut(type.priority) { ReplayCount() },
                byAccount.getOrPut(type.priority to account) { ReplayCount() },
                bySession.getOrPut(Triple(type.priority, gateway, session)) { ReplayCount() },
            )
        counts.forEach { it.offered++ }
        val decision = gateways[gateway].admission?.decide(admissionRequest(type, gateway, account, session))
        decision?.shortage?.let { shortages += it }
        if (decision?.result?.isAdmitted == false) return
        counts.forEach { it.admitted++ }
        enqueue(Request(type, gateway, now, counts))
    }

    private fun admissionRequest(type: ReplayClass, gateway: Int, account: String, session: String) =
        AdmissionRequest(
            PoolId("engines"),
            type.priority,
            type.targetMillis.milliseconds,
            type.deadlineMillis.milliseconds,
            type.tokens,
            CustomerId(account),
            session,
            resumesStream = false,
            TOKENS_PER_MILLI,
            List(ENGINES) { candidate(gateways[gateway].reports[it]) },
            now.toLong(),
            random.nextDouble(),
            random.nextDouble(),
        )

    private fun candidate(report: Report?): AdmissionCandidate {
        val running = report?.takeIf { now - it.atMillis < REPORT_EXPIRY_MILLIS }?.running
        return AdmissionCandidate(running, report?.waiting ?: 0, SLOTS)
    }

    /** Sends the request to the less loaded of two engines, by the reports of its gateway. */
    private fun enqueue(request: Request) {
        val reports = gateways[request.gateway].reports
        val chosen = List(2) { random.nextInt(ENGINES) }.minBy { reports[it]?.waiting ?: 0 }
        engines[chosen].queue += request
        startPrefill(chosen)
    }

    /** Starts the next prefill if none is in progress; requests whose callers have left are dropped. */
    private fun startPrefill(number: Int) {
        val engine = engines[number]
        if (engine.prefilling != null || engine.running >= SLOTS) return
        var next = engine.queue.poll()
        while (next != null && now - next.atMillis > next.type.deadlineMillis) next = engine.queue.poll()
        val request = next ?: return
        engine.prefilling = request
        at(now + request.type.tokens / TOKENS_PER_MILLI) {
            engine.prefilling = null
            engine.running++
            request.counts.forEach { it.served++ }
            if (now - request.atMillis <= request.type.targetMillis) request.counts.forEach { it.onTime++ }
            at(now + RESPONSE_MILLIS) {
                engine.running--
                startPrefill(number)
            }
            report(number, request.gateway)
            startPrefill(number)
        }
    }

    private fun report(engine: Int, receiver: Int) {
        val report = Report(now, engines[engine].running, engines[engine].queue.size)
        for (gateway in gateways.indices) {
            val isCut = now >= partitionedFromMillis && gateway % 2 != receiver % 2
            if (isCut || (gateway >= GATEWAYS / 2 && now >= lostGatewaysAtMillis)) continue
            val delay = if (gateway == receiver) OWN_DELAY_MILLIS else random.nextDouble(300.0, 2_400.0)
            at(now + delay) {
                val known = gateways[gateway].reports[engine]
                if (known == null || known.atMillis < report.atMillis) gateways[gateway].reports[engine] = report
            }
        }
    }

    companion object {
        const val GATEWAYS = 8
        const val ENGINES = 6
        const val SLOTS = 48
        const val TOKENS_PER_MILLI = 32.4
        const val DURATION_MILLIS = 20_000.0
        const val RESPONSE_MILLIS = 250.0
        const val OWN_DELAY_MILLIS = 200.0
        const val REPORT_EXPIRY_MILLIS = 3_000
        const val ACCOUNTS = 24
        const val LARGE_FRACTION = 0.4
        const val SESSIONS = 5
    }
}
