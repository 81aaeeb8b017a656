/*
 * The latest completions of prompt parts and the latest crashes of engines, within bounds.
 */
package org.primrosesill.placement

/** When a request with a part was last completed, for the [MAXIMUM_PARTS] parts of the latest requests. */
internal class RecentCompletions {
    private val atMillis =
        object : LinkedHashMap<PartCode, Long>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: Map.Entry<PartCode, Long>) = size > MAXIMUM_PARTS
        }

    operator fun get(part: PartCode): Long? = atMillis[part]

    fun record(part: PartCode, completedMillis: Long) {
        atMillis.merge(part, completedMillis, ::maxOf)
    }

    private companion object {
        const val MAXIMUM_PARTS = 4_096
        const val INITIAL_CAPACITY = 256
        const val LOAD_FACTOR = 0.75f
    }
}

/** The latest crashes of engines, whatever requests were in flight. */
internal class RecentCrashes {
    private val crashes = ArrayDeque<Crash>()

    /** Records [crash] unless it is known; requests at one engine lose their connections at about the same time. */
    fun record(crash: Crash) {
        if (crashes.any(crash::isSameAs)) return
        crashes.addLast(crash)
        if (crashes.size > MAXIMUM_CRASHES) crashes.removeFirst()
    }

    fun during(period: LongRange): List<Crash> = crashes.filter { it.atMillis in period }

    private companion object {
        const val MAXIMUM_CRASHES = 256
    }
}
