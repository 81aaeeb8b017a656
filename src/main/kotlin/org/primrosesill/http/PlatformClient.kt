/*
 * Fetches and watches the configuration and the VM list of the platform. The platform may be down, slow or faulty, so
 * every call has a time limit and a size limit, and every invalid response is returned as a typed error.
 */
package org.primrosesill.http

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.plugins.HttpTimeoutConfig
import io.ktor.client.plugins.timeout
import io.ktor.client.request.prepareGet
import io.ktor.client.statement.bodyAsChannel
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.io.readByteArray
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.primrosesill.generated.ConfigurationPage
import org.primrosesill.generated.VmList
import org.primrosesill.model.MalformedResponseException
import org.primrosesill.model.firstLine
import java.io.IOException
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/**
 * Settings of a [PlatformClient].
 *
 * @property waitMillis how long the platform holds a watch request until a change occurs
 * @property responseTimeoutMillis time until the response must be complete, in addition to [waitMillis]
 * @property maximumBytes maximum size of a response body; a value of the platform has up to 1 MB
 */
public data class PlatformClientSettings(
    val address: String,
    val waitMillis: Long = 25_000,
    val connectTimeoutMillis: Long = 1_000,
    val responseTimeoutMillis: Long = 3_000,
    val maximumBytes: Int = 1_200_000,
    val initialBackoffMillis: Long = 200,
    val maximumBackoffMillis: Long = 5_000,
)

/** The reason why a call to the platform returned no result. */
public sealed class PlatformError(public val detail: String) {
    override fun toString(): String = detail

    /** The connection failed or broke, or no response arrived before the timeout. */
    public class Unreachable(public val call: String, cause: String) : PlatformError("$call: $cause")

    /** The response has a status other than 200. */
    public class UnexpectedStatus(public val call: String, public val status: Int) :
        PlatformError("$call: status $status, expected 200")

    /** The response exceeds the size limit. */
    public class TooLarge(public val call: String, public val limitBytes: Int) :
        PlatformError("$call: the response has more than $limitBytes bytes")

    /** The response violates HTTP, or its body is not the expected message. */
    public class Malformed(public val call: String, cause: String) : PlatformError("$call: $cause")
}

/** Calls the platform at one address. Thread-safe. */
public class PlatformClient(private val settings: PlatformClientSettings) : AutoCloseable {
    private val json = Json { ignoreUnknownKeys = true }
    private val client =
        HttpClient(CIO) {
            install(HttpTimeout)
            expectSuccess = false
        }

    /** Fetches the changes after revision [since], and waits up to [waitMillis] for a change. */
    public suspend fun configuration(since: Long, waitMillis: Long = 0): Either<PlatformError, ConfigurationPage> =
        read("/v1/configuration?since=$since&waitMillis=$waitMillis", waitMillis, ConfigurationPage.serializer())

    /** Fetches the VM list when its revision is above [since], and waits up to [waitMillis] for such a revision. */
    public suspend fun vms(since: Long, waitMillis: Long = 0): Either<PlatformError, VmList> =
        read("/v1/vms?since=$since&waitMillis=$waitMillis", waitMillis, VmList.serializer())

    /**
     * Watches the configuration until cancelled. Calls [since] before each request, and [onResult] with the requested
     * revision and the page or error.
     */
    public suspend fun watchConfiguration(
        since: () -> Long,
        onResult: suspend (Long, Either<PlatformError, ConfigurationPage>) -> Unit,
    ): Unit =
        watch(
            since,
            ::configuration,
            { page, from -> page.propertyEntries.isNotEmpty() || page.revision > from },
            onResult,
        )

    /** Watches the VM list until cancelled, in the same way as [watchConfiguration]. */
    public suspend fun watchVms(
        since: () -> Long,
        onResult: suspend (Long, Either<PlatformError, VmList>) -> Unit,
    ): Unit = watch(since, ::vms, { list, from -> list.revision > from }, onResult)

    override fun close() {
        client.close()
    }

    private suspend fun <T> watch(
        since: () -> Long,
        call: suspend (Long, Long) -> Either<PlatformError, T>,
        hasChanges: (T, Long) -> Boolean,
        onResult: suspend (Long, Either<PlatformError, T>) -> Unit,
    ) {
        val backoff = Backoff(settings.initialBackoffMillis, settings.maximumBackoffMillis, Random.Default)
        while (true) {
            currentCoroutineContext().ensureActive()
            val from = since()
            val startedNanos = System.nanoTime()
            val result = call(from, settings.waitMillis)
            onResult(from, result)
            // Without the backoff, a platform that responds at once without changes would be polled in a tight loop.
            val waited = (System.nanoTime() - startedNanos) / 1_000_000 >= settings.waitMillis / 2
            val usable = result.fold({ false }, { waited || (hasChanges(it, from) && since() > from) })
            if (usable) backoff.reset() else delay(backoff.nextDelayMillis().milliseconds)
        }
    }

    private suspend fun <T> read(
        call: String,
        waitMillis: Long,
        deserializer: DeserializationStrategy<T>,
    ): Either<PlatformError, T> =
        try {
            client
                .prepareGet("http://${settings.address}$call") { timeout { setTimeouts(waitMillis) } }
                .readResponse { response ->
                    val bytes = response.bodyAsChannel().readRemaining(settings.maximumBytes + 1L).readByteArray()
                    when {
                        response.status.value != 200 ->
                            PlatformError
                                .UnexpectedStatus(
                                    call,
                                    response.status.value,
                                ).left()
                        bytes.size > settings.maximumBytes -> PlatformError.TooLarge(call, settings.maximumBytes).left()
                        else -> json.decodeFromString(deserializer, bytes.decodeToString()).right()
                    }
                }
        } catch (exception: CancellationException) {
            currentCoroutineContext().ensureActive()
            PlatformError.Unreachable(call, exception.message ?: "the request was cancelled").left()
        } catch (exception: SerializationException) {
            PlatformError
                .Malformed(
                    call,
                    exception
                        .firstLine()
                        .take(MAXIMUM_CAUSE_LENGTH),
                ).left()
        } catch (exception: MalformedResponseException) {
            PlatformError.Malformed(call, "${exception.defect}").left()
        } catch (exception: IOException) {
            PlatformError.Unreachable(call, exception.message ?: exception.javaClass.simpleName).left()
        }

    private fun HttpTimeoutConfig.setTimeouts(waitMillis: Long) {
        connectTimeoutMillis = settings.connectTimeoutMillis
        requestTimeoutMillis = waitMillis + settings.responseTimeoutMillis
        socketTimeoutMillis = waitMillis + settings.responseTimeoutMillis
    }
}

private const val MAXIMUM_CAUSE_LENGTH = 200

/**
 * Exponential backoff up to [maximumMillis]. Each delay is drawn from the upper half of its bound, so that routers
 * do not call at the same time.
 */
internal class Backoff(private val initialMillis: Long, private val maximumMillis: Long, private val random: Random) {
    private var attempts = 0

    fun reset() {
        attempts = 0
    }

    fun nextDelayMillis(): Long {
        val bound = minOf(maximumMillis, initialMillis shl attempts.coerceAtMost(20))
        attempts++
        return bound / 2 + random.nextLong(bound / 2 + 1)
    }
}
