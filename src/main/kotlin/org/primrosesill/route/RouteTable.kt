/*
 * Looks up the route of a request by its host and the longest matching path prefix.
 */
package org.primrosesill.route

/** Immutable. */
public class RouteTable(public val routes: List<Route>) {
    private val byHost: Map<String, Map<String, Route>> =
        routes.groupBy { it.host }.mapValues { (_, routesOfHost) -> routesOfHost.associateBy { it.pathPrefix } }

    /**
     * Returns the route for [host] and [path], or null if there is none.
     *
     * @param host value of the Host header, or null if the request has none
     * @param path path without the query
     */
    public fun find(host: String?, path: String): Route? {
        val byPrefix = byHost[normalizedHost(host ?: return null)] ?: return null
        var lastSlash = path.lastIndexOf('/')
        while (lastSlash >= 0) {
            byPrefix[path.substring(0, lastSlash + 1)]?.let { return it }
            lastSlash = if (lastSlash == 0) -1 else path.lastIndexOf('/', lastSlash - 1)
        }
        return null
    }
}

/** Returns the host of a Host header without its port, in lower case. */
internal fun normalizedHost(host: String): String {
    val lowercaseHost = host.trim().lowercase()
    if (lowercaseHost.startsWith('[')) return lowercaseHost.substringBefore(']') + "]"
    return lowercaseHost.substringBefore(':')
}
