/*
 * The HTTP API of the stand-in engine: the upstream protocol, and control calls for tests under /stand-in.
 */
package org.primrosesill.standin

import arrow.core.Either
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.serialization.Serializable
import org.primrosesill.event.EventLog
import org.primrosesill.event.EventSubject
import org.primrosesill.event.noOpEventLog
import org.primrosesill.generated.EventType
import org.primrosesill.model.RequestId
import org.primrosesill.model.SocketAddress
import org.primrosesill.model.UpstreamId

/** Starts a stand-in engine that records the requests it executes in [events]. */
public fun startEngine(
    address: SocketAddress,
    settings: EngineSettings,
    events: EventLog = noOpEventLog(),
): Either<StandInFailure, StandIn> {
    val engine =
        Engine(settings, CoroutineScope(SupervisorJob() + Dispatchers.Default), System::currentTimeMillis) {
            recordExecution(events, settings.upstream, it)
        }
    val orders = EngineOrderStore(settings.fencingCheck)
    return startStandIn(address) { engineRoutes(engine, orders, System::currentTimeMillis) }
}

private fun recordExecution(events: EventLog, upstream: UpstreamId, execution: Execution) {
    val subject = EventSubject(request = RequestId(execution.chat.requestId), upstream = upstream)
    when (val end = execution.end) {
        null -> events.record(EventType.REQUEST_EXECUTED, "${execution.cachedTokens} prompt tokens cached", subject)
        StreamEnd.FINISHED -> events.record(EventType.REQUEST_FINISHED, "response generated", subject)
        else -> events.record(EventType.ANSWER_CUT, end.name.lowercase(), subject)
    }
}

/** The body of `PUT /stand-in/mode`. */
@Serializable
internal data class EngineSwitch(val mode: EngineMode)

internal fun Route.engineRoutes(engine: Engine, orders: EngineOrderStore, currentMillis: () -> Long) {
    post("/v1/chat/completions") { call.handleChat(engine, currentMillis) }
    get("/v1/streams/{requestId}") { call.handleResume(engine, currentMillis) }
    delete("/v1/streams/{requestId}") {
        call.echoRequestId()
        val cancelled = engine.cancel(call.requestIdParameter())
        call.respondJson(
            mapOf("cancelled" to cancelled),
            if (cancelled) HttpStatusCode.OK else HttpStatusCode.NotFound,
        )
    }
    get(
        "/load",
    ) { if (engine.hasFailed) call.respondNotRun("the engine has failed") else call.respondJson(engine.report()) }
    get("/cache-events") {
        call.respondJson(engine.cacheEvents(call.request.queryParameters["since"]?.toLongOrNull() ?: 0))
    }
    get("/orders") { call.respondJson(orders.orders()) }
    post("/orders") {
        val order = call.receiveJson<EngineOrder>() ?: return@post
        call.respondJson(orders.orders(), if (orders.apply(order)) HttpStatusCode.OK else HttpStatusCode.Conflict)
    }
    engineControls(engine)
}

private fun Route.engineControls(engine: Engine) {
    get("/stand-in/executions") { call.respondJson(engine.executions.page()) }
    put("/stand-in/mode") {
        val switch = call.receiveJson<EngineSwitch>() ?: return@put
        engine.setMode(switch.mode)
        call.respondJson(switch)
    }
    post("/stand-in/cut") {
        engine.disconnectReaders()
        call.respondText("")
    }
}

private suspend fun ApplicationCall.handleChat(engine: Engine, currentMillis: () -> Long) {
    val requestId = echoRequestId()
    val body = receiveJson<ChatBody>() ?: return
    val chat =
        EngineChatRequest(
            requestId,
            body.model,
            body.promptTokens(),
            priority = request.headers["X-Priority"]?.toIntOrNull() ?: DEFAULT_PRIORITY,
            deadlineMillis = request.headers["X-Deadline-Millis"]?.toLongOrNull() ?: DEFAULT_DEADLINE_MILLIS,
            maximumTokens = body.maximumTokens,
        )
    engine.submit(chat).fold(
        { respondNotRun(it.reason, it.state, engine.coldConcurrencyLimit) },
        { stream ->
            addStateHeaders(engine.state, engine.coldConcurrencyLimit)
            if (body.stream) respondStream(stream, 0, currentMillis) else respondCompletion(stream, currentMillis)
        },
    )
}

private suspend fun ApplicationCall.handleResume(engine: Engine, currentMillis: () -> Long) {
    response.header("X-Request-Id", requestIdParameter())
    val stream = engine.stream(requestIdParameter())
    if (stream == null || engine.hasFailed) {
        respondError(HttpStatusCode.NotFound, "no such stream")
    } else {
        respondStream(stream, request.headers["Last-Event-ID"]?.toIntOrNull() ?: 0, currentMillis)
    }
}

/** Sends the events after number [after]. Aborts the connection unless the stream finishes. */
private suspend fun ApplicationCall.respondStream(stream: EngineStream, after: Int, currentMillis: () -> Long) {
    response.header("Cache-Control", "no-store")
    respondBytesWriter(ContentType.Text.EventStream) {
        val end =
            stream.follow(after, currentMillis) { number, event ->
                writeStringUtf8("id: $number\ndata: $event\n\n")
                flush()
            }
        if (end != StreamEnd.FINISHED) abortConnection("the response ended as ${end.name.lowercase()}")
    }
}

private suspend fun ApplicationCall.respondCompletion(stream: EngineStream, currentMillis: () -> Long) {
    if (stream.follow(0, currentMillis) { _, _ -> } == StreamEnd.FINISHED) {
        respondText(chatCompletion(stream.execution), ContentType.Application.Json)
    } else {
        respondError(HttpStatusCode.BadGateway, "the response ended as ${stream.end?.name?.lowercase()}")
    }
}

private fun ApplicationCall.requestIdParameter(): String = parameters["requestId"].orEmpty()

private const val DEFAULT_PRIORITY = 5
private const val DEFAULT_DEADLINE_MILLIS = 120_000L
