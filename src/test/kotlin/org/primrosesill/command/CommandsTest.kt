/*
 * Tests the output and the exit status of commands.
 */
package org.primrosesill.command

import com.github.ajalt.clikt.testing.test
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.generated.AvailabilityZoneSettings
import org.primrosesill.generated.Member
import org.primrosesill.generated.MemberState
import org.primrosesill.generated.RouterStatus
import org.primrosesill.generated.UpstreamState
import org.primrosesill.generated.UpstreamStatus
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.RouterId
import org.primrosesill.model.SocketAddress
import org.primrosesill.model.UpstreamId
import org.primrosesill.model.VmId
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.net.InetAddress
import java.net.ServerSocket

class CommandsTest {
    private class Case(
        val name: String,
        val arguments: String,
        val expectedStatus: Int,
        val expectedOutput: String,
        val environment: Map<String, String> = emptyMap(),
    )

    private val socketInUse = ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))
    private val engine = "stand-in engine --id e1 --address"
    private val service = "stand-in service --id s1"
    private val serviceAddress = "PRIMROSESILL_STAND_IN_SERVICE_ADDRESS"

    // Guards against a stack trace, an unspecific message or exit status 0 for an invalid option or a port in use.
    @TestFactory
    fun `command line`(): List<DynamicTest> =
        listOf(
            Case("reports an unknown option by name", "$engine 127.0.0.1:0 --bogus", 1, "no such option --bogus"),
            Case("reports a missing option by name", "stand-in engine --id e1", 1, "missing option --address"),
            Case("rejects a host name as an address", "$engine localhost:80", 1, "'localhost:80' is not an address"),
            Case("reports an option whose number is out of bounds", "$engine 127.0.0.1:0 --bears -1", 1, "--bears"),
            Case(
                "reports a port in use with the failure type",
                "$engine 127.0.0.1:${socketInUse.localPort}",
                2,
                "address-not-usable: cannot listen on 127.0.0.1:${socketInUse.localPort}",
            ),
            Case(
                "reads an option from the environment",
                service,
                2,
                "address-not-usable",
                mapOf(serviceAddress to "127.0.0.1:${socketInUse.localPort}"),
            ),
            Case("reports a missing file", "stand-in platform --address 127.0.0.1:0 --vms none.json", 1, "none.json"),
            Case("reports a router that is down", "status --router 127.0.0.1:1", 1, "router-unreachable"),
            Case(
                "reads the values of a repeated option from one variable",
                "status",
                1,
                "127.0.0.1:2",
                mapOf("PRIMROSESILL_STATUS_ROUTER" to "127.0.0.1:1,127.0.0.1:2"),
            ),
            Case("rejects an offset without a number", "timeline pom.xml --offset p", 1, "process=millis"),
            Case("reports a missing event log with the failure type", "timeline none.jsonl", 2, "file-not-readable"),
            Case("reports a router that is down in JSON", "status --json --router 127.0.0.1:1", 1, "\"failure\""),
        ).map { DynamicTest.dynamicTest(it.name) { check(it) } }

    private fun check(case: Case) {
        val result = rootCommand().test(case.arguments, envvars = case.environment)
        expectThat(result.output).contains(case.expectedOutput)
        expectThat(result.statusCode).isEqualTo(case.expectedStatus)
    }

    // Guards against tables that omit why something is out of service, or that routers report it differently.
    @TestFactory
    fun `status tables`(): List<DynamicTest> {
        val first = status("r1", outOfService = true, load = 3)
        val second = status("r2", outOfService = false, load = 5)
        val lines =
            renderStatus(
                listOf(
                    StatusResult(SocketAddress("127.0.0.1", 1), first),
                    StatusResult(SocketAddress("127.0.0.1", 2), second),
                    StatusResult(SocketAddress("127.0.0.1", 3), null, "router-timed-out: no answer"),
                ),
            ).lines().map { it.trim().replace(Regex("\\s+"), " ") }
        return mapOf(
            "a zone that one router reports as out of service" to "a main out of service flood 1 of 2",
            "the same zone that another router reports as in service" to "a main in service 1 of 2",
            "a VM that both routers report as out of service" to "v9 2 of 2",
            "why an upstream is not eligible, with its highest load" to "e1 a cold no zone a is out 5 2 of 2",
            "a router that did not respond" to "127.0.0.1:3 router-timed-out: no answer",
            "a router id without its control characters" to "127.0.0.1:1 r1 [2J a live yes 7 0 0",
        ).map { (name, line) -> DynamicTest.dynamicTest(name) { expectThat(lines).contains(line) } }
    }

    private fun status(router: String, outOfService: Boolean, load: Int): RouterStatus {
        val zone = AvailabilityZoneId("a")
        return RouterStatus(
            member = Member(RouterId("$router\u001b[2J"), "127.0.0.1:1", zone, 0, 1, MemberState.LIVE),
            ready = true,
            configurationRevision = 7,
            availabilityZones =
                listOf(
                    AvailabilityZoneSettings(zone, "main", outOfService, if (outOfService) "flood" else ""),
                ),
            outOfServiceVms = listOf(VmId("v9")),
            upstreams =
                listOf(
                    UpstreamStatus(
                        UpstreamId("e1"),
                        zone,
                        UpstreamState.COLD,
                        false,
                        emptyList(),
                        load,
                        "zone a is out",
                    ),
                ),
        )
    }
}
