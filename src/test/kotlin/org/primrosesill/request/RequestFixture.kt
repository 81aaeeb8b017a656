/*
 * A request handler with fake dependencies: a scripted upstream client, a caller that records its response, and a
 * configuration with one contract.
 */
package org.primrosesill.request

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import org.primrosesill.configuration.ConfigurationSnapshot
import org.primrosesill.event.EventLog
import org.primrosesill.event.EventSubject
import org.primrosesill.generated.AvailabilityZoneSettings
import org.primrosesill.generated.Contract
import org.primrosesill.generated.EventType
import org.primrosesill.generated.FleetDocument
import org.primrosesill.generated.PoolKind
import org.primrosesill.generated.PoolSettings
import org.primrosesill.generated.ServicePermission
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.CustomerId
import org.primrosesill.model.Failure
import org.primrosesill.model.PoolId
import org.primrosesill.model.RequestId
import org.primrosesill.model.toHeaderFields
import kotlin.time.TimeSource

const val TOKEN = "secret"
const val CHAT_BODY = """{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}"""

val contract =
    Contract(
        customer = CustomerId("c"),
        credentialHashes = listOf(credentialHash(TOKEN)),
        requestsPerSecond = 100.0,
        concurrentRequests = 10,
        models = listOf(PoolId("m"), PoolId("gone")),
        services =
            listOf(
                ServicePermission(PoolId("booking")),
                ServicePermission(PoolId("stock"), repeatableMethods = listOf("GET", "PUT"), keyRequired = false),
            ),
        chatDeadlineMillis = 10_000,
        serviceDeadlineMillis = 2_000,
        maximumBodyBytes = 4_096,
    )

val snapshot =
    ConfigurationSnapshot(
        fleet =
            FleetDocument(
                listOf(AvailabilityZoneSettings(AvailabilityZoneId("a"))),
                listOf(
                    PoolSettings(PoolId("m"), PoolKind.CHAT),
                    PoolSettings(PoolId("booking"), PoolKind.SERVICE),
                    PoolSettings(PoolId("stock"), PoolKind.SERVICE),
                ),
            ),
        contracts = mapOf(contract.customer to contract),
        customersByCredentialHash = contract.credentialHashes.associateWith { contract.customer },
    )

/** The reaction of a scripted upstream to one call. */
sealed interface Reply {
    data object NotSent : Reply

    data object Reset : Reply

    data object TimedOut : Reply

    data object Hang : Reply

    class Response(
        val status: Int = 200,
        val parts: List<BodyPart> = listOf(BodyPart.End),
        val headers: Map<String, String> = emptyMap(),
        val requestId: String? = null,
    ) : Reply
}

/** Delays the next part of a body by half a second. */
val delayMarker = BodyPart.Bytes(ByteArray(0))

/** Stalls a body: the upstream keeps the connection open but sends nothing more. */
val stallMarker = BodyPart.Bytes(ByteArray(0))

class ScriptedClient(private val replyTo: (UpstreamCall) -> Reply) : UpstreamClient {
    /** A client that replies to one call after the other. */
    constructor(replies: List<Reply>) : this(ArrayDeque(replies))

    private constructor(remaining: ArrayDeque<Reply>) : this({ _ -> remaining.removeFirst() })

    val calls = mutableListOf<UpstreamCall>()

    /** Calls that sent a request to an upstream, without those that resume or cancel a stream. */
    val sent: List<UpstreamCall> get() = calls.filterNot { it.path.startsWith("/v1/streams/") }

    override suspend fun <T> exchange(call: UpstreamCall, use: suspend (UpstreamResponse) -> T): ExchangeResult<T> {
        calls += call
        if (call.method == "DELETE") return ExchangeResult.NotSent("not scripted")
        return when (val reply = replyTo(call)) {
            Reply.NotSent -> ExchangeResult.NotSent("refused")
            Reply.Reset -> ExchangeResult.ConnectionFailed("reset")
            Reply.TimedOut -> ExchangeResult.TimedOut
            Reply.Hang -> awaitCancellation()
            is Reply.Response -> ExchangeResult.Responded(use(responseTo(call, reply)))
        }
    }

    private fun responseTo(call: UpstreamCall, reply: Reply.Response): UpstreamResponse {
        val parts = ArrayDeque(reply.parts)
        val headers = reply.headers + ("x-request-id" to (reply.requestId ?: call.requestId))
        return UpstreamResponse(reply.status, headers.toHeaderFields()) {
            val part = parts.removeFirst()
            if (part === delayMarker) delay(500)
            if (part === stallMarker) awaitCancellation() else part
        }
    }
}

/** Records the response. Disconnects after [disconnectsAfter] writes. */
class RecordingCaller(private val disconnectsAfter: Int = Int.MAX_VALUE) : CallerResponse {
    var failure: Failure? = null
    var head: CallerResponseHead? = null
    var end: StreamEnd? = null
    val text = StringBuilder()
    private var writes = 0

    override suspend fun respondWithFailure(failure: Failure) {
        this.failure = failure
    }

    override suspend fun respond(head: CallerResponseHead, body: ByteArray) =
        stream(head) { writer ->
            writer.write(body)
            StreamEnd.COMPLETE
        }

    override suspend fun stream(head: CallerResponseHead, produce: suspend (ResponseBodyWriter) -> StreamEnd) {
        this.head = head
        end =
            produce { bytes ->
                delay(1)
                if (writes++ >= disconnectsAfter) throw CallerDisconnectedException("the caller disconnected")
                text.append(bytes.decodeToString())
            }
    }

    /** Returns the failure type, the response status, "cut" for an aborted response, or "none" without a response. */
    fun result(): String =
        failure?.type ?: head?.let { if (end == StreamEnd.COMPLETE) "${it.status}" else "cut" } ?: "none"
}

class RecordingEvents : EventLog {
    val types = mutableListOf<EventType>()

    override fun record(type: EventType, cause: String, subject: EventSubject) {
        synchronized(types) { types += type }
    }
}

class RequestFixture(
    val client: UpstreamClient,
    addresses: List<String> = listOf("u1", "u2", "u3", "u4"),
    timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    configuration: ConfigurationSnapshot = snapshot,
) {
    val admission = FakeAdmission()
    val limiter = FakeLimiter()
    val budget = FakeBudget()
    val slots = FakeSlots()
    val claims = FakeKeyClaims()
    val selector = FakeSelector(addresses)
    val events = RecordingEvents()
    val registry = SimpleMeterRegistry()
    val flow =
        requestFlow(
            RequestFlowDependencies(
                { configuration },
                { admission },
                budget,
                limiter,
                claims,
                slots,
                selector,
                client,
                events,
                registry,
                timeSource = timeSource,
            ),
        )

    /** Describes permits that were not released exactly once. */
    fun leaks(): List<String> =
        listOf(admission.permits, limiter.permits, slots.permits, selector.permits).mapNotNull { it.leak() } +
            listOfNotNull("requests in flight: ${flow.inFlight}".takeIf { flow.inFlight != 0 })
}

fun callerRequest(
    method: String = "POST",
    path: String = "/v1/chat/completions",
    body: String = CHAT_BODY,
    headers: Map<String, String> = emptyMap(),
): CallerRequest {
    val all = mapOf("authorization" to "Bearer $TOKEN") + headers
    return CallerRequest(RequestId("r"), method, path, all.mapValues { listOf(it.value) }) { limit ->
        val bytes = body.toByteArray()
        val result: Either<Failure, ByteArray> =
            if (bytes.size > limit) Failure.BodyTooLarge(limit.toLong()).left() else bytes.right()
        result
    }
}

fun text(value: String) = BodyPart.Bytes(value.toByteArray())

fun booking(headers: Map<String, String> = emptyMap()) =
    callerRequest("POST", "/v1/services/booking/b", "{}", mapOf("idempotency-key" to "k") + headers)
