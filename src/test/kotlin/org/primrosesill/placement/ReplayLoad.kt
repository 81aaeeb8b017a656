/*
 * Generates request loads for the placement replay.
 */
package org.primrosesill.placement

import kotlin.math.pow
import kotlin.random.Random

/**
 * One request of a load.
 *
 * @property router number of the router that receives it
 * @property responseMillis time from the first event of the response to its end
 */
class ReplayRequest(val atMillis: Long, val router: Int, val prompt: Prompt, val responseMillis: Long)

/**
 * A kind of request: its rate, the parts of its prompt and the duration of its response.
 *
 * @property subjects number of distinct subject parts
 * @property leadingTokens tokens of the first part, which the requests of a quarter of the subjects share
 * @property subjectTokens tokens of the second part, which the requests with one subject share
 * @property ownTokens tokens of the last part, which no other request shares
 */
class ReplayKind(
    val name: String,
    val perSecond: Double,
    val subjects: Int,
    val leadingTokens: Int,
    val subjectTokens: Int,
    val ownTokens: Int,
    val responseMillis: Long,
) {
    /** Returns the same kind at [factor] times the rate. */
    fun times(factor: Double) =
        ReplayKind(name, perSecond * factor, subjects, leadingTokens, subjectTokens, ownTokens, responseMillis)
}

/** Drafts with long shared parts, questions with medium ones and chats with short ones, as in the deployments of users. */
val mixedKinds =
    listOf(
        ReplayKind("draft", 16.0, 24, 2_520, 6_100, 580, 300),
        ReplayKind("question", 22.0, 49, 340, 1_700, 360, 150),
        ReplayKind("chat", 25.0, 81, 100, 500, 110, 1_600),
    )

/**
 * Returns a load of [kinds] with exponentially distributed intervals between groups of [groupSize] requests that arrive at
 * once. From [hotFromMillis] on, a fraction [hotShare] of the first kind has the same subject. All subjects are equally popular
 * if [popularity] is 1, and the first ones get more requests the larger it is. With [variableResponses] the durations of the
 * responses are exponentially distributed.
 */
fun replayLoad(
    kinds: List<ReplayKind>,
    millis: Long,
    routers: Int,
    seed: Long,
    hotShare: Double = 0.0,
    hotFromMillis: Long = 0,
    popularity: Double = 1.0,
    groupSize: Int = 1,
    variableResponses: Boolean = false,
): List<ReplayRequest> {
    val random = Random(seed)
    return kinds.flatMap { kind ->
        val requests = mutableListOf<ReplayRequest>()
        var atMillis = 0.0
        while (true) {
            if (requests.size % groupSize == 0) {
                atMillis += exponential(random) * 1_000 * groupSize / kind.perSecond
            }
            if (atMillis >= millis) break
            val hot = kind === kinds.first() && atMillis >= hotFromMillis && random.nextDouble() < hotShare
            val subject = if (hot) 0 else subjectOf(kind, popularity, random)
            val parts =
                listOf(
                    PromptPart(PromptPartId("${kind.name}-${subject % 4}"), kind.leadingTokens),
                    PromptPart(PromptPartId("${kind.name}-subject-$subject"), kind.subjectTokens),
                    PromptPart(PromptPartId("${kind.name}-own-${requests.size}"), kind.ownTokens),
                )
            val prompt = Prompt(parts, parts.sumOf { it.tokens }, 100)
            val router = random.nextInt(routers)
            val responseMillis =
                if (variableResponses) (kind.responseMillis * exponential(random)).toLong() else kind.responseMillis
            requests += ReplayRequest(atMillis.toLong(), router, prompt, responseMillis)
        }
        requests
    }
}

/** Returns an exponentially distributed number with a mean of 1. */
private fun exponential(random: Random): Double = -Math.log(1 - random.nextDouble())

private fun subjectOf(kind: ReplayKind, popularity: Double, random: Random): Int =
    if (popularity == 1.0) {
        random.nextInt(kind.subjects)
    } else {
        (random.nextDouble().pow(popularity) * kind.subjects).toInt()
    }
