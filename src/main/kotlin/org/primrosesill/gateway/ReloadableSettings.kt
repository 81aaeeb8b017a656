/*
 * The settings of a gateway, some of which can be reloaded while it runs. An invalid file leaves the old settings in
 * force.
 */
package org.primrosesill.gateway

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import org.primrosesill.contract.DocumentError
import org.primrosesill.contract.GatewaySettingsValidator
import org.primrosesill.event.EventLog
import org.primrosesill.generated.EventType
import org.primrosesill.generated.GatewaySettings
import java.util.concurrent.atomic.AtomicReference

/** Safe to use from any thread. */
internal class ReloadableSettings(initialSettings: GatewaySettings, private val events: EventLog) {
    private val current = AtomicReference(initialSettings)

    val value: GatewaySettings get() = current.get()

    /** Applies the settings in [text], or records why they are rejected. */
    fun reload(text: String) {
        GatewaySettingsValidator
            .validate(text)
            .flatMap { rejectRestartOnlyChanges(value, it) }
            .fold(
                { errors -> events.record(EventType.SETTINGS_REFUSED, errors.joinToString("; ")) },
                { settings ->
                    current.set(settings)
                    events.record(EventType.SETTINGS_ACCEPTED, describe(settings))
                },
            )
    }

    /** Records that the settings file cannot be read, for [reason]. */
    fun recordUnreadable(reason: String) = events.record(EventType.SETTINGS_REFUSED, reason)

    private fun describe(settings: GatewaySettings) =
        "retries ${settings.retryRatio} of requests plus ${settings.retryFixed} in ${settings.retryWindowMillis} ms, " +
            "cold starts ${settings.coldStartOverage} times the rate plus ${settings.coldStartTolerance}, " +
            "stop within ${settings.stopGraceMillis} ms, upstreams drain within ${settings.drainMillis} ms"
}

/** Settings that need a restart: a process binds its sockets, and announces its zone to peers, once at its start. */
private val restartOnlySettings: Map<String, (GatewaySettings) -> Any> =
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

private fun rejectRestartOnlyChanges(
    before: GatewaySettings,
    after: GatewaySettings,
): Either<NonEmptyList<DocumentError>, GatewaySettings> =
    restartOnlySettings
        .filter { (_, read) -> read(before) != read(after) }
        .map { (name, read) ->
            DocumentError.Contradiction("/$name", "${read(after)}", "${read(before)} until the process restarts")
        }.toNonEmptyListOrNull()
        ?.left()
        ?: after.right()
