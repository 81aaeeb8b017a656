/*
 * Tests the findings, the output and the exit status of the `check-configuration` command.
 */
package org.primrosesill.command

import com.github.ajalt.clikt.testing.test
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import java.nio.file.Path
import kotlin.io.path.writeText

private const val CONFIGURATION =
    """{"version":7,"routes":[
    {"name":"r1","host":"H.example","path_prefix":"/a/","type":"stream","timeout_ms":5000,"target_latency_ms":800,
     "priority":1,"backends":[{"service":"s","weight":90},{"service":"t","weight":10}],"attempts":1,"anonymous":false,
     "gap_target_ms":400},
    {"name":"r2","host":"h.example","path_prefix":"/b/","type":"unsafe","timeout_ms":1000,"target_latency_ms":100,
     "priority":2,"service":"t","attempts":1,"anonymous":true}],
    "services":[{"name":"s","health_path":"/h","max_conns":480,"warmup_s":3.0,"warmup_per_s":10.0},
     {"name":"t","health_path":"/h","max_conns":96,"warmup_s":0.0,"warmup_per_s":0.0}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4096,"header_timeout_ms":3000,"idle_timeout_ms":15000},
    "tenants":[{"name":"c","api_keys":["secret-1","secret-2"],"priority":1},{"name":"d","api_keys":["secret-3"]}]}"""

class CheckConfigurationCommandTest {
    private class Case(val found: String, val replacement: String, vararg val expected: String)

    // Guards against a fault that is not found, a fault reported for a valid entry, and keys in the output.
    @TestFactory
    fun `findings in a configuration`(): List<DynamicTest> =
        listOf(
            Case("""H.example""", "H.EXAMPLE"),
            Case(
                "\"version\":7",
                "\"version\":\"7\"",
                "error: configuration.version: found \"7\", expected an integer",
            ),
            Case("{\"version\":7", "[", "error: configuration: found text that is not JSON"),
            Case(
                "\"secret-1\"",
                "17171",
                "error: configuration.tenants[0].api_keys: found a value that is not shown, expected an array of strings",
            ),
            Case("\"service\":\"t\",\"att", "\"service\":\"u\",\"att", "error: route r2: target u names no service"),
            Case(
                "90},{\"service\":\"t\",\"weight\":10",
                "0},{\"service\":\"t\",\"weight\":0",
                "error: route r1: weights of the targets sum to zero",
            ),
            Case("\"weight\":10", "\"weight\":-1", "error: route r1: weight -1 of target t is negative"),
            Case(
                "/b/",
                "/a/",
                "error: route r2: host and path prefix are those of route r1: h.example/a/",
                "never matches: route r1: hidden by route r2 with the same host and path prefix",
            ),
            Case("/b/", "/b", "error: route r2: path prefix '/b' does not begin and end with a slash"),
            Case("/b/", "b/", "error: route r2: path prefix 'b/' does not begin and end with a slash"),
            Case("\"priority\":2", "\"priority\":10", "error: route r2: priority 10 is outside 0 to 9"),
            Case("1},{\"name\":\"d", "-1},{\"name\":\"d", "error: account c: priority -1 is outside 0 to 9"),
            Case("secret-3", "secret-1", "error: account d: 1 of its keys also held by account c"),
            Case(
                "H.example",
                "h.example:80",
                "never matches: route r1: requests are matched by the host without its port and white space, " +
                    "found 'h.example:80'",
            ),
            Case("\"service\":\"s\"", "\"service\":\"t\"", "never matches: service s: no route names it"),
            Case("\"name\":\"s\"", "\"name\":\"t\"", "error: route r1: target s names no service", T_TWICE),
            Case("\"secret-3\"", "", "never matches: account d: it has no keys"),
            Case(
                "cy_ms\":100",
                "cy_ms\":1001",
                "contradiction: route r2: target latency 1.001s exceeds the timeout 1s",
            ),
            Case("\"gap_target_ms\":400", "\"gap_target_ms\":5001", INTERVAL_OVER_TIMEOUT),
            Case(
                "\"attempts\":1,\"anonymous\":false",
                "\"attempts\":2,\"anonymous\":false",
                "contradiction: route r1: 2 attempts, but a request may run at most once",
            ),
            Case("\"attempts\":1,\"anonymous\":false", "\"attempts\":2,\"anonymous\":false,\"resumable\":true"),
            Case(
                "\"warmup_s\":3.0",
                "\"warmup_s\":0",
                "contradiction: service s: cold-start rate 10.0 per second without a duration is ignored",
            ),
        ).map { case ->
            dynamicTest("${case.found} -> ${case.replacement}") {
                val findings = configurationFindings(replaced(case), current = null).map { it.toString() }
                expectThat(findings.map { it.substringBefore(" (") }).isEqualTo(case.expected.toList())
            }
        }

    // Guards against a change that is not listed, unchanged entries that are, and keys in the output.
    @TestFactory
    fun `differences from the version in force`(): List<DynamicTest> =
        listOf(
            Case("\"version\":7", "\"version\":8", "version: 7 -> 8"),
            Case("\"version\":7", "\"version\":7", SAME_VERSION),
            Case("\"max_conns\":96", "\"max_conns\":97", SAME_VERSION, "service t: changed: max_conns 96 -> 97"),
            Case("\"name\":\"r2\"", "\"name\":\"r3\"", SAME_VERSION, "route r2: removed", "route r3: added"),
            Case(
                "\"weight\":90",
                "\"weight\":80",
                SAME_VERSION,
                "route r1: changed: targets [s=90, t=10] -> [s=80, t=10]",
            ),
            Case("4096", "8192", SAME_VERSION, "limits: changed: max_body_bytes 4096 -> 8192"),
            Case("\"secret-1\"", "\"secret-4\"", SAME_VERSION, "account c: changed: keys 1 added, 1 removed"),
            Case("\"name\":\"d\"", "\"name\":\"e\"", SAME_VERSION, "account d: removed", "account e: added"),
            Case(
                "\"tenants\"",
                "\"unknown\"",
                SAME_VERSION,
                "accounts: credentials are no longer required",
                "account c: removed",
                "account d: removed",
            ),
        ).map { case ->
            dynamicTest("${case.found} -> ${case.replacement}") {
                val findings = configurationFindings(replaced(case), CONFIGURATION).map { it.toString() }
                expectThat(findings).isEqualTo(case.expected.map { "difference: $it" })
            }
        }

    private class CommandCase(
        val name: String,
        val proposed: String?,
        val current: String?,
        val expectedStatus: Int,
        val expectedOutput: String,
    )

    // Guards against an exit status by which a script would publish a configuration with errors.
    @TestFactory
    fun `exit status`(
        @TempDir directory: Path,
    ): List<DynamicTest> =
        listOf(
            CommandCase("valid", CONFIGURATION, null, 0, "error: 0, never matches: 0, contradiction: 0, difference: 0"),
            CommandCase("with an error", "{}", null, 1, "error: configuration.routes: found nothing"),
            CommandCase("equal to the version in force", CONFIGURATION, CONFIGURATION, 0, SAME_VERSION),
            CommandCase("version in force not decodable", CONFIGURATION, "{}", 1, "version in force: configuration.r"),
            CommandCase("missing", null, null, 2, "file-not-readable"),
        ).mapIndexed { index, case ->
            dynamicTest(case.name) {
                val proposed = directory.resolve("proposed-$index.json")
                val current = directory.resolve("current-$index.json")
                case.proposed?.let(proposed::writeText)
                case.current?.let(current::writeText)
                val environment =
                    if (case.current == null) emptyMap() else mapOf(CURRENT_VARIABLE to current.toString())
                val result = rootCommand().test(listOf("check-configuration", "$proposed"), envvars = environment)
                expectThat(result.output).contains(case.expectedOutput)
                expectThat(result.statusCode).isEqualTo(case.expectedStatus)
            }
        }

    // Guards against a key in an error that quotes the value found.
    @Test
    fun `no finding contains a key`() {
        val values =
            listOf(
                CONFIGURATION.replace("[\"secret-1\",\"secret-2\"]", "\"secret-1\""),
                CONFIGURATION.replace("{\"name\":\"d\",\"api_keys\":[\"secret-3\"]}", "\"secret-3\""),
                CONFIGURATION.replace("[{\"name\":\"c\"", "{\"name\":\"c\"").replace("}]}", "}}"),
                CONFIGURATION.replace("\"secret-3\"", "\"secret-3"),
                CONFIGURATION.replace("secret-3", "secret-1"),
            )
        val findings =
            values.flatMap {
                configurationFindings(it, CONFIGURATION) +
                    configurationFindings(CONFIGURATION, it)
            }
        expectThat(findings.filter { "secret" in it.toString() }).isEmpty()
    }

    private fun replaced(case: Case): String {
        expectThat(CONFIGURATION).contains(case.found)
        return CONFIGURATION.replace(case.found, case.replacement)
    }

    private companion object {
        const val CURRENT_VARIABLE = "PRIMROSESILL_CHECK_CONFIGURATION_CURRENT"
        const val SAME_VERSION = "version: 7 is not higher than 7, the version in force"
        const val T_TWICE = "never matches: service t: listed 2 times, only the last entry is used"
        const val INTERVAL_OVER_TIMEOUT = "contradiction: route r1: event interval 5.001s exceeds the timeout 5s"
    }
}
