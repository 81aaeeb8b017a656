/*
 * Calls from a claimant to the voters, over the peer protocol. A router calls its own claim table directly.
 */
package org.primrosesill.claim

import org.primrosesill.generated.ClaimRelease
import org.primrosesill.generated.ClaimReply
import org.primrosesill.generated.ClaimRequest
import org.primrosesill.generated.Member
import org.primrosesill.generated.StoredAnswer
import org.primrosesill.model.ClaimResource

/** State of a key at the router that holds it. */
public sealed interface HolderState {
    /** The request ran and returned [response]. */
    public data class Stored(val response: StoredAnswer) : HolderState

    /** The request is running. */
    public data object InProgress : HolderState

    /** The request was sent, and no valid response was received. */
    public data object Unknown : HolderState

    /**
     * The router holds no claim of the key: it never claimed it, or it released the claim without sending the request.
     */
    public data object NotHeld : HolderState
}

/**
 * Calls to one router, which can be this router itself. Implementations enforce the vote timeout. All functions return
 * null or false when no reply arrived in time.
 */
public interface ClaimPeers {
    public suspend fun claim(peer: Member, request: ClaimRequest): ClaimReply?

    public suspend fun release(peer: Member, release: ClaimRelease): Boolean

    public suspend fun store(peer: Member, response: StoredAnswer): Boolean

    /** Fetches the outcome of [resource] from the router at [address]. */
    public suspend fun outcome(address: String, resource: ClaimResource): HolderState?
}
