/*
 * How a claimant reaches the voters. The HTTP adapter implements it over the peer listener; this router's own vote goes
 * straight to its own table.
 */
package org.primrosesill.claim

import org.primrosesill.generated.ClaimRelease
import org.primrosesill.generated.ClaimReply
import org.primrosesill.generated.ClaimRequest
import org.primrosesill.generated.Member
import org.primrosesill.generated.StoredAnswer
import org.primrosesill.model.ClaimResource

/** What the holder of a key says about it. */
public sealed interface HolderOutcome {
    /** The request ran. */
    public data class Stored(val answer: StoredAnswer) : HolderOutcome

    /** The request is running. */
    public data object InProgress : HolderOutcome

    /** The request was sent and no valid answer came back. */
    public data object Unknown : HolderOutcome

    /** The router holds no claim of the key: it never asked for it, or it withdrew and sent nothing. */
    public data object NotHeld : HolderOutcome
}

/**
 * Calls to one router, this one included. Implementations give up after the vote timeout, and answer calls to the own
 * router id from the own table. All functions return null or false when there was no answer in time.
 */
public interface ClaimPeers {
    public suspend fun claim(peer: Member, request: ClaimRequest): ClaimReply?

    public suspend fun release(peer: Member, release: ClaimRelease): Boolean

    public suspend fun store(peer: Member, answer: StoredAnswer): Boolean

    /** Asks the router at [address] for the outcome of [resource]. */
    public suspend fun outcome(address: String, resource: ClaimResource): HolderOutcome?
}
