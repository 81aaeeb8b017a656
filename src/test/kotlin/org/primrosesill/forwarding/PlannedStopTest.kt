/*
 * Which requests a stopping gateway accepts, by kind and by the time that they and the grace period have left.
 */
package org.primrosesill.forwarding

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.route.RouteKind
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

class PlannedStopTest {
    private class Case(val kind: RouteKind, val atMillis: Int, val timeLeftMillis: Int, val accepted: Boolean)

    // Guards against requests that are passed on late in the grace period and cut at its end without a response.
    @TestFactory
    fun `a request that may outlast the grace period is rejected`(): List<DynamicTest> =
        listOf(
            Case(RouteKind.NON_IDEMPOTENT, 0, 1_500, true),
            Case(RouteKind.NON_IDEMPOTENT, 0, 7_500, true),
            Case(RouteKind.NON_IDEMPOTENT, 0, 7_501, false),
            Case(RouteKind.NON_IDEMPOTENT, 6_000, 1_500, true),
            Case(RouteKind.NON_IDEMPOTENT, 6_100, 1_500, false),
            Case(RouteKind.STREAM, 0, 15_000, true),
            Case(RouteKind.STREAM, 2_599, 15_000, true),
            Case(RouteKind.STREAM, 2_600, 15_000, false),
            Case(RouteKind.STREAM, 2_600, 4_900, true),
            Case(RouteKind.IDEMPOTENT, 2_600, 4_901, false),
            Case(RouteKind.IDEMPOTENT, 7_400, 1_500, false),
        ).map { case ->
            dynamicTest("${case.kind}, ${case.atMillis} ms after the stop began, ${case.timeLeftMillis} ms left") {
                val time = TestTimeSource()
                val start = time.markNow()
                val stop = PlannedStop(routedUntil = start + 2_600.milliseconds, cutAt = start + 7_500.milliseconds)
                time += case.atMillis.milliseconds
                val accepted =
                    stop.accepts(
                        testRoute("/x/", case.kind),
                        case.timeLeftMillis.milliseconds,
                        time.markNow(),
                    )
                expectThat(accepted).isEqualTo(case.accepted)
            }
        }
}
