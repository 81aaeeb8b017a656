/*
 * The platform protocol over HTTP. The product calls the paths under /v1; tests and operators of a trial call the paths
 * under /stand-in.
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

private const val MAXIMUM_VALUE_BYTES = 1_000_000
private const val LONGEST_WAIT_MILLIS = 60_000L
private const val TRANSFER_CHUNK_BYTES = 64 * 1024

/**
 * Settings of the stand-in platform.
 *
 * @property documents directory of JSON files; `fleet.json` becomes the document `fleet`, and so on
 * @property vms file with a `VmList`
 * @property vmLagMillis time before readers see a change of the VM list
 * @property callsPerSecond calls of all readers that are served in one second
 * @property weightBytes size of each file in the weight store
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
            val list = readFile(file) { standInJson.decodeFromString<VmList>(it) }.bind()
            state.loadVms(list.vms)
        }
        startStandIn(settings.address) {
            platformRoutes(state, CallLimit(settings.callsPerSecond), settings, System::currentTimeMillis)
        }.bind()
    }

private fun loadDocuments(directory: Path, state: PlatformState): Either<StandInFailure, Unit> =
    either {
        ensure(directory.isDirectory()) { StandInFailure.FileNotUsable(directory.toString(), "not a directory") }
        val files = Files.walk(directory).use { paths -> paths.filter { it.extension == "json" }.sorted().toList() }
        for (file in files) {
            val name = directory.relativize(file).invariantSeparatorsPathString.removeSuffix(".json")
            state.put(DocumentName(name), readFile(file) { standInJson.decodeFromString<JsonObject>(it) }.bind())
        }
    }

private fun <T> readFile(file: Path, decode: (String) -> T): Either<StandInFailure, T> =
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
    calls: CallLimit,
    settings: PlatformSettings,
    currentMillis: () -> Long,
) {
    val weights = TransferLimit(settings.weightBytesPerSecond)

    fun read(path: String, answer: suspend ApplicationCall.() -> Unit) {
        val handler: RoutingHandler = { call.guard(path, state, calls, currentMillis) { call.answer() } }
        get(path, handler)
    }
    read("/v1/configuration") { respondUnlessDown(state, state.watchPage(longParameter("since"), waitMillis())) }
    read("/v1/vms") { respondUnlessDown(state, state.watchVms(longParameter("since"), waitMillis())) }
    read("/v1/weights/{name}") { sendWeights(settings.weightBytes, weights, currentMillis) }
    platformControls(state, calls)
}

private fun Route.platformControls(state: PlatformState, calls: CallLimit) {
    put("/stand-in/documents/{name...}") { call.publish(state) }
    delete("/stand-in/documents/{name...}") { call.respondJson(state.put(call.documentName(), null)) }
    put("/stand-in/vms/{id}") {
        val entry = call.receiveJson<VmEntry>() ?: return@put
        if (entry.id.value == call.parameters["id"]) {
            call.respondJson(state.putVm(entry.id, entry))
        } else {
            call.respondError(HttpStatusCode.BadRequest, "id: differs from the path")
        }
    }
    delete("/stand-in/vms/{id}") { call.respondJson(state.putVm(VmId(call.parameters["id"].orEmpty()), null)) }
    put("/stand-in/mode") {
        call.receiveJson<PlatformBehaviour>()?.let {
            state.switch(it)
            call.respondJson(state.mode)
        }
    }
    get("/stand-in/calls") { call.respondJson(calls.counts()) }
}

/** Counts a reader's call and answers as the mode says. */
private suspend fun ApplicationCall.guard(
    path: String,
    state: PlatformState,
    calls: CallLimit,
    currentMillis: () -> Long,
    answer: suspend () -> Unit,
) {
    val admitted = calls.admit(path, currentMillis())
    if (!admitted) return respondError(HttpStatusCode.TooManyRequests, "more calls a second than the platform serves")
    if (state.mode.mode == PlatformMode.SLOW) delay(state.mode.delayMillis)
    if (state.mode.mode == PlatformMode.DOWN) respondDown() else answer()
}

private suspend fun ApplicationCall.respondDown() {
    respondError(HttpStatusCode.ServiceUnavailable, "the platform is down")
}

private suspend inline fun <reified T> ApplicationCall.respondUnlessDown(state: PlatformState, value: T) {
    if (state.mode.mode == PlatformMode.DOWN) respondDown() else respondJson(value)
}

private suspend fun ApplicationCall.publish(state: PlatformState) {
    val bytes =
        receiveChannel().readBounded(MAXIMUM_VALUE_BYTES)
            ?: return respondError(HttpStatusCode.PayloadTooLarge, "a value holds at most $MAXIMUM_VALUE_BYTES bytes")
    val body =
        try {
            standInJson.decodeFromString<JsonObject>(bytes.decodeToString())
        } catch (_: SerializationException) {
            return respondError(HttpStatusCode.BadRequest, "the value is not a JSON object")
        }
    respondJson(state.put(documentName(), body))
}

private suspend fun ApplicationCall.sendWeights(bytes: Long, limit: TransferLimit, currentMillis: () -> Long) {
    respondBytesWriter(ContentType.Application.OctetStream, contentLength = bytes) {
        var left = bytes
        while (left > 0) {
            val chunk = minOf(left, TRANSFER_CHUNK_BYTES.toLong()).toInt()
            delay(limit.reserve(chunk, currentMillis()))
            writeByteArray(ByteArray(chunk))
            flush()
            left -= chunk
        }
    }
}

private fun ApplicationCall.documentName() = DocumentName(parameters.getAll("name").orEmpty().joinToString("/"))

private fun ApplicationCall.longParameter(name: String): Long = request.queryParameters[name]?.toLongOrNull() ?: 0

private fun ApplicationCall.waitMillis(): Long = longParameter("waitMillis").coerceIn(0, LONGEST_WAIT_MILLIS)
