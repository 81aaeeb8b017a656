/*
 * Loads for the replay of placements.
 */
package org.primrosesill.placement

import kotlin.random.Random

/** One request of a load. */
class ReplayRequest(val atMillis: Long, val router: Int, val prompt: Prompt, val answerMillis: Long)

/** A kind of request: how often it comes, its parts and the time that its answer takes. */
class ReplayKind(
    val name: String,
    val perSecond: Double,
    val subjects: Int,
    val leadingTokens: Int,
    val subjectTokens: Int,
    val ownTokens: Int,
    val answerMillis: Long,
) {
    /** The same kind, [factor] times as often. */
    fun times(factor: Double) =
        ReplayKind(name, perSecond * factor, subjects, leadingTokens, subjectTokens, ownTokens, answerMillis)
}

/** Long drafts that share much, middle ones, and short chats, as at the users' sites. */
val mixedKinds =
    listOf(
        ReplayKind("draft", 16.0, 24, 2_520, 6_100, 580, 300),
        ReplayKind("question", 22.0, 49, 340, 1_700, 360, 150),
        ReplayKind("chat", 25.0, 81, 100, 500, 110, 1_600),
    )

/** A load of [kinds]; from [hotFromMillis] on, [hotShare] of the first kind is about one subject. */
fun replayLoad(
    kinds: List<ReplayKind>,
    millis: Long,
    routers: Int,
    seed: Long,
    hotShare: Double = 0.0,
    hotFromMillis: Long = 0,
): List<ReplayRequest> {
    val random = Random(seed)
    return kinds.flatMap { kind ->
        val requests = mutableListOf<ReplayRequest>()
        var at = 0.0
        while (true) {
            at += -Math.log(1 - random.nextDouble()) * 1_000 / kind.perSecond
            if (at >= millis) break
            val hot = kind === kinds.first() && at >= hotFromMillis && random.nextDouble() < hotShare
            val subject = if (hot) 0 else random.nextInt(kind.subjects)
            val parts =
                listOf(
                    PromptPart(PromptPartId("${kind.name}-${subject % 4}"), kind.leadingTokens),
                    PromptPart(PromptPartId("${kind.name}-subject-$subject"), kind.subjectTokens),
                    PromptPart(PromptPartId("${kind.name}-own-${requests.size}"), kind.ownTokens),
                )
            val prompt = Prompt(parts, parts.sumOf { it.tokens }, 100)
            requests += ReplayRequest(at.toLong(), random.nextInt(routers), prompt, kind.answerMillis)
        }
        requests
    }
}
