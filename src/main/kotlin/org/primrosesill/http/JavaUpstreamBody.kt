/*
 * The body of an upstream's answer, part by part, with back pressure: the next part is asked for when the last one has
 * been taken, so that a slow caller slows the upstream and fills no memory.
 */
package org.primrosesill.http

import kotlinx.coroutines.channels.Channel
import org.primrosesill.answer.BodyFraming
import org.primrosesill.answer.whyNotWhole
import org.primrosesill.request.BodyPart
import org.primrosesill.request.UpstreamBody
import java.net.http.HttpResponse
import java.nio.ByteBuffer
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CompletionStage
import java.util.concurrent.Flow

internal class JavaUpstreamBody :
    HttpResponse.BodySubscriber<JavaUpstreamBody>,
    UpstreamBody {
    /** Known with the head of the answer, before the first part. */
    @Volatile
    var framing: BodyFraming = BodyFraming.UntilClose

    // One part is asked for at a time, and one end or error follows the last one.
    private val parts = Channel<BodyPart>(2)

    @Volatile
    private var subscription: Flow.Subscription? = null
    private var received = 0L

    override fun getBody(): CompletionStage<JavaUpstreamBody> = CompletableFuture.completedStage(this)

    override fun onSubscribe(subscription: Flow.Subscription) {
        this.subscription = subscription
        subscription.request(1)
    }

    override fun onNext(buffers: List<ByteBuffer>) {
        val bytes = ByteArray(buffers.sumOf { it.remaining() })
        var offset = 0
        for (buffer in buffers) {
            val count = buffer.remaining()
            buffer.get(bytes, offset, count)
            offset += count
        }
        received += bytes.size
        parts.trySend(BodyPart.Bytes(bytes))
    }

    override fun onError(failure: Throwable) {
        parts.trySend(BodyPart.Cut("${failure.javaClass.simpleName}: ${failure.message.orEmpty()}"))
    }

    override fun onComplete() {
        parts.trySend(whyNotWhole(framing, received)?.let(BodyPart::Cut) ?: BodyPart.End)
    }

    override suspend fun next(): BodyPart {
        val part = parts.receive()
        if (part is BodyPart.Bytes) subscription?.request(1)
        return part
    }

    /** Closes the connection if the body has not ended. */
    fun cancel() {
        subscription?.cancel()
    }
}
