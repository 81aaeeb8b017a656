/*
 * The number of engines over which the prompts with one shared part are spread.
 */
package org.primrosesill.placement

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class PartPopularityTest {
    private class Case(
        val name: String,
        val popular: Int,
        val others: Int,
        val ageMillis: Long,
        val engines: Int,
        val replicas: Int,
    )

    private fun prompt(shared: String, own: Int) =
        Prompt(listOf(PromptPart(PromptPartId(shared), 100), PromptPart(PromptPartId("own-$own"), 10)), 110, 10)

    // Guards against one engine for a part that a tenth of all requests share, and against many for a part that is not popular.
    @TestFactory
    fun `a part is spread over twice its share of the engines`(): List<DynamicTest> =
        listOf(
            Case("no request", popular = 0, others = 30, ageMillis = 0, engines = 100, replicas = 1),
            Case("a single request", popular = 1, others = 9, ageMillis = 0, engines = 100, replicas = 1),
            Case("a tenth of the requests", popular = 21, others = 159, ageMillis = 0, engines = 100, replicas = 20),
            Case("all requests", popular = 40, others = 0, ageMillis = 0, engines = 100, replicas = 100),
            Case("requests of the past", popular = 4, others = 36, ageMillis = 5_001, engines = 100, replicas = 1),
            Case("two requests", popular = 2, others = 0, ageMillis = 0, engines = 100, replicas = 10),
            Case("a pool of one engine", popular = 4, others = 36, ageMillis = 0, engines = 1, replicas = 1),
        ).map { case ->
            dynamicTest(case.name) {
                var now = 0L
                val popularity = PartPopularity { now }
                repeat(case.popular) { popularity.record(prompt("popular", it)) }
                repeat(case.others) { popularity.record(prompt("other-$it", it)) }
                now = case.ageMillis
                expectThat(popularity.replicas(prompt("popular", -1), case.engines)).isEqualTo(case.replicas)
            }
        }
}
