/*
 * The settings of a gateway, some of which may change while it runs. A file with a fault leaves the old settings in force.
 */
package org.primrosesill.gateway

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import org.primrosesill.contract.DocumentError
import org.primrosesill.contract.GatewaySettingsChecks
import org.primrosesill.event.EventLog
import org.primrosesill.generated.EventType
import org.primrosesill.generated.GatewaySettings
import java.util.concurrent.atomic.AtomicReference

/** Safe to use from any thread. */
internal class SettingsInForce(atStart: GatewaySettings, private val events: EventLog) {
    private val current = AtomicReference(atStart)

    val value: GatewaySettings get() = current.get()

    /** Puts the settings in [text] in force, or records why they are refused. */
    fun reload(text: String) {
        GatewaySettingsChecks
            .check(text)
            .flatMap { refuseWhatNeedsRestart(value, it) }
            .fold(
                { errors -> events.record(EventType.SETTINGS_REFUSED, errors.joinToString("; ")) },
                { settings ->
                    current.set(settings)
                    events.record(EventType.SETTINGS_ACCEPTED, boundsOf(settings))
                },
            )
    }

    /** Records that there is nothing to reload. */
    fun unreadable(reason: String) = events.record(EventType.SETTINGS_REFUSED, reason)

    private fun boundsOf(settings: GatewaySettings) =
        "retries ${settings.retryRatio} + ${settings.retryFixed} in ${settings.retryWindowMillis} ms, " +
            "cold starts ${settings.coldStartOverage} + ${settings.coldStartTolerance}, " +
            "stop within ${settings.stopGraceMillis} ms, upstreams drain within ${settings.drainMillis} ms"
}

/** Sockets are bound, and peers know the zone, from the start to the end of a process. */
private val fixedSettings: Map<String, (GatewaySettings) -> Any> =
    mapOf(
        "name" to { it.name },
        "availabilityZone" to { it.availabilityZone },
        "callerAddress" to { it.callerAddress },
        "readinessAddress" to { it.readinessAddress },
        "peerAddress" to { it.peerAddress },
        "metricsAddress" to { it.metricsAddress },
        "gossipPort" to { it.gossipPort },
        "platformAddress" to { it.platformAddress },
    )

private fun refuseWhatNeedsRestart(
    before: GatewaySettings,
    after: GatewaySettings,
): Either<NonEmptyList<DocumentError>, GatewaySettings> =
    fixedSettings
        .filter { (_, read) -> read(before) != read(after) }
        .map { (name, read) ->
            DocumentError.Contradiction("/$name", "${read(after)}", "${read(before)} until the process starts again")
        }.toNonEmptyListOrNull()
        ?.left()
        ?: after.right()
