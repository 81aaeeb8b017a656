/*
 * Finds the route of a request: the one with its host and the longest prefix of its path.
 */
package org.primrosesill.route

/** Immutable. */
public class RouteTable(public val routes: List<Route>) {
    private val byHost: Map<String, Map<String, Route>> =
        routes.groupBy { it.host }.mapValues { (_, ofHost) -> ofHost.associateBy { it.pathPrefix } }

    /** Returns the route for [host], as the Host field has it, and [path] without its query, or null. */
    public fun find(host: String?, path: String): Route? {
        val ofHost = byHost[hostName(host ?: return null)] ?: return null
        var end = path.lastIndexOf('/')
        while (end >= 0) {
            ofHost[path.substring(0, end + 1)]?.let { return it }
            end = if (end == 0) -1 else path.lastIndexOf('/', end - 1)
        }
        return null
    }
}

/** Returns the host of a Host field without its port, in lower case. */
internal fun hostName(host: String): String {
    val bare = host.trim().lowercase()
    if (bare.startsWith('[')) return bare.substringBefore(']') + "]"
    return bare.substringBefore(':')
}
