/*
 * The HTTP API of the stand-in booking service, and control calls for tests under /stand-in.
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
 * Settings of the stand-in booking service.
 *
 * @property stock initial quantity of each item
 * @property answerMillis time to process one call, in milliseconds
 */
public data class ServiceSettings(val upstream: UpstreamId, val stock: Int = 100, val answerMillis: Long = 2)

/** Starts a stand-in booking service that records the requests it executes in [events]. */
public fun startService(
    address: SocketAddress,
    settings: ServiceSettings,
    events: EventLog = noOpEventLog(),
): Either<StandInFailure, StandIn> =
    startStandIn(address) { serviceRoutes(BookingService(settings.stock), settings, events, System::currentTimeMillis) }

/** The body of `PUT /stand-in/mode`. */
@Serializable
internal data class ServiceSwitch(val leaving: Boolean)

internal fun Route.serviceRoutes(
    service: BookingService,
    settings: ServiceSettings,
    events: EventLog,
    currentMillis: () -> Long,
) {
    val inFlight = AtomicInteger()
    val leaving = AtomicBoolean()

    suspend fun ApplicationCall.serve(execute: (String) -> Pair<HttpStatusCode, String>) {
        inFlight.incrementAndGet()
        try {
            if (leaving.get()) {
                respondNotRun("the service is leaving", UpstreamState.LEAVING)
            } else {
                executeWithFault(service, settings, events, execute)
            }
        } finally {
            inFlight.decrementAndGet()
        }
    }
    post("/bookings") {
        val body = call.receiveJson<BookingBody>() ?: return@post
        val key = call.request.headers["Idempotency-Key"]
        call.serve {
            HttpStatusCode.Created to standInJson.encodeToString(service.book(body, it, key, currentMillis()))
        }
    }
    get("/stock/{item}") {
        val item = call.parameters["item"].orEmpty()
        call.serve { HttpStatusCode.OK to standInJson.encodeToString(service.stock(item, it, currentMillis())) }
    }
    get("/load") {
        val state = if (leaving.get()) UpstreamState.LEAVING else UpstreamState.WARM
        call.respondJson(LoadReport(settings.upstream, state, inFlight.get(), 0, reportedAtMillis = currentMillis()))
    }
    serviceControls(service, leaving)
}

private fun Route.serviceControls(service: BookingService, leaving: AtomicBoolean) {
    get("/stand-in/executions") { call.respondJson(service.executionPage()) }
    put("/stand-in/fault") {
        val faultSwitch = call.receiveJson<FaultSwitch>() ?: return@put
        service.setFault(faultSwitch)
        call.respondJson(faultSwitch)
    }
    put("/stand-in/mode") {
        val switch = call.receiveJson<ServiceSwitch>() ?: return@put
        leaving.set(switch.leaving)
        call.respondJson(switch)
    }
}

/** Executes the call and applies the injected fault. Every fault except [ServiceFault.REFUSE] executes the call. */
private suspend fun ApplicationCall.executeWithFault(
    service: BookingService,
    settings: ServiceSettings,
    events: EventLog,
    execute: (String) -> Pair<HttpStatusCode, String>,
) {
    val faultSwitch = service.consumeFault()
    val requestId = request.headers["X-Request-Id"] ?: ""
    val responseId = if (faultSwitch.fault == ServiceFault.WRONG_REQUEST_ID) "other-$requestId" else requestId
    response.header("X-Request-Id", responseId)
    if (faultSwitch.fault == ServiceFault.REFUSE) return respondNotRun("rejected by an injected fault")
    val subject = EventSubject(request = RequestId(requestId), upstream = settings.upstream)
    events.record(EventType.REQUEST_EXECUTED, "fault: ${faultSwitch.fault.name.lowercase()}", subject)
    delay(settings.answerMillis)
    val (status, body) = execute(requestId)
    if (faultSwitch.fault == ServiceFault.LATE) delay(faultSwitch.delayMillis)
    if (faultSwitch.fault == ServiceFault.CLOSE_AFTER_READ) abortConnection("connection closed by an injected fault")
    val bytes = body.encodeToByteArray()
    respondBytesWriter(ContentType.Application.Json, status, contentLength = bytes.size.toLong()) {
        if (faultSwitch.fault == ServiceFault.CUT) {
            writeByteArray(bytes.copyOf(bytes.size / 2))
            flush()
            abortConnection("response truncated by an injected fault")
        }
        writeByteArray(bytes)
    }
    events.record(EventType.REQUEST_FINISHED, "status ${status.value}", subject)
}
