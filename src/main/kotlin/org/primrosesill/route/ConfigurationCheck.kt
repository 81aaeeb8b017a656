/*
 * Checks of a configuration before it is published: errors, entries that can never match, and limits that contradict
 * each other. No finding contains a key of an account.
 */
package org.primrosesill.route

/** What a finding means for the operator. Only [ERROR] prevents the publication. */
internal enum class FindingKind(val label: String) {
    ERROR("error"),
    NEVER_MATCHES("never matches"),
    CONTRADICTION("contradiction"),
    DIFFERENCE("difference"),
}

/** One finding: the entry that it concerns, for example `route chat`, and its description. */
internal data class ConfigurationFinding(val kind: FindingKind, val place: String, val description: String) {
    override fun toString(): String = "${kind.label}: $place: $description"
}

/** Returns all findings in [configuration], errors first. */
internal fun checkConfiguration(configuration: ServingConfiguration): List<ConfigurationFinding> =
    (
        routeErrors(configuration) + duplicateRoutes(configuration.routes.routes) + accountErrors(configuration) +
            hiddenRoutes(configuration.routes.routes) + unusedEntries(configuration) +
            contradictions(configuration.routes.routes)
    ).sortedBy { it.kind }

private val priorities = 0..9

private fun routeErrors(configuration: ServingConfiguration) =
    configuration.routes.routes.flatMap { route ->
        val errors = ArrayList<String>()
        for (target in route.targets) {
            if (target.pool !in configuration.pools) errors += "target ${target.pool} names no service"
            if (target.weight < 0) errors += "weight ${target.weight} of target ${target.pool} is negative"
        }
        if (route.targets.sumOf { it.weight.toLong() } == 0L) errors += "weights of the targets sum to zero"
        if (!route.pathPrefix.startsWith('/') || !route.pathPrefix.endsWith('/')) {
            errors += "path prefix '${route.pathPrefix}' does not begin and end with a slash"
        }
        if (route.priority !in priorities) errors += priorityError(route.priority)
        errors.map { ConfigurationFinding(FindingKind.ERROR, place(route), it) }
    }

private fun duplicateRoutes(routes: List<Route>) =
    routesByLocation(routes).flatMap { sameLocation ->
        sameLocation.drop(1).map {
            val description = "host and path prefix are those of ${place(sameLocation.first())}: ${location(it)}"
            ConfigurationFinding(FindingKind.ERROR, place(it), description)
        }
    }

private fun accountErrors(configuration: ServingConfiguration): List<ConfigurationFinding> {
    val accounts = configuration.accounts.orEmpty()
    val findings = ArrayList<ConfigurationFinding>()
    val holders = HashMap<String, ClientAccount>()
    for (account in accounts) {
        if (account.priority != null && account.priority !in priorities) {
            findings += ConfigurationFinding(FindingKind.ERROR, place(account), priorityError(account.priority))
        }
        val earlierHolders = account.credentials.mapNotNull { holders.putIfAbsent(it, account) }
        for ((holder, keys) in earlierHolders.groupingBy { it }.eachCount()) {
            val description = "$keys of its keys also held by ${place(holder)}"
            findings += ConfigurationFinding(FindingKind.ERROR, place(account), description)
        }
    }
    return findings
}

/** Of several routes with the same host and path prefix, the table finds the last. */
private fun hiddenRoutes(routes: List<Route>) =
    routesByLocation(routes).flatMap { sameLocation ->
        sameLocation.dropLast(1).map {
            val description = "hidden by ${place(sameLocation.last())} with the same host and path prefix"
            ConfigurationFinding(FindingKind.NEVER_MATCHES, place(it), description)
        }
    }

private fun unusedEntries(configuration: ServingConfiguration): List<ConfigurationFinding> {
    val routes = configuration.routes.routes
    val namedPools = routes.flatMapTo(HashSet()) { route -> route.targets.map { it.pool } }
    val unmatchableHosts =
        routes.filter { normalizedHost(it.host) != it.host }.map {
            place(it) to "requests are matched by the host without its port and white space, found '${it.host}'"
        }
    val unusedPools = (configuration.pools.keys - namedPools).map { "service $it" to "no route names it" }
    val accountsWithoutKeys =
        configuration.accounts
            .orEmpty()
            .filter { it.credentials.isEmpty() }
            .map { place(it) to "it has no keys" }
    return (unmatchableHosts + unusedPools + accountsWithoutKeys).map { (place, description) ->
        ConfigurationFinding(FindingKind.NEVER_MATCHES, place, description)
    }
}

private fun contradictions(routes: List<Route>) =
    routes.flatMap { route ->
        val contradictions = ArrayList<String>()
        if (route.latencyTarget > route.timeout) {
            contradictions += "target latency ${route.latencyTarget} exceeds the timeout ${route.timeout}"
        }
        if (route.eventIntervalTarget != null && route.eventIntervalTarget > route.timeout) {
            contradictions += "event interval ${route.eventIntervalTarget} exceeds the timeout ${route.timeout}"
        }
        if (route.maximumAttempts > 1 && !route.idempotent) {
            contradictions += "${route.maximumAttempts} attempts, but a request may run at most once"
        }
        contradictions.map { ConfigurationFinding(FindingKind.CONTRADICTION, place(route), it) }
    }

private fun routesByLocation(routes: List<Route>) = routes.groupBy { it.host to it.pathPrefix }.values

private fun priorityError(priority: Int) = "priority $priority is outside ${priorities.first} to ${priorities.last}"

private fun location(route: Route) = route.host + route.pathPrefix

private fun place(route: Route) = "route ${route.name}"

private fun place(account: ClientAccount) = "account ${account.customer}"
