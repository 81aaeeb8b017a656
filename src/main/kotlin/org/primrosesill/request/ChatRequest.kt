/*
 * The fields of an OpenAI-style chat completion request that routing needs. The body is forwarded unchanged.
 */
package org.primrosesill.request

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import com.dynatrace.hash4j.hashing.Hashing
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.primrosesill.model.Failure
import org.primrosesill.model.PoolId

/** @property affinityKey hash of the model and of the system prompt and first user message, which engines cache */
internal class ChatRequest(val model: PoolId, val stream: Boolean, val affinityKey: String)

internal fun parseChat(body: ByteArray): Either<Failure, ChatRequest> =
    either {
        val root = parseObject(body)
        val model = (root["model"] as? JsonPrimitive)?.takeIf { it.isString }
        ensureNotNull(model) { Failure.MalformedRequest("model", "a string is required") }
        val messages = root["messages"] as? JsonArray
        ensure(!messages.isNullOrEmpty()) { Failure.MalformedRequest("messages", "a non-empty list is required") }
        val roles = messages.map { message -> (message as? JsonObject)?.get("role").stringOrNull() }
        ensure(null !in roles) { Failure.MalformedRequest("messages", "each message needs a role") }
        val stream = root["stream"]
        ensure(stream == null || stream == JsonPrimitive(true) || stream == JsonPrimitive(false)) {
            Failure.MalformedRequest("stream", "a boolean is required")
        }
        val promptPrefix = listOf("system", "user").map { messages.getOrNull(roles.indexOf(it)).toString() }
        ChatRequest(PoolId(model.content), stream == JsonPrimitive(true), hash("${model.content}\n$promptPrefix"))
    }

private fun Raise<Failure>.parseObject(body: ByteArray): JsonObject {
    val element =
        try {
            Json.parseToJsonElement(body.toString(Charsets.UTF_8))
        } catch (_: SerializationException) {
            // The error message of the parser quotes the body, which may contain chat text, so it is not reported.
            raise(Failure.MalformedRequest("body", "is not JSON"))
        }
    return element as? JsonObject ?: raise(Failure.MalformedRequest("body", "a JSON object is required"))
}

private fun JsonElement?.stringOrNull(): String? = (this as? JsonPrimitive)?.takeIf { it.isString }?.content

private fun hash(text: String): String = Hashing.xxh3_64().hashCharsToLong(text).toString(16)
