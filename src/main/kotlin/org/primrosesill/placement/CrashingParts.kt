/*
 * Detects prompt parts that crash the engines that serve them (queries of death), so that requests with them are rejected.
 *
 * A request that loses its connection to an engine is evidence against all its shared parts, and a completed request clears
 * its parts. A part is blocked once several engines have crashed on it, none has completed a request with it since, and chance
 * does not explain that it was in flight at them ([isBeyondChance]): engines also crash together, whatever they serve.
 * Requests that merely were in flight at a crashed engine share their parts with others that complete. Routers exchange the
 * evidence, as each of them sees only a few of the requests, and each decides by itself.
 *
 * Load pattern: requests with one part crash an engine each, seconds apart, at any router; their other parts are popular.
 */
package org.primrosesill.placement

import org.primrosesill.exchange.shortCode
import org.primrosesill.model.UpstreamId

/** Thread-safe. Times are milliseconds of a monotonic clock. */
public class CrashingParts(private val nowMillis: () -> Long) {
    private val suspects = HashMap<PartCode, SuspectPart>()
    private val completedAtMillis = RecentCompletions()
    private val engineCrashes = RecentCrashes()
    private val changes = ArrayList<PartBlockChange>()

    /** Parts of which peers should receive the evidence without waiting for a round of the exchange. */
    private val urgentParts = LinkedHashSet<PartCode>()

    @Volatile
    private var blocked: Set<PartCode> = emptySet()

    public val blockedCount: Int get() = blocked.size

    @get:Synchronized
    public val suspectCount: Int get() = suspects.size

    /** Returns the first shared part of [prompt] that is blocked, or null. */
    public fun blockedPart(prompt: Prompt): PromptPart? {
        val current = blocked
        if (current.isEmpty()) return null
        return prompt.sharedParts.firstOrNull { partCode(it.id) in current }
    }

    /** Records that the connection to [engine] was lost while it served [prompt]. */
    @Synchronized
    public fun recordCrash(prompt: Prompt, engine: UpstreamId) {
        val crash = Crash(shortCode(engine.value), nowMillis())
        prompt.sharedParts.forEachIndexed { position, part -> addCrash(partCode(part.id), position, crash) }
        prompt.sharedParts.mapTo(urgentParts) { partCode(it.id) }
        decide()
    }

    /** Records that an engine has completed a request with [prompt]. */
    @Synchronized
    public fun recordCompleted(prompt: Prompt): Unit =
        prompt.sharedParts.forEach { clear(partCode(it.id), nowMillis()) }

    /** Adds the reports of a peer. Returns whether a part has become blocked, of which peers should be informed at once. */
    @Synchronized
    public fun merge(evidence: CrashEvidence): Boolean {
        if (evidence.crashes.isEmpty() && evidence.completions.isEmpty()) return false
        val now = nowMillis()
        val blockedBefore = blocked
        evidence.completions.forEach { clear(it.part, now - it.ageMillis) }
        evidence.crashes.forEach { addCrash(it.part, it.position, Crash(it.engine, now - it.ageMillis)) }
        decide()
        return (blocked - blockedBefore).isNotEmpty()
    }

    /**
     * Returns the evidence against the parts in requests that lost their connections, and in blocked ones, since the last
     * call. Evidence that peers sent, and completions, wait for [evidence]: when many engines fail at once, gateways that
     * pass on what they receive would flood each other.
     */
    @Synchronized
    public fun urgentEvidence(): CrashEvidence {
        val reports = urgentParts.flatMap { part -> suspects[part]?.let { reportsOf(part, it) }.orEmpty() }
        urgentParts.clear()
        return CrashEvidence(reports.take(MAXIMUM_SENT_REPORTS))
    }

    /** Returns the evidence for all blocked parts, and the recent evidence for and against others, for peers. */
    @Synchronized
    public fun evidence(): CrashEvidence {
        if (suspects.isEmpty()) return CrashEvidence()
        removeExpired()
        val now = nowMillis()
        val sent =
            suspects.entries
                .filter { (part, suspect) -> part in blocked || suspect.changedAtMillis >= now - REPEAT_MILLIS }
                .sortedWith(compareBy({ (part, _) -> part !in blocked }, { (_, suspect) -> -suspect.recorded.size }))
                .take(MAXIMUM_SENT_PARTS)
        return CrashEvidence(
            sent.flatMap { (part, suspect) -> reportsOf(part, suspect) }.take(MAXIMUM_SENT_REPORTS),
            sent.mapNotNull { (part, _) -> completedAtMillis[part]?.let { CompletionReport(part, now - it) } },
        )
    }

    private fun reportsOf(part: PartCode, suspect: SuspectPart): List<CrashReport> =
        suspect.recorded.map { CrashReport(part, suspect.position, it.engine, nowMillis() - it.atMillis) }

    /**
     * Returns the parts that were blocked or unblocked since the last call. Evidence that became sufficient since no peer has
     * refuted it is considered as well.
     */
    @Synchronized
    public fun drainChanges(): List<PartBlockChange> {
        if (suspects.isNotEmpty()) decide()
        return changes.toList().also { changes.clear() }
    }

    /**
     * Records [crash] unless a request with [part] was completed after it. A part that is refuted so is kept for some time
     * without crashes, so that peers receive the completion.
     */
    private fun addCrash(part: PartCode, position: Int, crash: Crash) {
        if (crash.atMillis <= nowMillis() - BLOCK_MILLIS) return
        engineCrashes.record(crash)
        val suspect = suspects.getOrPut(part) { SuspectPart(position, nowMillis()) }
        val refuted = crash.atMillis <= (completedAtMillis[part] ?: Long.MIN_VALUE)
        if (!refuted && suspect.add(crash)) suspect.changedAtMillis = nowMillis()
        if (suspects.size > MAXIMUM_SUSPECTS) removeOldest()
    }

    /** Removes the evidence against [part] from before [completedMillis], and unblocks it if the rest would not block it. */
    private fun clear(part: PartCode, completedMillis: Long) {
        completedAtMillis.record(part, completedMillis)
        val suspect = suspects[part] ?: return
        if (!suspect.removeUntil(completedMillis)) return
        suspect.changedAtMillis = nowMillis()
        if (part in blocked && !isSufficient(part, suspect)) unblock(part)
    }

    private fun removeOldest() {
        val unblocked = suspects.entries.filter { it.key !in blocked }
        val oldest = unblocked.ifEmpty { suspects.entries }.minBy { it.value.changedAtMillis }
        suspects.remove(oldest.key)
    }

    /**
     * Blocks parts with sufficient evidence, the likeliest first, and unblocks those without any: a crash that a blocked part
     * explains is no evidence against the other parts of the same requests.
     */
    private fun decide() {
        // Expired crashes are removed afterwards, as a peer may report a part that has been blocked for minutes.
        while (true) {
            val candidates =
                suspects.entries.filter { (part, suspect) ->
                    part !in blocked &&
                        isSufficient(part, suspect)
                }
            val likeliest = candidates.maxWithOrNull(likelihood) ?: break
            block(likeliest.key, likeliest.value)
        }
        removeExpired()
    }

    private fun isSufficient(part: PartCode, suspect: SuspectPart): Boolean {
        if (suspect.recorded.size < MINIMUM_CRASHES) return false
        val unexplained = suspect.recorded.filterNot { isExplained(it, part) }
        val crashes = unexplained.filter { it.atMillis > unexplained.last().atMillis - CRASH_EXPIRY_MILLIS }
        val minimumSpan = if (completedAtMillis[part] == null) MINIMUM_SPAN_MILLIS else COMPLETED_MINIMUM_SPAN_MILLIS
        return crashes.size >= MINIMUM_CRASHES &&
            crashes.last().atMillis - crashes.first().atMillis >= minimumSpan &&
            isBeyondChance(crashesOf(part, crashes))
    }

    /** Returns what [isBeyondChance] decides by, for the [crashes] at requests with [part] in the order of their time. */
    private fun crashesOf(part: PartCode, crashes: List<Crash>): CrashesOfPart {
        val period = crashes.first().atMillis - BURST_MILLIS..crashes.last().atMillis + BURST_MILLIS
        val others =
            engineCrashes.during(period).count { crash -> crashes.none(crash::isSameAs) && !isExplained(crash, part) }
        val isUnknownToPeers =
            completedAtMillis[part] == null && crashes.first().atMillis <= nowMillis() - COMPLETED_MINIMUM_SPAN_MILLIS
        return CrashesOfPart(
            momentsOf(crashes),
            crashes.size,
            crashes.size + others,
            if (isUnknownToPeers) RARE_PRESENCE else POPULAR_PRESENCE,
        )
    }

    /** Returns the number of times at which engines crashed, where crashes within [MOMENT_MILLIS] count as one. */
    private fun momentsOf(crashes: List<Crash>): Int {
        var moments = 0
        var beganAtMillis = Long.MIN_VALUE / 2
        for (crash in crashes) {
            if (crash.atMillis - beganAtMillis < MOMENT_MILLIS) continue
            beganAtMillis = crash.atMillis
            moments++
        }
        return moments
    }

    /** Returns whether a blocked part other than [part] was in flight at the engine of [crash]. */
    private fun isExplained(crash: Crash, part: PartCode?): Boolean =
        blocked.any { it != part && suspects[it]?.includes(crash) == true }

    private fun unexplainedCrashes(suspect: SuspectPart): List<Crash> =
        suspect.recorded.filterNot { isExplained(it, null) }

    /**
     * Orders parts by how likely they crash engines. Of two parts that were in the same requests, the one that no request
     * has completed is likelier; otherwise the later one in the prompt is blocked first, as fewer requests share it.
     */
    private val likelihood =
        compareBy<Map.Entry<PartCode, SuspectPart>>(
            { (_, suspect) -> unexplainedCrashes(suspect).size },
            { (part, _) -> completedAtMillis[part] == null },
            { (_, suspect) -> suspect.position },
        )

    private fun block(part: PartCode, suspect: SuspectPart) {
        blocked = blocked + part
        urgentParts += part
        suspect.changedAtMillis = nowMillis()
        val crashes = suspect.recorded.joinToString { "${it.engine} ${nowMillis() - it.atMillis} ms ago" }
        changes +=
            PartBlockChange(part, isBlocked = true, "engines crashed on it and none has completed it since: $crashes")
    }

    private fun unblock(part: PartCode) {
        blocked = blocked - part
        val cause = "no sufficient evidence is left: a request with it completed, or it expired"
        changes += PartBlockChange(part, isBlocked = false, cause)
    }

    /** Removes expired crashes, unblocks parts without any, and removes parts of which peers need no more reports. */
    private fun removeExpired() {
        val now = nowMillis()
        for ((part, suspect) in suspects) {
            val last = suspect.recorded.lastOrNull() ?: continue
            if (part !in blocked) {
                suspect.removeUntil(now - CRASH_EXPIRY_MILLIS)
            } else if (last.atMillis <= now - BLOCK_MILLIS) {
                suspect.removeUntil(last.atMillis)
            }
        }
        blocked.filter { suspects[it]?.recorded.isNullOrEmpty() }.forEach(::unblock)
        suspects.values.removeIf { it.recorded.isEmpty() && it.changedAtMillis < now - REPEAT_MILLIS }
    }

    private companion object {
        /** Crashed engines with a part, and no completed request with it since, that suffice to block it. */
        const val MINIMUM_CRASHES = 3

        /** Engines that fail together, as in a power loss, break the requests with a popular part all at once. */
        const val MINIMUM_SPAN_MILLIS = 500L

        /**
         * For a part that a request has completed before. It is probably sound, and later completions at other routers take
         * some rounds of the exchange to arrive.
         */
        const val COMPLETED_MINIMUM_SPAN_MILLIS = 3_000L
        const val CRASH_EXPIRY_MILLIS = 60_000L

        /** Crashes that begin within this time of each other are one crash burst. */
        const val BURST_MILLIS = 1_000L

        /** Gateways detect crashes of one moment within about a tenth of a second of each other. */
        const val MOMENT_MILLIS = 150L

        /**
         * Upper bounds of the probability that a sound part is in flight at an engine. A part that is in flight at a third of
         * the engines is completed often enough that its requests clear it. Once all gateways have had the time to report their
         * completions and none has any, the part is rare.
         */
        const val POPULAR_PRESENCE = 0.35
        const val RARE_PRESENCE = 0.01

        /** Time since the last crash for which a part stays blocked. */
        const val BLOCK_MILLIS = 600_000L

        /** Messages may be lost, so that changes are repeated for several rounds of the exchange. */
        const val REPEAT_MILLIS = 5_000L
        const val MAXIMUM_SUSPECTS = 512
        const val MAXIMUM_SENT_PARTS = 32

        /** Limits the reports in a message to about 3 KB. */
        const val MAXIMUM_SENT_REPORTS = 200
    }
}
