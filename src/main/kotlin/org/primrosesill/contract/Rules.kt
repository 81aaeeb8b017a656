/*
 * The validation rules of contracts and of the fleet document. The bounds exceed every planned use and only reject
 * values that would break a router: memory use, timers and message sizes depend on them.
 */
package org.primrosesill.contract

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

private val idRule = StringRule("1 to 64 letters, digits, '.', '_' or '-'", Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,63}"))
private val reasonRule = StringRule("at most 500 characters without control characters", Regex("[^\\p{Cntrl}]{0,500}"))
private val poolKindRule = StringRule("\"chat\" or \"service\"", Regex("chat|service"))
private val methodRule = StringRule("an HTTP method in capital letters", Regex("[A-Z]{1,16}"))
private val credentialRule = StringRule("64 lower-case hexadecimal digits", Regex("[0-9a-f]{64}"), secret = true)

private fun fieldValue(name: String): (JsonElement) -> JsonElement? = { (it as? JsonObject)?.get(name) }

private val servicePermissionRule =
    ObjectRule(
        Field("service", idRule, required = true),
        Field("repeatableMethods", ListRule(methodRule, 0..16)),
        Field("keyRequired", FlagRule),
    )

internal val contractRule: ObjectRule =
    ObjectRule(
        Field("customer", idRule, required = true),
        Field("credentialHashes", ListRule(credentialRule, 1..16), required = true),
        Field("requestsPerSecond", NumberRule(0.001..100_000.0), required = true),
        Field("burst", IntegerRule(1L..100_000L)),
        Field("concurrentRequests", IntegerRule(1L..100_000L), required = true),
        Field("tokensPerSecond", NumberRule(0.1..100_000_000.0)),
        Field("priority", IntegerRule(0L..9L)),
        Field("models", ListRule(idRule, 0..64)),
        Field("services", ListRule(servicePermissionRule, 0..64, fieldValue("service"))),
        Field("chatDeadlineMillis", IntegerRule(100L..3_600_000L)),
        Field("serviceDeadlineMillis", IntegerRule(10L..600_000L)),
        Field("maximumBodyBytes", IntegerRule(1L..67_108_864L)),
        Field("keyRetentionMillis", IntegerRule(1_000L..86_400_000L)),
    )

private val zoneRule =
    ObjectRule(
        Field("id", idRule, required = true),
        Field("region", idRule),
        Field("outOfService", FlagRule),
        Field("reason", reasonRule),
    )

private val poolRule =
    ObjectRule(
        Field("id", idRule, required = true),
        Field("kind", poolKindRule, required = true),
        Field("loadMultiple", NumberRule(1.0..100.0)),
        Field("coldSlots", IntegerRule(1L..1_000L)),
    )

internal val fleetRule: ObjectRule =
    ObjectRule(
        Field("availabilityZones", ListRule(zoneRule, 1..64, fieldValue("id")), required = true),
        Field("pools", ListRule(poolRule, 0..256, fieldValue("id")), required = true),
        Field("outOfServiceVms", ListRule(idRule, 0..10_000)),
        Field("allowAllZonesOut", FlagRule),
    )
