/*
 * The one thread that carries traffic in a process: all sockets of callers, upstreams and peers, and the coroutines that
 * work for them. A request needs no hand-over between threads on its way.
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
import org.primrosesill.concurrent.FaultReport
import org.primrosesill.concurrent.faultHandler
import java.util.concurrent.TimeUnit

/** A started event loop with its coroutine scope. Faults of work on it go to the given report. */
public class TrafficLoop(faults: FaultReport) : AutoCloseable {
    private val group: NioEventLoopGroup

    init {
        configureLibrary()
        group = NioEventLoopGroup(1, DefaultThreadFactory("traffic", true))
    }

    internal val eventLoop: EventLoop = group.next()

    /** Buffers live for one read or write, and one thread uses them, so that a pool would only hold memory. */
    internal val allocator: ByteBufAllocator = UnpooledByteBufAllocator(false)

    /** Runs coroutines on the traffic thread. */
    public val dispatcher: CoroutineDispatcher = eventLoop.asCoroutineDispatcher()

    /** The scope of all work on the traffic thread. The failure of one piece of work ends no other. */
    public val scope: CoroutineScope = CoroutineScope(SupervisorJob() + dispatcher + faultHandler(faults))

    override fun close() {
        scope.cancel()
        group.shutdownGracefully(0, SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val SHUTDOWN_MILLIS = 200L
    }
}

/** The library's look for a logging framework and for a hardware address takes a third of the start of a process. */
private fun configureLibrary() {
    InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE)
    System.setProperty("io.netty.machineId", MACHINE_ID)
    System.setProperty("io.netty.processId", ProcessHandle.current().pid().toString())
}

/** Part of channel ids, which this product compares within one process only. */
private const val MACHINE_ID = "00:00:00:00:00:00:00:01"
