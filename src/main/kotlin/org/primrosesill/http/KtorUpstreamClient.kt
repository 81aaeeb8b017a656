/*
 * The client of upstreams over Ktor CIO. It opens one connection for each call and closes it with the call, so that a
 * request can never meet a connection that the upstream is closing: see docs/decisions/http-engine.md.
 */
package org.primrosesill.http

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.prepareRequest
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.HttpMethod
import io.ktor.http.content.ByteArrayContent
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.primrosesill.answer.bodyFraming
import org.primrosesill.request.ExchangeResult
import org.primrosesill.request.UpstreamAnswer
import org.primrosesill.request.UpstreamCall
import org.primrosesill.request.UpstreamClient
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Returns a client of upstreams.
 *
 * @param connectTimeout time for a connection to come about
 * @param maximumConnections connections at once, over all upstreams
 */
public fun ktorUpstreamClient(
    connectTimeout: Duration = 1.seconds,
    maximumConnections: Int = 10_000,
): KtorUpstreamClient = KtorUpstreamClient(connectTimeout, maximumConnections)

/** An [UpstreamClient] that holds threads and connections until it is closed. */
public class KtorUpstreamClient internal constructor(connectTimeout: Duration, maximumConnections: Int) :
    UpstreamClient,
    AutoCloseable {
        private val client =
            HttpClient(CIO) {
                followRedirects = false
                expectSuccess = false
                engine {
                    // Deadlines come with each call; the fixed timeout of the engine would cut long streams.
                    requestTimeout = 0
                    maxConnectionsCount = maximumConnections
                    endpoint {
                        // A second attempt belongs to the retry rules of the request path.
                        connectAttempts = 1
                        this.connectTimeout = connectTimeout.inWholeMilliseconds
                        socketTimeout = Long.MAX_VALUE
                        maxConnectionsPerRoute = maximumConnections
                    }
                }
            }

        override fun close(): Unit = client.close()

        override suspend fun <T> exchange(call: UpstreamCall, use: suspend (UpstreamAnswer) -> T): ExchangeResult<T> =
            coroutineScope {
                val head = CompletableDeferred<Result<HttpResponse>>()
                // The connection lives in its own coroutine, because the client closes it when its block returns.
                val connection = launch(start = CoroutineStart.UNDISPATCHED) { hold(call, head) }
                try {
                    val arrived = withTimeoutOrNull(call.timeout) { head.await() }
                    arrived?.fold({ ExchangeResult.Answered(use(answerOf(call, it))) }, ::failedBeforeHead)
                        ?: ExchangeResult.TimedOut
                } finally {
                    connection.cancel()
                }
            }

        private suspend fun hold(call: UpstreamCall, head: CompletableDeferred<Result<HttpResponse>>) {
            try {
                client.prepareRequest { describe(call) }.execute { response ->
                    head.complete(Result.success(response))
                    awaitCancellation()
                }
            } catch (exception: CancellationException) {
                // The library also reports a closed connection by a CancellationException.
                head.complete(Result.failure(exception))
                currentCoroutineContext().ensureActive()
            } catch (exception: Exception) {
                head.complete(Result.failure(exception))
            }
        }

        private fun HttpRequestBuilder.describe(call: UpstreamCall) {
            method = HttpMethod(call.method)
            url("http://${call.address}${call.path}")
            call.headers.forEach { (name, value) -> header(name, value) }
            header("X-Request-Id", call.requestId)
            call.body?.let { setBody(ByteArrayContent(it)) }
        }

        private fun answerOf(call: UpstreamCall, response: HttpResponse): UpstreamAnswer {
            val headers = response.headers.entries().associate { (name, values) -> name.lowercase() to values }
            val first = { name: String -> headers[name]?.firstOrNull() }
            val status = response.status.value
            val framing = bodyFraming(call.method, status, first("content-length"), first("transfer-encoding"))
            return UpstreamAnswer(status, headers, KtorUpstreamBody(response, framing))
        }
    }
