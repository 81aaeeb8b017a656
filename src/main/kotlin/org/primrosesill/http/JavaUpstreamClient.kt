/*
 * The client of upstreams over the HTTP client of the JDK, which reports every short answer and can be kept from sending
 * a request twice. docs/decisions/http-engine.md has the comparison with Ktor CIO.
 */
package org.primrosesill.http

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.asExecutor
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.coroutines.withTimeoutOrNull
import org.primrosesill.answer.bodyFraming
import org.primrosesill.model.HeaderField
import org.primrosesill.model.HeaderFields
import org.primrosesill.request.ExchangeResult
import org.primrosesill.request.UpstreamAnswer
import org.primrosesill.request.UpstreamCall
import org.primrosesill.request.UpstreamClient
import java.io.IOException
import java.net.ConnectException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpConnectTimeoutException
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CompletionException
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/**
 * Returns a client of upstreams that opens one connection for each call. It sets the system properties of the JDK client,
 * which are read once in a process, so that it has to be created before any other use of that client.
 *
 * @param connectTimeout time for a connection to come about
 */
public fun upstreamClient(connectTimeout: Duration = 1.seconds): UpstreamClient = JavaUpstreamClient(connectTimeout)

/** Properties of the JDK client, with the reason for each. */
private val clientProperties =
    mapOf(
        // The client repeats a GET whose connection closed before the answer. Repeats belong to the request path.
        "jdk.httpclient.redirects.retrylimit" to "1",
        "jdk.httpclient.disableRetryConnect" to "true",
        // A request on a kept connection can meet its close, after which nobody knows whether the request ran.
        "jdk.httpclient.keepalive.timeout" to "0",
        "jdk.httpclient.allowRestrictedHeaders" to "connection",
    )

private class JavaUpstreamClient(connectTimeout: Duration) : UpstreamClient {
    private val client: HttpClient

    init {
        clientProperties.forEach(System::setProperty)
        // Without the properties the client would repeat requests by itself, so that a late call has to fail here.
        check(runCatching { HttpRequest.newBuilder().setHeader("Connection", "close") }.isSuccess) {
            "the HTTP client of the JDK was used in this process before the properties of the upstream client were set"
        }
        client =
            HttpClient
                .newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .followRedirects(HttpClient.Redirect.NEVER)
                .connectTimeout(connectTimeout.toJavaDuration())
                .executor(Dispatchers.Default.asExecutor())
                .build()
    }

    override suspend fun <T> exchange(call: UpstreamCall, use: suspend (UpstreamAnswer) -> T): ExchangeResult<T> {
        val body = JavaUpstreamBody()
        val sending = client.sendAsync(requestOf(call), handlerFor(call, body))
        try {
            val response =
                try {
                    withTimeoutOrNull(call.timeout) { awaitOrAbort(sending) } ?: return ExchangeResult.TimedOut
                } catch (exception: IOException) {
                    return failedBeforeHead(exception)
                }
            return ExchangeResult.Answered(use(answerOf(response)))
        } finally {
            body.cancel()
        }
    }

    private fun requestOf(call: UpstreamCall): HttpRequest {
        val publisher =
            call.body?.let(HttpRequest.BodyPublishers::ofByteArray) ?: HttpRequest.BodyPublishers.noBody()
        val builder = HttpRequest.newBuilder(URI("http://${call.address}${call.path}")).method(call.method, publisher)
        call.headers.forEach { builder.setHeader(it.name, it.value) }
        return builder
            .setHeader("Connection", "close")
            .build()
    }

    private fun handlerFor(call: UpstreamCall, body: JavaUpstreamBody) =
        HttpResponse.BodyHandler { info ->
            val header = { name: String -> info.headers().firstValue(name).orElse(null) }
            body.framing =
                bodyFraming(call.method, info.statusCode(), header("content-length"), header("transfer-encoding"))
            body
        }

    private fun answerOf(response: HttpResponse<JavaUpstreamBody>) =
        UpstreamAnswer(
            response.statusCode(),
            HeaderFields(response.headers().map().flatMap { (name, values) -> values.map { HeaderField(name, it) } }),
            body = response.body(),
        )
}

/** Waits for [sending] and closes its connection on cancellation, which the library's own adapter does not do. */
private suspend fun <T> awaitOrAbort(sending: CompletableFuture<T>): T =
    suspendCancellableCoroutine { continuation ->
        sending.whenComplete { value, failure ->
            if (failure == null) {
                continuation.resume(value)
            } else {
                continuation.resumeWithException((failure as? CompletionException)?.cause ?: failure)
            }
        }
        continuation.invokeOnCancellation { sending.cancel(true) }
    }

/**
 * Returns what a failure before the head of an answer means. Only the errors of a connection attempt prove that no byte
 * was sent. A connection that came about fails with other kinds of IOException.
 */
private fun failedBeforeHead(failure: IOException): ExchangeResult<Nothing> {
    val reason = "${failure.javaClass.simpleName}: ${failure.message.orEmpty()}"
    val notSent = failure is ConnectException || failure is HttpConnectTimeoutException
    return if (notSent) ExchangeResult.NotSent(reason) else ExchangeResult.Broken(reason)
}
