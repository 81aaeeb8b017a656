/*
 * Reads and checks a request until it can be routed: path, method, body, pool and idempotency key.
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

/** What the path of a request asks for. */
internal sealed interface Target {
    val kind: PoolKind

    data object Chat : Target {
        override val kind = PoolKind.CHAT
    }

    class Service(val service: PoolId, val path: String) : Target {
        override val kind = PoolKind.SERVICE
    }
}

/** Returns what the path of [request] asks for, once its method is known to be allowed there. */
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

private fun Raise<Failure>.serviceTarget(rest: String): Target {
    val service = rest.takeWhile { it != '/' && it != '?' }
    val path = rest.removePrefix(service).let { if (it.startsWith('/')) it else "/$it" }
    val segments =
        path
            .substringBefore('?')
            .lowercase()
            .replace("%2e", ".")
            .replace("%2f", "/")
            .split('/', '\\')
    ensure(segments.none { it == "." || it == ".." }) { Failure.MalformedRequest("path", "it has a relative segment") }
    ensure(isEncoded(path)) { Failure.MalformedRequest("path", "it is not percent-encoded") }
    return Target.Service(PoolId(service), path)
}

private fun isEncoded(path: String): Boolean =
    try {
        URI("http://upstream$path").rawFragment == null
    } catch (_: URISyntaxException) {
        false
    }

/** Returns the contract that holds the bearer token of [request]. */
internal fun contractOf(request: CallerRequest, snapshot: ConfigurationSnapshot): Either<Failure, Contract> =
    either {
        ensureNotNull(snapshot.fleet) { Failure.NotReady() }
        val token = bearerToken(request.header("authorization"))
        ensureNotNull(token?.let { snapshot.contractFor(credentialHash(it)) }) { Failure.UnknownCustomer() }
    }

internal class RequestIntake(private val timeSource: TimeSource.WithComparableMarks) {
    /** Reads the body of [request] and returns what has to be done for it. */
    suspend fun read(
        request: CallerRequest,
        target: Target,
        contract: Contract,
        snapshot: ConfigurationSnapshot,
    ): Either<Failure, Work> =
        either {
            val arrived = timeSource.markNow()
            val pools = snapshot.fleet?.pools.orEmpty()
            val requireKind = { pool: PoolId, kind: PoolKind ->
                ensure(pools.any { it.id == pool && it.kind == kind }) { Failure.UnknownPool(pool) }
            }
            when (target) {
                Target.Chat -> {
                    val body = request.body.receive(contract.maximumBodyBytes).bind()
                    val chat = parseChat(body).bind()
                    ensure(chat.model in contract.models) { Failure.UnknownPool(chat.model) }
                    requireKind(chat.model, PoolKind.CHAT)
                    chatWork(request, contract, chat, body, arrived + contract.chatDeadlineMillis.milliseconds)
                }
                is Target.Service -> {
                    val permission = contract.services.firstOrNull { it.service == target.service }
                    ensureNotNull(permission) { Failure.UnknownPool(target.service) }
                    requireKind(target.service, PoolKind.SERVICE)
                    val key = usableKey(request, permission)
                    val body = request.body.receive(contract.maximumBodyBytes).bind()
                    val deadline = arrived + contract.serviceDeadlineMillis.milliseconds
                    serviceWork(request, contract, target, key, body, deadline)
                }
            }
        }

    private fun Raise<Failure>.chatWork(
        request: CallerRequest,
        contract: Contract,
        chat: ChatRequest,
        body: ByteArray,
        deadline: ComparableTimeMark,
    ): Work {
        val conversation = request.header("x-conversation-id")
        ensure((conversation?.length ?: 0) <= MAXIMUM_CONVERSATION_ID_LENGTH) {
            Failure.MalformedRequest("X-Conversation-Id", "it has over $MAXIMUM_CONVERSATION_ID_LENGTH characters")
        }
        return Work(
            id = request.id,
            contract = contract,
            pool = chat.model,
            kind = PoolKind.CHAT,
            method = "POST",
            path = CHAT_PATH,
            headers = headersForUpstream(request.headers),
            body = body,
            deadline = deadline,
            affinityKey = conversation ?: chat.affinityKey,
            streaming = chat.stream,
        )
    }

    private fun serviceWork(
        request: CallerRequest,
        contract: Contract,
        target: Target.Service,
        key: ServiceKey,
        body: ByteArray,
        deadline: ComparableTimeMark,
    ): Work {
        val keyHeader = key.value?.let { mapOf("idempotency-key" to it) }.orEmpty()
        return Work(
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
            key = key.value.takeUnless { key.repeatable },
            digest = requestDigest(request.method, request.path, body),
        )
    }

    private class ServiceKey(val value: String?, val repeatable: Boolean)

    private fun Raise<Failure>.usableKey(request: CallerRequest, permission: ServicePermission): ServiceKey {
        val repeatable = request.method in permission.repeatableMethods
        val key = idempotencyKey(request).bind()
        ensure(repeatable || key != null || !permission.keyRequired) { Failure.KeyRequired(permission.service) }
        return ServiceKey(key, repeatable)
    }
}
