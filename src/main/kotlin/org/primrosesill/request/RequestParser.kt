/*
 * Parses and validates the parts of a request that routing needs: path, method, body, pool and idempotency key.
 */
package org.primrosesill.request

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import org.primrosesill.configuration.ConfigurationSnapshot
import org.primrosesill.generated.Contract
import org.primrosesill.generated.PoolKind
import org.primrosesill.generated.ServicePermission
import org.primrosesill.model.Failure
import org.primrosesill.model.PoolId
import java.net.URI
import java.net.URISyntaxException
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

private const val CHAT_PATH = "/v1/chat/completions"
private const val SERVICE_PREFIX = "/v1/services/"
private const val MAXIMUM_CONVERSATION_ID_LENGTH = 256

private val serviceMethods = listOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")

/** The resource that a path addresses. */
internal sealed interface Target {
    val kind: PoolKind

    data object Chat : Target {
        override val kind = PoolKind.CHAT
    }

    class Service(val service: PoolId, val path: String) : Target {
        override val kind = PoolKind.SERVICE
    }
}

/** Returns the target of [request] if its method is allowed at its path. */
internal fun targetOf(request: CallerRequest): Either<Failure, Target> =
    either {
        val path = request.path.substringBefore('?')
        val allowed =
            when {
                path == CHAT_PATH -> listOf("POST")
                path.startsWith(SERVICE_PREFIX) -> serviceMethods
                else -> raise(Failure.UnknownPath(path.take(200)))
            }
        ensure(request.method in allowed) { Failure.MethodNotAllowed(request.method, allowed) }
        if (path == CHAT_PATH) Target.Chat else serviceTarget(request.path.removePrefix(SERVICE_PREFIX))
    }

private fun Raise<Failure>.serviceTarget(serviceAndPath: String): Target {
    val service = serviceAndPath.takeWhile { it != '/' && it != '?' }
    val path = serviceAndPath.removePrefix(service).let { if (it.startsWith('/')) it else "/$it" }
    val segments =
        path
            .substringBefore('?')
            .lowercase()
            .replace("%2e", ".")
            .replace("%2f", "/")
            .split('/', '\\')
    ensure(segments.none { it == "." || it == ".." }) { Failure.MalformedRequest("path", "has a relative segment") }
    ensure(isEncoded(path)) { Failure.MalformedRequest("path", "is not percent-encoded") }
    return Target.Service(PoolId(service), path)
}

private fun isEncoded(path: String): Boolean =
    try {
        URI("http://upstream$path").rawFragment == null
    } catch (_: URISyntaxException) {
        false
    }

/** Returns the contract to which the bearer token of [request] belongs. */
internal fun contractOf(request: CallerRequest, snapshot: ConfigurationSnapshot): Either<Failure, Contract> =
    either {
        ensureNotNull(snapshot.fleet) { Failure.NotReady() }
        val token = bearerToken(request.header("authorization"))
        ensureNotNull(token?.let { snapshot.contractFor(credentialHash(it)) }) { Failure.UnknownCustomer() }
    }

internal class RequestParser(private val timeSource: TimeSource.WithComparableMarks) {
    /** Receives the body of [request], validates the request and returns its context. */
    suspend fun parse(
        request: CallerRequest,
        target: Target,
        contract: Contract,
        snapshot: ConfigurationSnapshot,
    ): Either<Failure, AcceptedRequest> =
        either {
            val arrivedAt = timeSource.markNow()
            val pools = snapshot.fleet?.pools.orEmpty()
            val requirePool = { pool: PoolId, kind: PoolKind ->
                ensure(pools.any { it.id == pool && it.kind == kind }) { Failure.UnknownPool(pool) }
            }
            when (target) {
                Target.Chat -> {
                    val body = request.body.receive(contract.maximumBodyBytes).bind()
                    val chat = parseChat(body).bind()
                    ensure(chat.model in contract.models) { Failure.UnknownPool(chat.model) }
                    requirePool(chat.model, PoolKind.CHAT)
                    chatContext(request, contract, chat, body, arrivedAt + contract.chatDeadlineMillis.milliseconds)
                }
                is Target.Service -> {
                    val permission = contract.services.firstOrNull { it.service == target.service }
                    ensureNotNull(permission) { Failure.UnknownPool(target.service) }
                    requirePool(target.service, PoolKind.SERVICE)
                    val key = checkedKey(request, permission)
                    val body = request.body.receive(contract.maximumBodyBytes).bind()
                    val deadline = arrivedAt + contract.serviceDeadlineMillis.milliseconds
                    serviceContext(request, contract, target, key, body, deadline)
                }
            }
        }

    private fun Raise<Failure>.chatContext(
        request: CallerRequest,
        contract: Contract,
        chat: ChatRequest,
        body: ByteArray,
        deadline: ComparableTimeMark,
    ): AcceptedRequest {
        val conversationId = request.header("x-conversation-id")
        ensure((conversationId?.length ?: 0) <= MAXIMUM_CONVERSATION_ID_LENGTH) {
            Failure.MalformedRequest("X-Conversation-Id", "is longer than $MAXIMUM_CONVERSATION_ID_LENGTH characters")
        }
        return AcceptedRequest(
            id = request.id,
            contract = contract,
            pool = chat.model,
            kind = PoolKind.CHAT,
            method = "POST",
            path = CHAT_PATH,
            headers = headersForUpstream(request.headers),
            body = body,
            deadline = deadline,
            affinityKey = conversationId ?: chat.affinityKey,
            streaming = chat.stream,
        )
    }

    private fun serviceContext(
        request: CallerRequest,
        contract: Contract,
        target: Target.Service,
        key: IdempotencyKey,
        body: ByteArray,
        deadline: ComparableTimeMark,
    ): AcceptedRequest {
        val keyHeader = key.value?.let { mapOf("idempotency-key" to it) }.orEmpty()
        return AcceptedRequest(
            id = request.id,
            contract = contract,
            pool = target.service,
            kind = PoolKind.SERVICE,
            method = request.method,
            path = target.path,
            headers = headersForUpstream(request.headers) + keyHeader,
            body = body,
            deadline = deadline,
            repeatable = key.repeatable,
            idempotencyKey = key.value.takeUnless { key.repeatable },
            requestDigest = requestDigest(request.method, request.path, body),
        )
    }

    private class IdempotencyKey(val value: String?, val repeatable: Boolean)

    private fun Raise<Failure>.checkedKey(request: CallerRequest, permission: ServicePermission): IdempotencyKey {
        val repeatable = request.method in permission.repeatableMethods
        val key = idempotencyKey(request).bind()
        ensure(repeatable || key != null || !permission.keyRequired) { Failure.KeyRequired(permission.service) }
        return IdempotencyKey(key, repeatable)
    }
}
