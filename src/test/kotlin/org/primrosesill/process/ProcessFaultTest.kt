/*
 * Fault injection into real processes on loopback. All bounds are counts: executions of a key, failed requests, and
 * requests at an upstream that is out of service.
 */
package org.primrosesill.process

import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.MethodOrderer
import org.junit.jupiter.api.Order
import org.junit.jupiter.api.Tag
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
        // A router votes only on keys that were created at least twice the clock tolerance after its start.
        eventually("bookings succeed") { site.sendBooking(site.routers[0], newIdempotencyKey()).status == 201 }
    }

    @AfterAll
    fun close() = site.close()

    // Guards against a key that is executed twice because several routers process it concurrently.
    // Failed once in CI with status 429; see KNOWN-RED.txt.
    @Tag("known-red")
    @Test
    @Order(1)
    fun `the same key through all routers at once runs once`() {
        repeat(5) {
            val key = newIdempotencyKey()
            val responses = inParallel(site.routers) { site.sendBooking(it, key) }
            expectThat(responses.filter { it.status !in listOf(201, 409, 503) }).isEmpty()
            expectThat(retryBooking(key)).isEqualTo(201)
            expectThat(executionCount(key)).isEqualTo(1)
        }
    }

    // Guards against failed requests and a reverted configuration when the platform is down or returns old revisions.
    @Test
    @Order(2)
    fun `a platform that is down or stale changes nothing and a fresh router takes the configuration from its peers`() {
        site.publishContract(site.contract(priority = 4))
        val revision = 3L
        eventually("all routers have the revision") { configurationRevisions().all { it >= revision } }
        for (mode in listOf("stale", "down")) {
            site.setPlatformMode(mode)
            site.routers[0].process.kill()
            site.routers[0].process.restart()
            site.awaitReady(listOf(site.routers[0]))
            val chats = inParallel(site.routers) { site.sendChat(it, "chat while $mode") }
            expectThat(chats.filter { it.status != 200 }).isEmpty()
            expectThat(configurationRevisions()).all { isEqualTo(revision) }
        }
        site.setPlatformMode("normal")
    }

    // Guards against a key that is executed again after the router that processed it was killed.
    @Test
    @Order(3)
    fun `a key whose router is killed never runs twice`() {
        val keys = List(20) { newIdempotencyKey() }
        val killedRouter = site.routers[5]
        val calls = keys.map { key -> CompletableFuture.supplyAsync { site.sendBooking(killedRouter, key) } }
        Thread.sleep(60)
        killedRouter.process.kill()
        calls.forEach { it.join() }
        val statuses = keys.map { retryBooking(it) }
        println("statuses after the kill: ${statuses.groupingBy { it }.eachCount()}")
        expectThat(statuses).all { isContainedIn(listOf(201, 502)) }
        expectThat(keys.filter { executionCount(it) > 1 }).isEmpty()
        killedRouter.process.restart()
        site.awaitReady()
    }

    // Guards against a router that resumes after a pause and uses outdated claims, leases and members.
    @Test
    @Order(4)
    fun `a router that was paused past every lease runs no key again`() {
        val keys = List(20) { newIdempotencyKey() }
        val pausedRouter = site.routers[4]
        val calls = keys.map { key -> CompletableFuture.supplyAsync { site.sendBooking(pausedRouter, key) } }
        Thread.sleep(60)
        pausedRouter.process.pause()
        Thread.sleep(2 * SUSPICION_TIMEOUT_MILLIS)
        val others = site.routers - pausedRouter
        val statuses = keys.mapIndexed { index, key -> site.sendBooking(others[index % others.size], key).status }
        pausedRouter.process.resume()
        calls.forEach { it.join() }
        println("statuses while paused: ${statuses.groupingBy { it }.eachCount()}")
        expectThat(statuses).all { isContainedIn(listOf(201, 409, 502, 503)) }
        expectThat(keys.filter { executionCount(it) > 1 }).isEmpty()
        site.awaitReady()
    }

    // Guards against new requests to a zone that is out of service, and against requests that fail due to the change.
    @Test
    @Order(5)
    fun `a zone that is taken out receives no new work after five seconds and no request fails`() {
        val responses = mutableListOf<SiteResponse>()
        site.publishFleet(site.fleetDocument("b"))
        val deadline = System.nanoTime() + 5_000_000_000
        while (System.nanoTime() < deadline) {
            responses += inParallel(site.routers) { site.sendChat(it, "chat ${responses.size}") }
        }
        val executedBefore = site.executions(site.engines[1], "request").size
        repeat(10) { round ->
            responses += inParallel(site.routers) { site.sendChat(it, "later $round ${it.callerPort}") }
        }
        expectThat(site.executions(site.engines[1], "request").size).isEqualTo(executedBefore)
        expectThat(responses.filter { it.status != 200 }).isEmpty()
        site.publishFleet(site.fleetDocument())
    }

    // Guards against a graceful stop that truncates streams, or rejects callers before the load balancer detects it.
    @Test
    @Order(6)
    fun `routers that are stopped one by one end their streams`() {
        for (router in site.routers) {
            val streams = List(3) { CompletableFuture.supplyAsync { site.sendChat(router, "long $it", tokens = 600) } }
            Thread.sleep(300)
            expectThat(router.process.terminate()).isTrue()
            val responses = streams.map { it.join() }
            expectThat(responses.map { it.status }).all { isEqualTo(200) }
            expectThat(responses.map { it.body }).all { contains("[DONE]") }
            router.process.restart()
            site.awaitReady(listOf(router))
        }
    }

    private fun configurationRevisions() = site.routers.map { site.status(it)?.configurationRevision ?: 0 }

    private fun executionCount(key: String) = site.executions(site.service, "key").count { it == key }

    /** Retries a booking through several routers, as callers do, until its status is final. Returns this status. */
    private fun retryBooking(key: String): Int {
        var status = 503
        var attempts = 0
        while (status !in listOf(201, 502) && attempts < 100) {
            status = site.sendBooking(site.routers[attempts++ % 5], key).status
            if (status != 201) Thread.sleep(100)
        }
        expectThat(attempts).isLessThanOrEqualTo(100)
        return status
    }

    private fun <T, R> inParallel(items: List<T>, action: (T) -> R): List<R> =
        items.map { CompletableFuture.supplyAsync { action(it) } }.map { it.join() }
}
