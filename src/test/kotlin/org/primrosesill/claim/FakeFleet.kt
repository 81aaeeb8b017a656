/*
 * A fleet of routers under virtual time for the tests of claims. Member tables, claim tables and claims are the
 * production classes; only the network, the processes and the upstream are fakes.
 */
package org.primrosesill.claim

import arrow.core.Either
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.commons.rng.UniformRandomProvider
import org.apache.commons.rng.simple.RandomSource
import org.primrosesill.generated.ClaimRelease
import org.primrosesill.generated.ClaimReply
import org.primrosesill.generated.ClaimRequest
import org.primrosesill.generated.Contract
import org.primrosesill.generated.Member
import org.primrosesill.generated.MemberState
import org.primrosesill.generated.StoredAnswer
import org.primrosesill.membership.MemberTable
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.ClaimResource
import org.primrosesill.model.CustomerId
import org.primrosesill.model.Failure
import org.primrosesill.model.RouterId
import org.primrosesill.model.UpstreamId
import java.util.UUID

/** Network faults. Each probability applies to each message independently. */
class Faults(
    var lossProbability: Double = 0.0,
    var duplicateProbability: Double = 0.0,
    var delayProbability: Double = 0.0,
) {
    /** Returns whether the directed link between two addresses drops every message. */
    var isBlocked: (from: String, to: String) -> Boolean = { _, _ -> false }
}

/** @param discovers whether the router at index `from` can ever discover the one at index `to` */
class FakeFleet(
    val test: TestScope,
    val size: Int,
    seed: Long,
    val maximumClockSkewMillis: Int = 0,
    val discovers: (from: Int, to: Int) -> Boolean = { _, _ -> true },
) {
    val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    val faults = Faults()
    val settings = ClaimSettings()
    val executions = HashMap<String, Int>()
    val outcomes = sortedMapOf<String, Int>()
    val routers = ArrayList<FakeRouter>()
    private var startedRouters = 0

    init {
        repeat(size) { start(it, nowMillis() - INITIAL_AGE_MILLIS) }
        advanceTime(2_000)
    }

    fun nowMillis(): Long = 1_700_000_000_000 + test.testScheduler.currentTime

    fun advanceTime(millis: Long) = test.testScheduler.run { advanceTimeBy(millis) }

    /** Starts a router at [index] that lists every address it can discover. Its predecessor there must have ended. */
    fun start(index: Int, startedAtMillis: Long = nowMillis()): FakeRouter {
        val clockSkewMillis =
            if (maximumClockSkewMillis ==
                0
            ) {
                0
            } else {
                random.nextInt(-maximumClockSkewMillis, maximumClockSkewMillis + 1)
            }
        val listedAddresses = (0 until size).filter { discovers(index, it) }.map(::address).toSet()
        val zone = AvailabilityZoneId("z${index % ZONES}")
        val id = RouterId("r${startedRouters++}")
        val member = Member(id, address(index), zone, startedAtMillis + clockSkewMillis, 0, MemberState.LIVE)
        return FakeRouter(this, member, clockSkewMillis, listedAddresses).also(routers::add)
    }

    /** Ends the router at [index] and starts a new one in its place. */
    fun replace(index: Int) {
        at(index).crash()
        start(index)
    }

    /**
     * Drops all messages between the routers at [indexes] and the others, or with [oneWay] only those that they send.
     */
    fun isolate(vararg indexes: Int, oneWay: Boolean = false) {
        val isolated = indexes.map(::address).toSet()
        faults.isBlocked =
            { from, to -> if (oneWay) from in isolated && to !in isolated else (from in isolated) != (to in isolated) }
    }

    fun restoreNetwork() {
        faults.isBlocked = { _, _ -> false }
    }

    fun at(index: Int): FakeRouter = routers.last { it.address == address(index) }

    fun key(createdAtMillis: Long = nowMillis()): String =
        UUID(
            (createdAtMillis shl 16) or 0x7000 or random.nextLong(4_096),
            Long.MIN_VALUE or random.nextLong(1L shl 60),
        ).toString()

    /** Calls [handle] at the router at [to]; messages are lost, delayed or delivered twice according to [faults]. */
    suspend fun <T> call(from: FakeRouter, to: String, handle: suspend (FakeRouter) -> T): T? {
        from.awaitResumed()
        if (to == from.address) return handle(from)
        val reply = CompletableDeferred<T>()
        test.backgroundScope.launch { deliver(from.address, to, reply, handle) }
        if (faults.duplicateProbability > random.nextDouble()) {
            test.backgroundScope.launch { deliver(from.address, to, reply, handle) }
        }
        val result = withTimeoutOrNull(settings.voteTimeoutMillis) { reply.await() }
        from.awaitResumed()
        return result
    }

    private suspend fun <T> deliver(
        from: String,
        to: String,
        reply: CompletableDeferred<T>,
        handle: suspend (FakeRouter) -> T,
    ) {
        delay(latency())
        val target = routers.lastOrNull { it.address == to && !it.isCrashed } ?: return
        if (faults.isBlocked(from, to) || faults.lossProbability > random.nextDouble()) return
        target.awaitResumed()
        if (target.isCrashed) return
        val result = handle(target)
        delay(latency())
        if (!faults.isBlocked(to, from) && faults.lossProbability <= random.nextDouble()) reply.complete(result)
    }

    private fun latency(): Long =
        if (faults.delayProbability >
            random.nextDouble()
        ) {
            random.nextLong(100, 3_000)
        } else {
            random.nextLong(1, 4)
        }

    fun countOutcome(outcome: String) = outcomes.merge(outcome, 1, Int::plus)

    companion object {
        /** Age of the initial routers, which is high enough for them to vote on every key. */
        const val INITIAL_AGE_MILLIS = 2_000_000L
        const val ZONES = 3

        fun address(index: Int) = "10.0.0.$index:7001"

        fun index(address: String) = address.substringAfterLast('.').substringBefore(':').toInt()
    }
}

/** Hooks that inject faults into a router before and after it sends one request. */
class SendHooks(val beforeSend: suspend (FakeRouter) -> Unit = {}, val afterSend: suspend (FakeRouter) -> Unit = {})

class FakeRouter(val fleet: FakeFleet, member: Member, private val clockSkewMillis: Int, listedAddresses: Set<String>) :
    ClaimPeers {
    val address = member.address
    val id = member.router
    private val scope: CoroutineScope =
        fleet.test.backgroundScope + SupervisorJob(fleet.test.backgroundScope.coroutineContext.job)
    private val isPaused = MutableStateFlow(false)
    var isCrashed = false
    val members = MemberTable(member, listedAddresses, expectsVmList = true)
    val table: ClaimTable
    val keys: KeyClaimHolder
    val slots: SlotClaims

    init {
        val known = KnownRouters { members.possiblyAliveSince(it).takeIf { members.hasCandidateSource() } }
        val context =
            ClaimContext(
                self = members::self,
                knownRouters = known,
                peers = this,
                settings = fleet.settings,
                currentMillis = ::clock,
                newAttempt = { fleet.random.nextLong().toString() },
                scope = scope,
            )
        table = ClaimTable(id, member.startedAtMillis, fleet.settings, known)
        keys = quorumKeyClaims(context)
        slots = quorumSlotClaims(context) { AvailabilityZoneId("z0") }
        scope.launch { exchangeLoop() }
    }

    fun clock(): Long = fleet.nowMillis() + clockSkewMillis

    suspend fun awaitResumed() {
        isPaused.first { !it }
    }

    fun pause(millis: Long) {
        isPaused.value = true
        fleet.test.backgroundScope.launch {
            delay(millis)
            isPaused.value = false
        }
    }

    fun crash() {
        isCrashed = true
        scope.cancel()
    }

    private suspend fun exchangeLoop() {
        while (true) {
            awaitResumed()
            members.updateSelf(members.self().let { it.copy(heartbeat = it.heartbeat + 1) })
            members.tick(clock())
            table.tick(clock())
            val liveMembers = members.live()
            for (peer in (members.live().map { it.address } + members.silentAddresses()).toSet() - address) {
                scope.launch { fleet.call(this@FakeRouter, peer) { it.exchange(liveMembers) }?.let(::observeMembers) }
            }
            delay(1_000)
        }
    }

    private fun exchange(receivedMembers: List<Member>): List<Member> {
        observeMembers(receivedMembers)
        return members.live()
    }

    private fun observeMembers(receivedMembers: List<Member>) =
        receivedMembers
            .filter { fleet.discovers(FakeFleet.index(address), FakeFleet.index(it.address)) }
            .forEach { members.observe(it, clock()) }

    /** Sends one request with [key] through this router and returns the outcome for the caller. */
    suspend fun submit(key: String, hooks: SendHooks = SendHooks(), timeoutMillis: Long = 10_000): String {
        val contract = Contract(CustomerId("c"), emptyList(), 1.0, concurrentRequests = 1)
        val work =
            scope.async {
                val request = KeyedRequest(contract, key, "digest", clock() + timeoutMillis)
                when (val result = keys.claim(request)) {
                    is Either.Left -> result.value.type
                    is Either.Right -> run(key, result.value, hooks)
                }
            }
        val outcome = runCatching { work.await() }.getOrElse { "connection-lost" }
        fleet.countOutcome(outcome)
        return outcome
    }

    private suspend fun run(key: String, result: KeyClaimResult, hooks: SendHooks): String {
        if (result !is KeyClaimResult.Granted) return "repeated"
        hooks.beforeSend(this)
        awaitResumed()
        fleet.executions.merge(key, 1, Int::plus)
        hooks.afterSend(this)
        awaitResumed()
        result.claim.complete(
            StoredAnswer(result.claim.resource, 200, "text/plain", "", "digest", keepUntilMillis = Long.MAX_VALUE),
        )
        return "served"
    }

    override suspend fun claim(peer: Member, request: ClaimRequest): ClaimReply? =
        fleet.call(this, peer.address) { it.table.vote(request, it.clock()) }

    override suspend fun release(peer: Member, release: ClaimRelease): Boolean =
        fleet.call(this, peer.address) { it.table.release(release, it.clock()) } != null

    override suspend fun store(peer: Member, response: StoredAnswer): Boolean =
        fleet.call(this, peer.address) { it.table.store(response, it.clock()) } != null

    override suspend fun outcome(address: String, resource: ClaimResource): HolderState? =
        fleet.call(this, address) { it.keys.outcome(resource, it.table.storedResponse(resource)) }
}
