/*
 * Fakes of the dependencies of request handling. They count the permits that were acquired and released.
 */
package org.primrosesill.request

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.delay
import org.primrosesill.admission.AdmissionControl
import org.primrosesill.admission.AdmissionPermit
import org.primrosesill.admission.RetryBudget
import org.primrosesill.claim.KeyClaim
import org.primrosesill.claim.KeyClaimResult
import org.primrosesill.claim.KeyClaims
import org.primrosesill.claim.KeyedRequest
import org.primrosesill.claim.SlotClaim
import org.primrosesill.claim.SlotClaims
import org.primrosesill.generated.Contract
import org.primrosesill.generated.StoredAnswer
import org.primrosesill.generated.UpstreamState
import org.primrosesill.limit.CustomerLimiter
import org.primrosesill.limit.CustomerPermit
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.ClaimResource
import org.primrosesill.model.CustomerId
import org.primrosesill.model.Failure
import org.primrosesill.model.PoolId
import org.primrosesill.model.UpstreamId
import org.primrosesill.routing.RoutingRequest
import org.primrosesill.routing.UpstreamChoice
import org.primrosesill.routing.UpstreamSelector
import org.primrosesill.routing.UpstreamView
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Counts the permits of one kind, such as slots, that were acquired and released. */
class PermitCounter(val name: String) {
    private val acquired = AtomicInteger()
    private val released = AtomicInteger()

    fun acquire(): () -> Unit {
        acquired.incrementAndGet()
        return { released.incrementAndGet() }
    }

    /** Returns a description of the leak, or null if as many permits were released as acquired. */
    fun leak(): String? =
        if (acquired.get() ==
            released.get()
        ) {
            null
        } else {
            "$name: $acquired acquired, $released released"
        }
}

class FakeAdmission(val permits: PermitCounter = PermitCounter("admission permits"), var refusal: Failure? = null) :
    AdmissionControl {
    override fun admit(priority: Int): Either<Failure, AdmissionPermit> =
        refusal?.left() ?: permits.acquire().let { AdmissionPermit { it() } }.right()
}

class FakeLimiter(val permits: PermitCounter = PermitCounter("customer permits"), var refusal: Failure? = null) :
    CustomerLimiter {
    var waitMillis = 0L
    var tokens = 0

    override suspend fun acquire(contract: Contract): Either<Failure, CustomerPermit> {
        delay(waitMillis)
        refusal?.let { return it.left() }
        val release = permits.acquire()
        return CustomerPermit {
            tokens += it
            release()
        }.right()
    }
}

class FakeBudget(var retries: Int = Int.MAX_VALUE) : RetryBudget {
    override fun recordAttempt(customer: CustomerId) = Unit

    override fun tryRetry(customer: CustomerId): Boolean = retries-- > 0
}

class FakeSlots(val permits: PermitCounter = PermitCounter("slots"), var free: Int = 1) : SlotClaims {
    var waitMillis = 0L

    override suspend fun claim(upstream: UpstreamId, slots: Int, heldUntilMillis: Long): SlotClaim? {
        delay(waitMillis)
        if (free-- <= 0) return null
        return permits.acquire().let { SlotClaim { it() } }
    }
}

/** Records how each claim was settled. */
class FakeKeyClaims(var result: Either<Failure, StoredAnswer>? = null) : KeyClaims {
    val settled = mutableListOf<String>()
    var stored: StoredAnswer? = null
    var digest: String? = null

    override suspend fun claim(request: KeyedRequest): Either<Failure, KeyClaimResult> {
        digest = request.requestDigest
        return result?.map { KeyClaimResult.Replayed(it) } ?: KeyClaimResult.Granted(claim()).right()
    }

    private fun claim() =
        object : KeyClaim {
            override val resource = ClaimResource("key")

            override suspend fun complete(response: StoredAnswer) {
                stored = response
                settled += "complete"
            }

            override suspend fun release() {
                settled += "release"
            }

            override fun markOutcomeUnknown() {
                settled += "markOutcomeUnknown"
            }
        }
}

/** Selects the first upstream that is not excluded. */
class FakeSelector(val addresses: List<String>, var addressesRequiringSlot: Set<String> = emptySet()) :
    UpstreamSelector {
    val permits = PermitCounter("requests in flight")
    val connections = mutableListOf<Boolean>()
    val cold = mutableListOf<Int>()
    private val open = ConcurrentHashMap<UpstreamId, ArrayDeque<() -> Unit>>()

    override fun choose(request: RoutingRequest): Either<Failure, UpstreamChoice> {
        val address = addresses.firstOrNull { UpstreamId(it) !in request.excluded }
        address ?: return Failure.NoUpstream(request.pool, "all upstreams were tried").left()
        val id = UpstreamId(address)
        synchronized(open) { open.computeIfAbsent(id) { ArrayDeque() }.add(permits.acquire()) }
        val view = UpstreamView(id, AvailabilityZoneId("a"), address, listOf(request.pool), UpstreamState.WARM)
        return UpstreamChoice(view, address in addressesRequiringSlot).right()
    }

    override fun loadLimit(pool: PoolId, upstream: UpstreamId, knownTotal: Int): Int? = null

    override fun poolTotal(pool: PoolId): Int = 0

    override fun finish(upstream: UpstreamId) = synchronized(open) { open.getValue(upstream).removeFirst() }.invoke()

    override fun recordConnection(upstream: UpstreamId, succeeded: Boolean) {
        synchronized(connections) { connections += succeeded }
    }

    override fun recordCold(upstream: UpstreamId, coldConcurrencyLimit: Int) {
        cold += coldConcurrencyLimit
    }

    override fun inFlight(): Map<UpstreamId, Int> = open.mapValues { it.value.size }.filterValues { it > 0 }
}
