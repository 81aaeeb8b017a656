/*
 * A fleet of routers under virtual time for the tests of claims. Member tables, claim tables and claims are the
 * product's own; only the network, the processes and the upstream are fakes.
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

/** Faults of the network; the probabilities are drawn for each message. */
class Faults(var lose: Double = 0.0, var duplicate: Double = 0.0, var late: Double = 0.0) {
    /** Directed links by address that deliver nothing. */
    var cut: (from: String, to: String) -> Boolean = { _, _ -> false }
}

/** @param knows whether the router at one index ever hears of the one at the other */
class FakeFleet(
    val test: TestScope,
    val size: Int,
    seed: Long,
    val skewMillis: Int = 0,
    val knows: (from: Int, to: Int) -> Boolean = { _, _ -> true },
) {
    val random: UniformRandomProvider = RandomSource.XO_RO_SHI_RO_128_PP.create(seed)
    val faults = Faults()
    val settings = ClaimSettings()
    val executions = HashMap<String, Int>()
    val outcomes = sortedMapOf<String, Int>()
    val routers = ArrayList<FakeRouter>()
    private var incarnations = 0

    init {
        repeat(size) { start(it, nowMillis() - OLD_MILLIS) }
        advance(2_000)
    }

    fun nowMillis(): Long = 1_700_000_000_000 + test.testScheduler.currentTime

    fun advance(millis: Long) = test.testScheduler.run { advanceTimeBy(millis) }

    /** Starts a router at [index] that lists every address it may know; the earlier incarnation there has ended. */
    fun start(index: Int, startedAt: Long = nowMillis()): FakeRouter {
        val skew = if (skewMillis == 0) 0 else random.nextInt(-skewMillis, skewMillis + 1)
        val listed = (0 until size).filter { knows(index, it) }.map(::address).toSet()
        val zone = AvailabilityZoneId("z${index % ZONES}")
        val id = RouterId("r${incarnations++}")
        val member = Member(id, address(index), zone, startedAt + skew, 0, MemberState.LIVE)
        return FakeRouter(this, member, skew, listed).also(routers::add)
    }

    /** Ends the router at [index] and starts a new one in its place. */
    fun replace(index: Int) {
        at(index).die()
        start(index)
    }

    /** Cuts the routers at [indexes] off from all others, or only what they send. */
    fun cutOff(vararg indexes: Int, oneWay: Boolean = false) {
        val side = indexes.map(::address).toSet()
        faults.cut = { from, to -> if (oneWay) from in side && to !in side else (from in side) != (to in side) }
    }

    fun heal() {
        faults.cut = { _, _ -> false }
    }

    fun at(index: Int): FakeRouter = routers.last { it.address == address(index) }

    fun key(createdAtMillis: Long = nowMillis()): String =
        UUID(
            (createdAtMillis shl 16) or 0x7000 or random.nextLong(4_096),
            Long.MIN_VALUE or random.nextLong(1L shl 60),
        ).toString()

    /** Runs [handle] at the router at [to]; messages are lost, late or delivered twice as the faults say. */
    suspend fun <T> call(from: FakeRouter, to: String, handle: suspend (FakeRouter) -> T): T? {
        from.awake()
        if (to == from.address) return handle(from)
        val reply = CompletableDeferred<T>()
        test.backgroundScope.launch { deliver(from.address, to, reply, handle) }
        if (faults.duplicate > random.nextDouble()) {
            test.backgroundScope.launch { deliver(from.address, to, reply, handle) }
        }
        val result = withTimeoutOrNull(settings.voteTimeoutMillis) { reply.await() }
        from.awake()
        return result
    }

    private suspend fun <T> deliver(
        from: String,
        to: String,
        reply: CompletableDeferred<T>,
        handle: suspend (FakeRouter) -> T,
    ) {
        delay(latency())
        val target = routers.lastOrNull { it.address == to && !it.dead } ?: return
        if (faults.cut(from, to) || faults.lose > random.nextDouble()) return
        target.awake()
        if (target.dead) return
        val result = handle(target)
        delay(latency())
        if (!faults.cut(to, from) && faults.lose <= random.nextDouble()) reply.complete(result)
    }

    private fun latency(): Long =
        if (faults.late >
            random.nextDouble()
        ) {
            random.nextLong(100, 3_000)
        } else {
            random.nextLong(1, 4)
        }

    fun count(outcome: String) = outcomes.merge(outcome, 1, Int::plus)

    companion object {
        /** Age of the first routers, so that they may vote on every key. */
        const val OLD_MILLIS = 2_000_000L
        const val ZONES = 3

        fun address(index: Int) = "10.0.0.$index:7001"

        fun index(address: String) = address.substringAfterLast('.').substringBefore(':').toInt()
    }
}

/** What the harness does to a router around the send of one request. */
class SendHooks(val beforeSend: suspend (FakeRouter) -> Unit = {}, val afterSend: suspend (FakeRouter) -> Unit = {})

class FakeRouter(val fleet: FakeFleet, member: Member, private val skew: Int, listed: Set<String>) : ClaimPeers {
    val address = member.address
    val id = member.router
    private val scope: CoroutineScope =
        fleet.test.backgroundScope + SupervisorJob(fleet.test.backgroundScope.coroutineContext.job)
    private val paused = MutableStateFlow(false)
    var dead = false
    val members = MemberTable(member, listed, expectsVmList = true)
    val table: ClaimTable
    val keys: HeldKeyClaims
    val slots: SlotClaims

    init {
        val known = KnownRouters { members.mayHaveBeenAliveAt(it).takeIf { members.knowsCandidates() } }
        val context =
            ClaimContext(
                self = members::self,
                known = known,
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

    fun clock(): Long = fleet.nowMillis() + skew

    suspend fun awake() {
        paused.first { !it }
    }

    fun pause(millis: Long) {
        paused.value = true
        fleet.test.backgroundScope.launch {
            delay(millis)
            paused.value = false
        }
    }

    fun die() {
        dead = true
        scope.cancel()
    }

    private suspend fun exchangeLoop() {
        while (true) {
            awake()
            members.updateSelf(members.self().let { it.copy(heartbeat = it.heartbeat + 1) })
            members.tick(clock())
            table.tick(clock())
            val news = members.live()
            for (peer in (members.live().map { it.address } + members.silentAddresses()).toSet() - address) {
                scope.launch { fleet.call(this@FakeRouter, peer) { it.exchange(news) }?.let(::hear) }
            }
            delay(1_000)
        }
    }

    private fun exchange(news: List<Member>): List<Member> {
        hear(news)
        return members.live()
    }

    private fun hear(news: List<Member>) =
        news
            .filter { fleet.knows(FakeFleet.index(address), FakeFleet.index(it.address)) }
            .forEach { members.observe(it, clock()) }

    /** Sends one request of a caller with [key] through this router; returns what the caller is told. */
    suspend fun submit(key: String, hooks: SendHooks = SendHooks(), deadline: Long = 10_000): String {
        val contract = Contract(CustomerId("c"), emptyList(), 1.0, concurrentRequests = 1)
        val work =
            scope.async {
                val request = KeyedRequest(contract, key, "digest", clock() + deadline)
                when (val result = keys.claim(request)) {
                    is Either.Left -> result.value.type
                    is Either.Right -> run(key, result.value, hooks)
                }
            }
        val outcome = runCatching { work.await() }.getOrElse { "connection-lost" }
        fleet.count(outcome)
        return outcome
    }

    private suspend fun run(key: String, result: KeyClaimResult, hooks: SendHooks): String {
        if (result !is KeyClaimResult.Granted) return "repeated"
        hooks.beforeSend(this)
        awake()
        fleet.executions.merge(key, 1, Int::plus)
        hooks.afterSend(this)
        awake()
        result.claim.complete(
            StoredAnswer(result.claim.resource, 200, "text/plain", "", "digest", keepUntilMillis = Long.MAX_VALUE),
        )
        return "served"
    }

    override suspend fun claim(peer: Member, request: ClaimRequest): ClaimReply? =
        fleet.call(this, peer.address) { it.table.vote(request, it.clock()) }

    override suspend fun release(peer: Member, release: ClaimRelease): Boolean =
        fleet.call(this, peer.address) { it.table.release(release, it.clock()) } != null

    override suspend fun store(peer: Member, answer: StoredAnswer): Boolean =
        fleet.call(this, peer.address) { it.table.store(answer, it.clock()) } != null

    override suspend fun outcome(address: String, resource: ClaimResource): HolderOutcome? =
        fleet.call(this, address) { it.keys.outcome(resource, it.table.answer(resource)) }
}
