/*
 * Faults against real processes on loopback. Bounds are counts: executions of a key, failed requests, work at an upstream
 * that is out of service.
 */
package org.primrosesill.process

import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.MethodOrderer
import org.junit.jupiter.api.Order
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.TestMethodOrder
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.isContainedIn
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import java.util.concurrent.CompletableFuture

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
@TestMethodOrder(MethodOrderer.OrderAnnotation::class)
class ProcessFaultTest {
    private val site = ProcessSite()

    @BeforeAll
    fun awaitSite() {
        site.awaitReady()
        // A router votes on keys that are younger than itself by twice the clock tolerance.
        eventually("bookings are served") { site.book(site.routers[0], newKey()).status == 201 }
    }

    @AfterAll
    fun close() = site.close()

    // Guards against a key that runs twice because two routers act on it at once.
    @Test
    @Order(1)
    fun `the same key through all routers at once runs once`() {
        repeat(5) {
            val key = newKey()
            val answers = inParallel(site.routers) { site.book(it, key) }
            expectThat(answers.filter { it.status !in listOf(201, 409, 503) }).isEmpty()
            expectThat(retried(key)).isEqualTo(201)
            expectThat(executions(key)).isEqualTo(1)
        }
    }

    // Guards against lost service and a wrong answer from a platform that is down or shows an old revision.
    @Test
    @Order(2)
    fun `a platform that is down or stale changes nothing and a fresh router takes the configuration from its peers`() {
        site.publishContract(site.contract(priority = 4))
        val revision = 3L
        eventually("the revision is everywhere") { revisions().all { it >= revision } }
        for (mode in listOf("stale", "down")) {
            site.platformMode(mode)
            site.routers[0].process.kill()
            site.routers[0].process.restart()
            site.awaitReady(listOf(site.routers[0]))
            val chats = inParallel(site.routers) { site.chat(it, "chat while $mode") }
            expectThat(chats.filter { it.status != 200 }).isEmpty()
            expectThat(revisions()).all { isEqualTo(revision) }
        }
        site.platformMode("normal")
    }

    // Guards against a key that runs again after the router that ran it died.
    @Test
    @Order(3)
    fun `a key whose router is killed never runs twice`() {
        val keys = List(20) { newKey() }
        val killed = site.routers[5]
        val calls = keys.map { key -> CompletableFuture.supplyAsync { site.book(killed, key) } }
        Thread.sleep(60)
        killed.process.kill()
        calls.forEach { it.join() }
        val results = keys.map { retried(it) }
        println("after the kill: ${results.groupingBy { it }.eachCount()}")
        expectThat(results).all { isContainedIn(listOf(201, 502)) }
        expectThat(keys.filter { executions(it) > 1 }).isEmpty()
        killed.process.restart()
        site.awaitReady()
    }

    // Guards against a router that wakes from a pause and acts on claims, leases and members of the past.
    @Test
    @Order(4)
    fun `a router that was paused past every lease runs no key again`() {
        val keys = List(20) { newKey() }
        val paused = site.routers[4]
        val calls = keys.map { key -> CompletableFuture.supplyAsync { site.book(paused, key) } }
        Thread.sleep(60)
        paused.process.pause()
        Thread.sleep(2 * SUSPICION_MILLIS)
        val others = site.routers - paused
        val whilePaused = keys.mapIndexed { index, key -> site.book(others[index % others.size], key).status }
        paused.process.resume()
        calls.forEach { it.join() }
        println("while paused: ${whilePaused.groupingBy { it }.eachCount()}")
        expectThat(whilePaused).all { isContainedIn(listOf(201, 409, 502, 503)) }
        expectThat(keys.filter { executions(it) > 1 }).isEmpty()
        site.awaitReady()
    }

    // Guards against work at a zone that operators took out, and against requests that the change cuts.
    @Test
    @Order(5)
    fun `a zone that is taken out receives no new work after five seconds and no request fails`() {
        val answers = mutableListOf<SiteAnswer>()
        site.publishFleet(site.fleet("b"))
        val end = System.nanoTime() + 5_000_000_000
        while (System.nanoTime() < end) {
            answers += inParallel(site.routers) { site.chat(it, "chat ${answers.size}") }
        }
        val before = site.executions(site.engines[1], "request").size
        repeat(10) { round -> answers += inParallel(site.routers) { site.chat(it, "later $round ${it.caller}") } }
        expectThat(site.executions(site.engines[1], "request").size).isEqualTo(before)
        expectThat(answers.filter { it.status != 200 }).isEmpty()
        site.publishFleet(site.fleet())
    }

    // Guards against a planned stop that cuts a stream or refuses a caller before the balancer has noticed.
    @Test
    @Order(6)
    fun `routers that are stopped one by one end their streams`() {
        for (router in site.routers) {
            val streams = List(3) { CompletableFuture.supplyAsync { site.chat(router, "long $it", tokens = 600) } }
            Thread.sleep(300)
            expectThat(router.process.terminate()).isTrue()
            val answers = streams.map { it.join() }
            expectThat(answers.map { it.status }).all { isEqualTo(200) }
            expectThat(answers.map { it.body }).all { contains("[DONE]") }
            router.process.restart()
            site.awaitReady(listOf(router))
        }
    }

    private fun revisions() = site.routers.map { site.status(it)?.configurationRevision ?: 0 }

    private fun executions(key: String) = site.executions(site.service, "key").count { it == key }

    /** Repeats a booking through other routers, as a caller does, until its outcome no longer changes. */
    private fun retried(key: String): Int {
        var status = 503
        var attempts = 0
        while (status !in listOf(201, 502) && attempts < 100) {
            status = site.book(site.routers[attempts++ % 5], key).status
            if (status != 201) Thread.sleep(100)
        }
        expectThat(attempts).isLessThanOrEqualTo(100)
        return status
    }

    private fun <T, R> inParallel(items: List<T>, action: (T) -> R): List<R> =
        items.map { CompletableFuture.supplyAsync { action(it) } }.map { it.join() }
}
