/*
 * The part of the OpenAI chat completion format that the stand-in engine supports.
 */
package org.primrosesill.standin

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject

private val whitespace = Regex("\\s+")

@Serializable
internal data class ChatMessage(val role: String, val content: JsonElement = JsonNull)

@Serializable
internal data class ChatBody(
    val model: String,
    val messages: List<ChatMessage>,
    val stream: Boolean = false,
    @SerialName("max_tokens") val maximumTokens: Int? = null,
) {
    /** Returns the roles and words of the conversation in order. Splitting at whitespace replaces a tokenizer. */
    fun promptTokens(): List<String> =
        messages.flatMap { message ->
            val text = (message.content as? JsonPrimitive)?.contentOrNull ?: message.content.toString()
            listOf(message.role) + text.split(whitespace).filter(String::isNotEmpty)
        }
}

/** Returns the token at [index]. The first is the request id, which reveals responses that were swapped. */
internal fun completionToken(chat: EngineChatRequest, index: Int): String =
    if (index == 0) chat.requestId else "word$index"

internal fun tokenChunk(chat: EngineChatRequest, token: String): String =
    completionChunk(chat) { putChoice("delta", "$token ", null) }

internal fun finishChunk(chat: EngineChatRequest): String = completionChunk(chat) { putChoice("delta", null, "stop") }

internal fun usageChunk(execution: Execution): String =
    completionChunk(execution.chat) {
        putJsonArray("choices") {}
        putUsage(execution)
    }

internal fun chatCompletion(execution: Execution): String =
    buildJsonObject {
        put("id", execution.chat.requestId)
        put("object", "chat.completion")
        put("model", execution.chat.model)
        putChoice("message", execution.tokens().joinToString("") { "$it " }, "stop")
        putUsage(execution)
    }.toString()

private fun completionChunk(chat: EngineChatRequest, content: JsonObjectBuilder.() -> Unit): String =
    buildJsonObject {
        put("id", chat.requestId)
        put("object", "chat.completion.chunk")
        put("model", chat.model)
        content()
    }.toString()

private fun JsonObjectBuilder.putChoice(field: String, text: String?, finishReason: String?) {
    putJsonArray("choices") {
        addJsonObject {
            put("index", 0)
            putJsonObject(field) {
                if (text != null) {
                    put("role", "assistant")
                    put("content", text)
                }
            }
            put("finish_reason", finishReason)
        }
    }
}

private fun JsonObjectBuilder.putUsage(execution: Execution) {
    putJsonObject("usage") {
        put("prompt_tokens", execution.chat.promptTokens.size)
        put("completion_tokens", execution.generatedTokens)
        put("total_tokens", execution.chat.promptTokens.size + execution.generatedTokens)
        putJsonObject("prompt_tokens_details") { put("cached_tokens", execution.cachedTokens) }
    }
}
