/*
 * Validates the settings of a gateway before they come into force.
 */
package org.primrosesill.contract

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.flatMap
import arrow.core.nonEmptyListOf
import org.primrosesill.generated.GatewaySettings

private val nameRule = StringRule("1 to 200 visible characters", Regex("[!-~]{1,200}"))
private val addressRule = StringRule("an IP address and a port", Regex("([0-9.]+|\\[[0-9a-fA-F:]+]):[0-9]{1,5}"))
private val millisRule = IntegerRule(1L..3_600_000L)
private val ratioRule = NumberRule(0.0..100.0)

/** Bounds that the platform sets may be fractional; they are applied as whole requests and milliseconds. */
private val boundRule = NumberRule(0.0..3_600_000.0)

private val settingsRule =
    ObjectRule(
        Field("name", nameRule, required = true),
        Field("availabilityZone", nameRule, required = true),
        Field("callerAddress", addressRule, required = true),
        Field("readinessAddress", addressRule, required = true),
        Field("peerAddress", addressRule, required = true),
        Field("metricsAddress", addressRule, required = true),
        Field("gossipPort", IntegerRule(1L..65_535L), required = true),
        Field("platformAddress", addressRule, required = true),
        Field("peers", ListRule(addressRule, 0..1_000)),
        Field("firstStart", FlagRule),
        Field("retryRatio", ratioRule),
        Field("retryWindowMillis", millisRule),
        Field("retryFixed", boundRule),
        Field("coldStartOverage", ratioRule),
        Field("coldStartTolerance", boundRule),
        Field("stopGraceMillis", millisRule),
        Field("drainMillis", boundRule),
        Field("loadAwareScheduling", FlagRule),
        Field("platformFeatures", ListRule(nameRule, 0..100)),
    )

/** Validates the settings of gateways. */
public object GatewaySettingsValidator {
    /** Returns the settings in [text], or all errors in it. */
    public fun validate(text: String): Either<NonEmptyList<DocumentError>, GatewaySettings> =
        parseDocument(text, settingsRule.allowed)
            .mapLeft { nonEmptyListOf(it) }
            .flatMap { validateAndDecode(it, settingsRule, GatewaySettings.serializer()) { _, _ -> } }
}
