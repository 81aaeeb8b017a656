/*
 * Cost of one routing decision in a pool of 557 upstreams, the projected size of one zone in two years.
 */
package org.primrosesill.routing

import com.sun.management.ThreadMXBean
import org.junit.jupiter.api.Tag
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isLessThan
import java.lang.management.ManagementFactory

class RoutingDecisionCostTest {
    private val view = snapshot(*Array(557) { view("engine-$it", others = 12 + it % 5, reported = 12 + it % 7) })
    private val selector = affinityUpstreamSelector({ view }, { 1_000 })
    private val requests = Array(1_024) { RoutingRequest(pool, "conversation-$it") }

    private fun decide(count: Int) {
        for (index in 0 until count) {
            selector.choose(requests[index and 1_023]).onRight { selector.finish(it.upstream.id) }
        }
    }

    // Guards against a decision that allocates an object for each candidate: 557 objects take over 8 KB.
    @Test
    fun `a decision allocates under 512 bytes whatever the size of the pool`() {
        decide(20_000)
        val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean
        val before = threads.currentThreadAllocatedBytes
        decide(10_000)
        val bytes = (threads.currentThreadAllocatedBytes - before) / 10_000
        println("routing decision at 557 upstreams: $bytes bytes allocated")
        expectThat(bytes).isLessThan(512)
    }

    // Guards against a decision that takes over 5 microseconds, the target for one zone.
    @Test
    @Tag("benchmark")
    fun `a decision takes under 5 microseconds at the median of 21 runs`() {
        decide(200_000)
        val nanos =
            List(21) {
                val start = System.nanoTime()
                decide(20_000)
                (System.nanoTime() - start) / 20_000.0
            }.sorted()
        println("routing decision at 557 upstreams: median ${nanos[10]} ns, best ${nanos[0]} ns, worst ${nanos[20]} ns")
        expectThat(nanos[10]).isLessThan(5_000.0)
    }
}
