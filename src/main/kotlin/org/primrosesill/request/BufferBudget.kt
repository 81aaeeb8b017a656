/*
 * Limits the sum of the bytes that all requests of a process buffer. Each has a limit of its own, but hundreds of requests
 * that reach it at once would exhaust the memory of a VM.
 */
package org.primrosesill.request

/** Confined to the traffic thread, except for reading [usedBytes]. */
public class BufferBudget(private val maximumBytes: Long = MAXIMUM_BYTES) {
    /** Bytes that are buffered at present. */
    @Volatile
    public var usedBytes: Long = 0
        private set

    /** Records that [bytes] more are buffered, or fewer if negative. */
    public fun add(bytes: Int) {
        usedBytes += bytes
    }

    /**
     * Returns how many bytes one holder may buffer: [maximum], or [GUARANTEED_BYTES] while all holders together exceed the
     * budget, so that ordinary requests are served nevertheless.
     */
    public fun limit(maximum: Int): Int = if (usedBytes < maximumBytes) maximum else minOf(maximum, GUARANTEED_BYTES)

    private companion object {
        /** About a fifth of the heap of a gateway. Copies and the capacity of growing buffers need as much again. */
        const val MAXIMUM_BYTES = 32L * 1024 * 1024
        const val GUARANTEED_BYTES = 16 * 1024
    }
}
