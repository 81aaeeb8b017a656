/*
 * The claim voter and claim holder of this router, which serves its own claims and those of its peers.
 */
package org.primrosesill.router

import org.primrosesill.claim.ClaimTable
import org.primrosesill.claim.HolderState
import org.primrosesill.claim.KeyClaimHolder
import org.primrosesill.concurrent.ControlThread
import org.primrosesill.generated.ClaimRelease
import org.primrosesill.generated.ClaimReply
import org.primrosesill.generated.ClaimRequest
import org.primrosesill.generated.StoredAnswer
import org.primrosesill.model.ClaimResource

/**
 * Runs the operations of [table] on the control thread.
 *
 * @param keyClaims the key claims of this router; a function, because they call this voter and are created after it
 */
internal class ClaimVoter(
    private val control: ControlThread,
    private val table: ClaimTable,
    private val keyClaims: () -> KeyClaimHolder,
    private val currentMillis: () -> Long,
) {
    suspend fun vote(request: ClaimRequest): ClaimReply = control.run { table.vote(request, currentMillis()) }

    suspend fun release(release: ClaimRelease) = control.run { table.release(release, currentMillis()) }

    suspend fun store(response: StoredAnswer) = control.run { table.store(response, currentMillis()) }

    suspend fun outcome(resource: ClaimResource): HolderState =
        keyClaims().outcome(resource, control.run { table.storedResponse(resource) })

    suspend fun storedResponses(): List<StoredAnswer> = control.run { table.storedResponses() }
}
