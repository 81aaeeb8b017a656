/*
 * The differences between two versions of a configuration, by the names of their entries. Keys of accounts are only
 * counted.
 */
package org.primrosesill.route

/** Returns what [proposed] adds, removes and changes relative to [current]. The order of entries is not compared. */
internal fun configurationDifference(
    current: ServingConfiguration,
    proposed: ServingConfiguration,
): List<ConfigurationFinding> =
    versionDifference(current.version, proposed.version) +
        differences("route", current.routes.routes, proposed.routes.routes, Route::name) { old, new ->
            changedFields(old, new, routeFields)
        } +
        differences("service", current.pools.values, proposed.pools.values, { it.id.value }) { old, new ->
            changedFields(old, new, poolFields)
        } +
        changedFields(current.limits, proposed.limits, limitFields).map { difference("limits", "changed: $it") } +
        accountDifferences(current.accounts, proposed.accounts)

private val routeFields: Map<String, (Route) -> Any?> =
    mapOf(
        "host" to Route::host,
        "path_prefix" to Route::pathPrefix,
        "type" to Route::kind,
        "timeout_ms" to { it.timeout.inWholeMilliseconds },
        "target_latency_ms" to { it.latencyTarget.inWholeMilliseconds },
        "priority" to Route::priority,
        "targets" to { route -> route.targets.map { "${it.pool}=${it.weight}" } },
        "attempts" to Route::maximumAttempts,
        "anonymous" to Route::anonymous,
        "affinity" to Route::promptCached,
        "resumable" to Route::resumable,
        "gap_target_ms" to { it.eventIntervalTarget?.inWholeMilliseconds },
    )

private val poolFields: Map<String, (PoolDefinition) -> Any?> =
    mapOf(
        "health_path" to PoolDefinition::healthPath,
        "max_conns" to PoolDefinition::maximumConnections,
        "warmup_s" to { it.coldStart?.duration },
        "warmup_per_s" to { it.coldStart?.requestsPerSecond },
        "max_batch" to { it.engine?.slots },
        "kv_capacity" to { it.engine?.kvCacheTokens },
    )

private val limitFields: Map<String, (CallerLimits) -> Any?> =
    mapOf(
        "max_header_bytes" to CallerLimits::maximumHeaderBytes,
        "max_body_bytes" to CallerLimits::maximumBodyBytes,
        "header_timeout_ms" to { it.headerTimeout.inWholeMilliseconds },
        "idle_timeout_ms" to { it.idleTimeout.inWholeMilliseconds },
    )

private fun versionDifference(current: Long, proposed: Long) =
    if (proposed > current) {
        listOf(difference("version", "$current -> $proposed"))
    } else {
        listOf(difference("version", "$proposed is not higher than $current, the version in force"))
    }

private fun accountDifferences(
    current: List<ClientAccount>?,
    proposed: List<ClientAccount>?,
): List<ConfigurationFinding> {
    val requirement =
        when {
            current == null && proposed != null -> listOf(difference("accounts", "credentials become required"))
            current != null && proposed == null -> listOf(difference("accounts", "credentials are no longer required"))
            else -> emptyList()
        }
    return requirement +
        differences("account", current.orEmpty(), proposed.orEmpty(), { it.customer.value }) { old, new ->
            changedFields(old, new, mapOf("priority" to ClientAccount::priority)) + keyChanges(old, new)
        }
}

private fun keyChanges(old: ClientAccount, new: ClientAccount): List<String> {
    val added = (new.credentials - old.credentials).size
    val removed = (old.credentials - new.credentials).size
    return if (added + removed == 0) emptyList() else listOf("keys $added added, $removed removed")
}

/** Returns the entries that were added, removed and changed. Entries of the same name are compared in their order. */
private fun <T : Any> differences(
    type: String,
    current: Collection<T>,
    proposed: Collection<T>,
    name: (T) -> String,
    changes: (T, T) -> List<String>,
): List<ConfigurationFinding> {
    val old = current.groupBy(name)
    val new = proposed.groupBy(name)
    return (old.keys + new.keys).flatMap { key ->
        val before = old[key].orEmpty()
        val after = new[key].orEmpty()
        val changed = before.zip(after, changes).filter { it.isNotEmpty() }.map { "changed: ${it.joinToString()}" }
        val removed = List((before.size - after.size).coerceAtLeast(0)) { "removed" }
        val added = List((after.size - before.size).coerceAtLeast(0)) { "added" }
        (removed + added + changed).map { difference("$type $key", it) }
    }
}

private fun <T> changedFields(old: T, new: T, fields: Map<String, (T) -> Any?>): List<String> =
    fields.filterValues { it(old) != it(new) }.map { (name, value) -> "$name ${value(old)} -> ${value(new)}" }

private fun difference(place: String, description: String) =
    ConfigurationFinding(FindingKind.DIFFERENCE, place, description)
