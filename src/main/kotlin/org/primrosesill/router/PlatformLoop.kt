/*
 * Reads the platform while this router is one of the readers of its zone, or while it has no configuration at all.
 */
package org.primrosesill.router

import arrow.core.Either
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.primrosesill.concurrent.ControlThread
import org.primrosesill.configuration.ReaderCandidate
import org.primrosesill.configuration.ReaderElection
import org.primrosesill.configuration.ReaderRole
import org.primrosesill.event.EventLog
import org.primrosesill.generated.EventType
import org.primrosesill.generated.Member
import org.primrosesill.generated.MemberState
import org.primrosesill.http.PlatformClient
import org.primrosesill.http.PlatformError
import kotlin.time.Duration.Companion.milliseconds

private val ROLE_INTERVAL = 250.milliseconds

internal class PlatformLoop(
    private val self: Member,
    private val control: ControlThread,
    private val state: ControlState,
    private val views: PublishedViews,
    private val client: PlatformClient,
    private val events: EventLog,
    private val currentMillis: () -> Long,
) {
    private val election = ReaderElection(self.router, self.availabilityZone)
    private var reachable = true

    /** Runs until cancelled. */
    suspend fun run() {
        while (true) {
            val role = awaitRole { it.isReader }
            events.record(EventType.READER_STARTED, role.cause)
            readWhileElected()
            events.record(EventType.READER_STOPPED, ReaderRole.FOLLOWER.cause)
        }
    }

    private suspend fun readWhileElected() =
        coroutineScope {
            val configuration = launch { watchConfiguration() }
            val vms = launch { watchVms() }
            awaitRole { !it.isReader }
            configuration.cancel()
            vms.cancel()
        }

    private suspend fun awaitRole(accepts: (ReaderRole) -> Boolean): ReaderRole =
        coroutineScope {
            while (isActive) {
                val role = control.run { role() }
                if (accepts(role)) return@coroutineScope role
                delay(ROLE_INTERVAL)
            }
            ReaderRole.FOLLOWER
        }

    /** A router without configuration reads by itself, because its peers may be as fresh as it is. */
    private fun role(): ReaderRole {
        if (state.documents.snapshot.fleet == null) return ReaderRole.TAKEN_OVER
        val candidates =
            state.members
                .live()
                .filter { it.state == MemberState.LIVE }
                .map { ReaderCandidate(it.router, it.availabilityZone, state.members.heardAtMillis(it.router)) }
        return election.role(candidates, currentMillis())
    }

    private suspend fun watchConfiguration() =
        client.watchConfiguration({ views.configuration.get().revision }) { since, result ->
            noticeReachable(result)
            result.onRight { page -> control.run { state.receivePage(page, since, "the platform", currentMillis()) } }
        }

    private suspend fun watchVms() =
        client.watchVms({ views.platform.get().vmListRevision }) { _, result ->
            result.onRight { list -> control.run { state.receiveVmList(list, currentMillis()) } }
        }

    private fun noticeReachable(result: Either<PlatformError, *>) {
        val now = result.isRight()
        if (now == reachable) return
        reachable = now
        val type = if (now) EventType.PLATFORM_BACK else EventType.PLATFORM_LOST
        events.record(type, result.fold({ it.toString() }, { "it answers again" }))
    }
}
