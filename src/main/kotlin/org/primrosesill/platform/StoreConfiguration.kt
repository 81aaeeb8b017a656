/*
 * Decodes the configuration in the platform's store.
 */
package org.primrosesill.platform

import arrow.core.Either
import org.primrosesill.discovery.DecodedItem
import org.primrosesill.discovery.SegmentedText
import org.primrosesill.discovery.TextSegment
import org.primrosesill.model.CustomerId
import org.primrosesill.model.PoolId
import org.primrosesill.route.CallerLimits
import org.primrosesill.route.ClientAccount
import org.primrosesill.route.ColdStartLimits
import org.primrosesill.route.EnginePool
import org.primrosesill.route.PoolDefinition
import org.primrosesill.route.Route
import org.primrosesill.route.RouteKind
import org.primrosesill.route.RouteTable
import org.primrosesill.route.RouteTarget
import org.primrosesill.route.ServingConfiguration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val routeKinds =
    mapOf(
        "safe" to RouteKind.IDEMPOTENT,
        "unsafe" to RouteKind.NON_IDEMPOTENT,
        "stream" to RouteKind.STREAM,
    )

/**
 * Reads the configuration in [value]. Routes, services and client accounts that it has in common with [previous] are those
 * of [previous].
 */
internal fun readConfiguration(
    value: SegmentedText,
    previous: DecodedItem.Configuration?,
): Either<WireError, DecodedItem.Configuration> =
    readWireObject(value.frame, CONFIGURATION_NAME) { wire ->
        val entries = ConfigurationEntries(wire, value, previous?.entries.orEmpty())
        val routes = entries.read("routes", wire.objects("routes"), ::readRoute)
        val pools = entries.read("services", wire.objects("services"), ::readPool)
        val accounts = wire.optionalObjects("tenants")?.let { entries.read("tenants", it, ::readAccount) }
        val configuration =
            ServingConfiguration(
                version = wire.integer("version"),
                routes = RouteTable(routes),
                pools = pools.associateBy { it.id },
                limits = readLimits(wire.requiredObject("limits")),
                accounts = accounts,
            )
        DecodedItem.Configuration(configuration, entries.decoded, entries.newCount)
    }

/** Reads the elements of the arrays in [value], as far as [known] lacks them. */
private class ConfigurationEntries(
    private val wire: WireObject,
    private val value: SegmentedText,
    private val known: Map<TextSegment, Any>,
) {
    val decoded = HashMap<TextSegment, Any>(known.size * 2)
    var newCount = 0
        private set

    /** Returns the elements of the array [name]: those in the frame of the value, and those that are segments. */
    inline fun <reified T : Any> read(name: String, inFrame: List<WireObject>, read: (WireObject) -> T): List<T> {
        val elements = inFrame.map(read)
        newCount += elements.size
        return elements +
            value.elementsOf(name).mapIndexed { index, segment ->
                val entry = known[segment] as? T ?: read(parse(segment, "$CONFIGURATION_NAME.$name[$index]"))
                entry.also { decoded[segment] = it }
            }
    }

    private fun parse(segment: TextSegment, path: String): WireObject {
        newCount++
        return wire.parse(segment.element, path)
    }
}

private const val CONFIGURATION_NAME = "configuration"

private fun readRoute(wire: WireObject): Route {
    val kind = wire.string("type")
    return Route(
        name = wire.string("name"),
        host = wire.string("host").lowercase(),
        pathPrefix = wire.string("path_prefix"),
        kind = routeKinds[kind] ?: wire.fail("type", "'$kind'", "one of ${routeKinds.keys}"),
        timeout = wire.integer("timeout_ms").milliseconds,
        latencyTarget = wire.integer("target_latency_ms").milliseconds,
        priority = wire.integer("priority").toInt(),
        targets = readTargets(wire),
        maximumAttempts = wire.integer("attempts").toInt(),
        anonymous = wire.boolean("anonymous"),
        promptCached = wire.optionalBoolean("affinity") ?: false,
        resumable = wire.optionalBoolean("resumable") ?: false,
        eventIntervalTarget = wire.optionalInteger("gap_target_ms")?.milliseconds,
    )
}

/** Reads the targets of a route, which names either one service or several weighted backends. */
private fun readTargets(wire: WireObject): List<RouteTarget> {
    val weightedBackends = wire.optionalObjects("backends").orEmpty()
    if (weightedBackends.isEmpty()) return listOf(RouteTarget(PoolId(wire.string("service")), weight = 1))
    return weightedBackends.map { RouteTarget(PoolId(it.string("service")), it.integer("weight").toInt()) }
}

private fun readPool(wire: WireObject): PoolDefinition {
    val rate = wire.number("warmup_per_s")
    val duration = wire.number("warmup_s").seconds
    return PoolDefinition(
        id = PoolId(wire.string("name")),
        healthPath = wire.string("health_path"),
        maximumConnections = wire.integer("max_conns").toInt(),
        coldStart = if (rate > 0 && duration.isPositive()) ColdStartLimits(duration, rate) else null,
        engine =
            wire.optionalObject("engine")?.let {
                // "max_batch" counts requests; "kv_capacity" counts tokens.
                EnginePool(it.integer("max_batch").toInt(), it.integer("kv_capacity"))
            },
    )
}

private fun readLimits(wire: WireObject) =
    CallerLimits(
        maximumHeaderBytes = wire.integer("max_header_bytes").toInt(),
        maximumBodyBytes = wire.integer("max_body_bytes").toInt(),
        headerTimeout = wire.integer("header_timeout_ms").milliseconds,
        idleTimeout = wire.integer("idle_timeout_ms").milliseconds,
    )

private fun readAccount(wire: WireObject) =
    ClientAccount(
        CustomerId(wire.string("name")),
        wire.strings("api_keys").toSet(),
        wire.optionalInteger("priority")?.toInt(),
    )
