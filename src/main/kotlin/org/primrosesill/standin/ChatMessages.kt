/*
 * The OpenAI chat completion format, as far as the stand-in engine speaks it.
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

private val whiteSpace = Regex("\\s+")

@Serializable
internal data class ChatMessage(val role: String, val content: JsonElement = JsonNull)

@Serializable
internal data class ChatBody(
    val model: String,
    val messages: List<ChatMessage>,
    val stream: Boolean = false,
    @SerialName("max_tokens") val maximumTokens: Int? = null,
) {
    /** Splits the conversation at white space, which stands in for a tokenizer. */
    fun promptTokens(): List<String> =
        messages.flatMap { message ->
            val text = (message.content as? JsonPrimitive)?.contentOrNull ?: message.content.toString()
            listOf(message.role) + text.split(whiteSpace).filter(String::isNotEmpty)
        }
}

/** Returns the token at [index]. The first names the request, so that an answer that is crossed is seen. */
internal fun answerToken(chat: Chat, index: Int): String = if (index == 0) chat.requestId else "word$index"

internal fun chatChunk(chat: Chat, token: String): String = chunk(chat) { choice("delta", "$token ", null) }

internal fun finishChunk(chat: Chat): String = chunk(chat) { choice("delta", null, "stop") }

internal fun usageChunk(execution: Execution): String =
    chunk(execution.chat) {
        putJsonArray("choices") {}
        usage(execution)
    }

internal fun wholeAnswer(execution: Execution): String =
    buildJsonObject {
        put("id", execution.chat.requestId)
        put("object", "chat.completion")
        put("model", execution.chat.model)
        choice("message", execution.answer().joinToString("") { "$it " }, "stop")
        usage(execution)
    }.toString()

private fun chunk(chat: Chat, content: JsonObjectBuilder.() -> Unit): String =
    buildJsonObject {
        put("id", chat.requestId)
        put("object", "chat.completion.chunk")
        put("model", chat.model)
        content()
    }.toString()

private fun JsonObjectBuilder.choice(field: String, text: String?, finishReason: String?) {
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

private fun JsonObjectBuilder.usage(execution: Execution) {
    putJsonObject("usage") {
        put("prompt_tokens", execution.chat.promptTokens.size)
        put("completion_tokens", execution.generatedTokens)
        put("total_tokens", execution.chat.promptTokens.size + execution.generatedTokens)
        putJsonObject("prompt_tokens_details") { put("cached_tokens", execution.cachedTokens) }
    }
}
