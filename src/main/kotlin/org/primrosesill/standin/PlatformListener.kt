/*
 * The HTTP API of the stand-in platform: the platform protocol under /v1 for the routers, and control calls under
 * /stand-in for tests and operators.
 */
package org.primrosesill.standin

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingHandler
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.put
import io.ktor.utils.io.writeByteArray
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonObject
import org.primrosesill.generated.VmEntry
import org.primrosesill.generated.VmList
import org.primrosesill.http.readBounded
import org.primrosesill.model.DocumentName
import org.primrosesill.model.SocketAddress
import org.primrosesill.model.VmId
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.invariantSeparatorsPathString
import kotlin.io.path.isDirectory
import kotlin.io.path.readText

private const val MAXIMUM_DOCUMENT_BYTES = 1_000_000
private const val MAXIMUM_WAIT_MILLIS = 60_000L
private const val TRANSFER_CHUNK_BYTES = 64 * 1024

/**
 * Settings of the stand-in platform.
 *
 * @property documents directory of JSON files; the path without `.json` is the document name, such as `fleet`
 * @property vms JSON file with a `VmList`
 * @property vmLagMillis delay before clients see a change of the VM list, in milliseconds
 * @property callsPerSecond maximum number of calls per second from all clients
 * @property weightBytes size of each file in the weight store
 * @property weightBytesPerSecond rate at which the weight store sends data, shared by all transfers
 */
public data class PlatformSettings(
    val address: SocketAddress,
    val documents: Path? = null,
    val vms: Path? = null,
    val vmLagMillis: Long = 1_000,
    val callsPerSecond: Int = 2_000,
    val weightBytes: Long = 16L * 1024 * 1024,
    val weightBytesPerSecond: Long = 64L * 1024 * 1024,
)

/** Starts a stand-in platform. */
public fun startPlatform(settings: PlatformSettings): Either<StandInFailure, StandIn> =
    either {
        val state = PlatformState(CoroutineScope(SupervisorJob() + Dispatchers.Default), settings.vmLagMillis)
        settings.documents?.let { directory -> loadDocuments(directory, state).bind() }
        settings.vms?.let { file ->
            val list = readJson(file) { standInJson.decodeFromString<VmList>(it) }.bind()
            state.initializeVms(list.vms)
        }
        startStandIn(settings.address) {
            platformRoutes(state, CallRateLimiter(settings.callsPerSecond), settings, System::currentTimeMillis)
        }.bind()
    }

private fun loadDocuments(directory: Path, state: PlatformState): Either<StandInFailure, Unit> =
    either {
        ensure(directory.isDirectory()) { StandInFailure.FileNotUsable(directory.toString(), "not a directory") }
        val files = Files.walk(directory).use { paths -> paths.filter { it.extension == "json" }.sorted().toList() }
        for (file in files) {
            val name = directory.relativize(file).invariantSeparatorsPathString.removeSuffix(".json")
            state.publish(DocumentName(name), readJson(file) { standInJson.decodeFromString<JsonObject>(it) }.bind())
        }
    }

private fun <T> readJson(file: Path, decode: (String) -> T): Either<StandInFailure, T> =
    Either
        .catchOrThrow<IOException, String> { file.readText() }
        .mapLeft { StandInFailure.FileNotUsable(file.toString(), "cannot be read") }
        .let { text ->
            either {
                Either
                    .catchOrThrow<SerializationException, T> { decode(text.bind()) }
                    .mapLeft {
                        StandInFailure.FileNotUsable(
                            file.toString(),
                            it.message
                                .orEmpty()
                                .lines()
                                .first(),
                        )
                    }.bind()
            }
        }

internal fun Route.platformRoutes(
    state: PlatformState,
    calls: CallRateLimiter,
    settings: PlatformSettings,
    currentMillis: () -> Long,
) {
    val weights = BandwidthLimiter(settings.weightBytesPerSecond)

    fun read(path: String, respond: suspend ApplicationCall.() -> Unit) {
        val handler: RoutingHandler = { call.serveRead(path, state, calls, currentMillis) { call.respond() } }
        get(path, handler)
    }
    read("/v1/configuration") { respondUnlessDown(state, state.watchDocuments(longParameter("since"), waitMillis())) }
    read("/v1/vms") { respondUnlessDown(state, state.watchVms(longParameter("since"), waitMillis())) }
    read("/v1/weights/{name}") { sendWeights(settings.weightBytes, weights, currentMillis) }
    platformControls(state, calls)
}

private fun Route.platformControls(state: PlatformState, calls: CallRateLimiter) {
    put("/stand-in/documents/{name...}") { call.publishDocument(state) }
    delete("/stand-in/documents/{name...}") { call.respondJson(state.publish(call.documentName(), null)) }
    put("/stand-in/vms/{id}") {
        val entry = call.receiveJson<VmEntry>() ?: return@put
        if (entry.id.value == call.parameters["id"]) {
            call.respondJson(state.putVm(entry.id, entry))
        } else {
            call.respondError(HttpStatusCode.BadRequest, "the id in the body differs from the id in the path")
        }
    }
    delete("/stand-in/vms/{id}") { call.respondJson(state.putVm(VmId(call.parameters["id"].orEmpty()), null)) }
    put("/stand-in/mode") {
        call.receiveJson<PlatformBehaviour>()?.let {
            state.changeBehaviour(it)
            call.respondJson(state.behaviour)
        }
    }
    get("/stand-in/calls") { call.respondJson(calls.counts()) }
}

/** Counts the call, then responds within the call rate limit and according to the response mode. */
private suspend fun ApplicationCall.serveRead(
    path: String,
    state: PlatformState,
    calls: CallRateLimiter,
    currentMillis: () -> Long,
    respond: suspend () -> Unit,
) {
    val admitted = calls.admit(path, currentMillis())
    if (!admitted) return respondError(HttpStatusCode.TooManyRequests, "the call rate limit is exceeded")
    if (state.behaviour.mode == PlatformMode.SLOW) delay(state.behaviour.delayMillis)
    if (state.behaviour.mode == PlatformMode.DOWN) respondDown() else respond()
}

private suspend fun ApplicationCall.respondDown() {
    respondError(HttpStatusCode.ServiceUnavailable, "the platform is down")
}

private suspend inline fun <reified T> ApplicationCall.respondUnlessDown(state: PlatformState, value: T) {
    if (state.behaviour.mode == PlatformMode.DOWN) respondDown() else respondJson(value)
}

private suspend fun ApplicationCall.publishDocument(state: PlatformState) {
    val bytes =
        receiveChannel().readBounded(MAXIMUM_DOCUMENT_BYTES)
            ?: return respondError(HttpStatusCode.PayloadTooLarge, "the document exceeds $MAXIMUM_DOCUMENT_BYTES bytes")
    val body =
        try {
            standInJson.decodeFromString<JsonObject>(bytes.decodeToString())
        } catch (_: SerializationException) {
            return respondError(HttpStatusCode.BadRequest, "the document is not a JSON object")
        }
    respondJson(state.publish(documentName(), body))
}

private suspend fun ApplicationCall.sendWeights(bytes: Long, limiter: BandwidthLimiter, currentMillis: () -> Long) {
    respondBytesWriter(ContentType.Application.OctetStream, contentLength = bytes) {
        var remaining = bytes
        while (remaining > 0) {
            val chunk = minOf(remaining, TRANSFER_CHUNK_BYTES.toLong()).toInt()
            delay(limiter.reserve(chunk, currentMillis()))
            writeByteArray(ByteArray(chunk))
            flush()
            remaining -= chunk
        }
    }
}

private fun ApplicationCall.documentName() = DocumentName(parameters.getAll("name").orEmpty().joinToString("/"))

private fun ApplicationCall.longParameter(name: String): Long = request.queryParameters[name]?.toLongOrNull() ?: 0

private fun ApplicationCall.waitMillis(): Long = longParameter("waitMillis").coerceIn(0, MAXIMUM_WAIT_MILLIS)
