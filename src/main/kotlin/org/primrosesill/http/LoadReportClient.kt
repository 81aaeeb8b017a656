/*
 * Fetches the load reports of upstreams.
 */
package org.primrosesill.http

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.prepareGet
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.isSuccess
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import org.primrosesill.generated.LoadReport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private const val MAXIMUM_REPORT_BYTES = 16 * 1024

/** Fetches load reports. Thread-safe. */
public interface LoadReportClient : AutoCloseable {
    /** Returns the report of the upstream at [address], or null when no valid report arrives before the timeout. */
    public suspend fun read(address: String): LoadReport?
}

/** Returns a client that waits at most [timeout] for a report. */
public fun loadReportClient(timeout: Duration = 1.seconds): LoadReportClient = KtorLoadReportClient(timeout)

private class KtorLoadReportClient(private val timeout: Duration) : LoadReportClient {
    private val client = HttpClient(CIO) { expectSuccess = false }

    override suspend fun read(address: String): LoadReport? =
        try {
            withTimeoutOrNull(timeout) { fetch(address) }?.let {
                messageJson.decodeFromString(LoadReport.serializer(), it.decodeToString())
            }
        } catch (cancellation: CancellationException) {
            throw cancellation
        } catch (_: Exception) {
            // The caller does not distinguish an unreachable upstream from an invalid report.
            null
        }

    private suspend fun fetch(address: String): ByteArray? =
        client.prepareGet("http://$address/load").readResponse { response ->
            if (response.status.isSuccess()) response.bodyAsChannel().readBounded(MAXIMUM_REPORT_BYTES) else null
        }

    override fun close() = client.close()
}
