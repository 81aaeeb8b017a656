/*
 * The stand-in booking desk over HTTP, and the control calls of tests under /stand-in.
 */
package org.primrosesill.standin

import arrow.core.Either
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.ktor.utils.io.writeByteArray
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import org.primrosesill.event.EventLog
import org.primrosesill.event.EventSubject
import org.primrosesill.event.noOpEventLog
import org.primrosesill.generated.EventType
import org.primrosesill.generated.LoadReport
import org.primrosesill.generated.UpstreamState
import org.primrosesill.model.RequestId
import org.primrosesill.model.SocketAddress
import org.primrosesill.model.UpstreamId
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

/**
 * Settings of the stand-in booking desk.
 *
 * @property stock items of each kind at the start
 * @property answerMillis time that each call takes
 */
public data class ServiceSettings(val upstream: UpstreamId, val stock: Int = 100, val answerMillis: Long = 2)

/** Starts a stand-in booking desk that writes what it runs to [events]. */
public fun startService(
    address: SocketAddress,
    settings: ServiceSettings,
    events: EventLog = noOpEventLog(),
): Either<StandInFailure, StandIn> =
    startStandIn(address) { serviceRoutes(BookingDesk(settings.stock), settings, events, System::currentTimeMillis) }

@Serializable
internal data class ServiceSwitch(val leaving: Boolean)

internal fun Route.serviceRoutes(
    desk: BookingDesk,
    settings: ServiceSettings,
    events: EventLog,
    currentMillis: () -> Long,
) {
    val running = AtomicInteger()
    val leaving = AtomicBoolean()

    suspend fun ApplicationCall.serve(run: (String) -> Pair<HttpStatusCode, String>) {
        running.incrementAndGet()
        try {
            if (leaving.get()) {
                respondNotRun("the service is leaving", UpstreamState.LEAVING)
            } else {
                runWithFault(desk, settings, events, run)
            }
        } finally {
            running.decrementAndGet()
        }
    }
    post("/bookings") {
        val body = call.receiveJson<BookingBody>() ?: return@post
        val key = call.request.headers["Idempotency-Key"]
        call.serve { HttpStatusCode.Created to standInJson.encodeToString(desk.book(body, it, key, currentMillis())) }
    }
    get("/stock/{item}") {
        val item = call.parameters["item"].orEmpty()
        call.serve { HttpStatusCode.OK to standInJson.encodeToString(desk.stock(item, it, currentMillis())) }
    }
    get("/load") {
        val state = if (leaving.get()) UpstreamState.LEAVING else UpstreamState.WARM
        call.respondJson(LoadReport(settings.upstream, state, running.get(), 0, reportedAtMillis = currentMillis()))
    }
    serviceControls(desk, leaving)
}

private fun Route.serviceControls(desk: BookingDesk, leaving: AtomicBoolean) {
    get("/stand-in/executions") { call.respondJson(desk.page()) }
    put("/stand-in/fault") {
        val switch = call.receiveJson<FaultSwitch>() ?: return@put
        desk.switch(switch)
        call.respondJson(switch)
    }
    put("/stand-in/mode") {
        val switch = call.receiveJson<ServiceSwitch>() ?: return@put
        leaving.set(switch.leaving)
        call.respondJson(switch)
    }
}

/** Runs the call under the fault that is switched on. Every fault but a refusal runs the call. */
private suspend fun ApplicationCall.runWithFault(
    desk: BookingDesk,
    settings: ServiceSettings,
    events: EventLog,
    run: (String) -> Pair<HttpStatusCode, String>,
) {
    val fault = desk.nextFault()
    val requestId = request.headers["X-Request-Id"] ?: ""
    val answeredId = if (fault.fault == ServiceFault.WRONG_REQUEST_ID) "other-$requestId" else requestId
    response.header("X-Request-Id", answeredId)
    if (fault.fault == ServiceFault.REFUSE) return respondNotRun("refused by a fault switch")
    val subject = EventSubject(request = RequestId(requestId), upstream = settings.upstream)
    events.record(EventType.REQUEST_EXECUTED, "fault: ${fault.fault.name.lowercase()}", subject)
    delay(settings.answerMillis)
    val (status, answer) = run(requestId)
    if (fault.fault == ServiceFault.LATE) delay(fault.delayMillis)
    if (fault.fault == ServiceFault.CLOSE_AFTER_READ) abortConnection("closed by a fault switch")
    val bytes = answer.encodeToByteArray()
    respondBytesWriter(ContentType.Application.Json, status, contentLength = bytes.size.toLong()) {
        if (fault.fault == ServiceFault.CUT) {
            writeByteArray(bytes.copyOf(bytes.size / 2))
            flush()
            abortConnection("cut by a fault switch")
        }
        writeByteArray(bytes)
    }
    events.record(EventType.REQUEST_FINISHED, "status ${status.value}", subject)
}
