/*
 * Watches the platform while this router is an elected reader of its zone or has no configuration.
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

private val ROLE_CHECK_INTERVAL = 250.milliseconds

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
    private var wasReachable = true

    /** Alternates between waiting for the reader role and watching the platform, until cancelled. */
    suspend fun run() {
        while (true) {
            val role = awaitRole { it.isReader }
            events.record(EventType.READER_STARTED, role.cause)
            watchWhileElected()
            events.record(EventType.READER_STOPPED, ReaderRole.FOLLOWER.cause)
        }
    }

    private suspend fun watchWhileElected() =
        coroutineScope {
            val configuration = launch { watchConfiguration() }
            val vms = launch { watchVms() }
            awaitRole { !it.isReader }
            configuration.cancel()
            vms.cancel()
        }

    private suspend fun awaitRole(matches: (ReaderRole) -> Boolean): ReaderRole =
        coroutineScope {
            while (isActive) {
                val role = control.run { role() }
                if (matches(role)) return@coroutineScope role
                delay(ROLE_CHECK_INTERVAL)
            }
            ReaderRole.FOLLOWER
        }

    /** Returns the role. A router without configuration reads, because its peers may have just started as well. */
    private fun role(): ReaderRole {
        if (state.documents.snapshot.fleet == null) return ReaderRole.TAKEN_OVER
        val candidates =
            state.members
                .live()
                .filter { it.state == MemberState.LIVE }
                .map { ReaderCandidate(it.router, it.availabilityZone, state.members.lastHeartbeatMillis(it.router)) }
        return election.role(candidates, currentMillis())
    }

    private suspend fun watchConfiguration() =
        client.watchConfiguration({ views.configuration.get().revision }) { since, result ->
            updateReachability(result)
            result.onRight { page -> control.run { state.receivePage(page, since, "the platform", currentMillis()) } }
        }

    private suspend fun watchVms() =
        client.watchVms({ views.platform.get().vmListRevision }) { _, result ->
            result.onRight { list -> control.run { state.receiveVmList(list, currentMillis()) } }
        }

    private fun updateReachability(result: Either<PlatformError, *>) {
        val isReachable = result.isRight()
        if (isReachable == wasReachable) return
        wasReachable = isReachable
        val type = if (isReachable) EventType.PLATFORM_BACK else EventType.PLATFORM_LOST
        events.record(type, result.fold({ it.toString() }, { "the platform responds again" }))
    }
}
