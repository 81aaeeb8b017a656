/*
 * The evidence of one router that a prompt part crashes engines.
 */
package org.primrosesill.placement

/**
 * The loss of a connection to an engine. Its requests, at any router, lose their connections at about the same time.
 *
 * @property engine short code of the engine
 */
internal data class Crash(val engine: String, val atMillis: Long) {
    fun isSameAs(other: Crash): Boolean =
        engine == other.engine && atMillis - other.atMillis in -SAME_CRASH_MILLIS..SAME_CRASH_MILLIS

    private companion object {
        /** An engine that crashes is back after seconds, and routers detect a crash within a fraction of a second. */
        const val SAME_CRASH_MILLIS = 1_000L
    }
}

/**
 * The crashes at requests with one prompt part since a request with it was last completed.
 *
 * @property position index of the part in its prompt
 */
internal class SuspectPart(val position: Int, var changedAtMillis: Long) {
    private val crashes = ArrayList<Crash>()

    /** The crashes in the order of their time. */
    val recorded: List<Crash> get() = crashes

    /** Adds [crash] and returns whether it is new. Later crashes add nothing once [MAXIMUM_CRASHES] are recorded. */
    fun add(crash: Crash): Boolean {
        if (crashes.size >= MAXIMUM_CRASHES || includes(crash)) return false
        crashes += crash
        crashes.sortBy { it.atMillis }
        return true
    }

    fun includes(crash: Crash): Boolean = crashes.any(crash::isSameAs)

    /** Removes the crashes up to [atMillis] and returns whether there were any. */
    fun removeUntil(atMillis: Long): Boolean = crashes.removeIf { it.atMillis <= atMillis }

    private companion object {
        const val MAXIMUM_CRASHES = 32
    }
}
