/*
 * The lookup of the route for a request.
 */
package org.primrosesill.route

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.forwarding.testRoute
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class RouteTableTest {
    private val table =
        RouteTable(
            listOf("/", "/a/", "/a/b/", "/a/b/c/d/").map { testRoute(it, RouteKind.IDEMPOTENT) } +
                testRoute("/only/", RouteKind.IDEMPOTENT).copy(host = "other.example"),
        )

    private class Case(val host: String?, val path: String, val expectedPrefix: String?)

    // Guards against a request that is sent to a service other than that of its route.
    @TestFactory
    fun `the route of the host with the longest matching prefix is returned`(): List<DynamicTest> =
        listOf(
            Case("h.example", "/a/b/c", "/a/b/"),
            Case("h.example", "/a/b/c/d/", "/a/b/c/d/"),
            Case("h.example", "/a/b", "/a/"),
            Case("h.example", "/a/bc/d", "/a/"),
            Case("h.example", "/x", "/"),
            Case("H.Example:8080", "/a/x", "/a/"),
            Case("other.example", "/only/x", "/only/"),
            Case("other.example", "/a/x", null),
            Case("unknown.example", "/a/x", null),
            Case(null, "/a/x", null),
        ).map { case ->
            dynamicTest("${case.host}${case.path}") {
                expectThat(table.find(case.host, case.path)?.pathPrefix).isEqualTo(case.expectedPrefix)
            }
        }
}
