/*
 * The event loop of a process. One thread handles all sockets of callers, upstreams and peers and runs the coroutines
 * that serve them, so that a request is processed without a switch between threads.
 */
package org.primrosesill.transport

import io.netty.buffer.ByteBufAllocator
import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.channel.EventLoop
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.util.concurrent.DefaultThreadFactory
import io.netty.util.internal.logging.InternalLoggerFactory
import io.netty.util.internal.logging.JdkLoggerFactory
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import org.primrosesill.concurrent.ExceptionReporter
import org.primrosesill.concurrent.exceptionHandler
import org.primrosesill.request.BufferBudget
import java.util.concurrent.TimeUnit

/**
 * A running event loop with its coroutine scope. Uncaught exceptions of its coroutines are reported to `reporter`.
 *
 * @param onTerminated called if the thread of the loop ends although the loop was not closed
 */
public class TrafficLoop(reporter: ExceptionReporter, private val onTerminated: () -> Unit = {}) : AutoCloseable {
    private val group: NioEventLoopGroup

    @Volatile
    private var isClosed = false

    init {
        configureNetty()
        group = NioEventLoopGroup(1, DefaultThreadFactory("traffic", true))
    }

    internal val eventLoop: EventLoop = group.next()

    init {
        // Netty lets some errors end the thread.
        eventLoop.terminationFuture().addListener { if (!isClosed) onTerminated() }
    }

    /** Unpooled: buffers are used by one thread and for one read or write, so that a pool would only retain memory. */
    internal val allocator: ByteBufAllocator = UnpooledByteBufAllocator(false)

    /** Counts what all connections of this loop buffer. */
    public val buffers: BufferBudget = BufferBudget()

    /** Runs coroutines on the traffic thread. */
    public val dispatcher: CoroutineDispatcher = eventLoop.asCoroutineDispatcher()

    /** The scope of all coroutines on the traffic thread. The failure of one does not cancel the others. */
    public val scope: CoroutineScope = CoroutineScope(SupervisorJob() + dispatcher + exceptionHandler(reporter))

    override fun close() {
        isClosed = true
        scope.cancel()
        group.shutdownGracefully(0, SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val SHUTDOWN_MILLIS = 200L
    }
}

/**
 * Disables Netty's searches for a logging framework and for a hardware address, which take a third of the startup time.
 */
private fun configureNetty() {
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE)
    System.setProperty("io.netty.machineId", MACHINE_ID)
    System.setProperty("io.netty.processId", ProcessHandle.current().pid().toString())
}

/** Part of Netty's channel ids, which are compared only within one process. */
private const val MACHINE_ID = "00:00:00:00:00:00:00:01"
