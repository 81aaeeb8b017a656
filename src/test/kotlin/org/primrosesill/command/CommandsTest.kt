/*
 * Contract of the command line: what each command prints and how it ends.
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
        val status: Int,
        val prints: String,
        val environment: Map<String, String> = emptyMap(),
    )

    private val taken = ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))
    private val engine = "stand-in engine --id e1 --address"
    private val service = "stand-in service --id s1"
    private val serviceAddress = "PRIMROSESILL_STAND_IN_SERVICE_ADDRESS"

    // Guards against a stack trace, an unclear message or a zero exit status after a wrong flag or a port in use.
    @TestFactory
    fun `command line`(): List<DynamicTest> =
        listOf(
            Case("an unknown flag is named", "$engine 127.0.0.1:0 --bogus", 1, "no such option --bogus"),
            Case("a missing option is named", "stand-in engine --id e1", 1, "missing option --address"),
            Case("a host name is no address", "$engine localhost:80", 1, "'localhost:80' is not an address"),
            Case("a number out of bounds is named", "$engine 127.0.0.1:0 --bears -1", 1, "--bears"),
            Case(
                "a port in use is a typed failure",
                "$engine 127.0.0.1:${taken.localPort}",
                2,
                "address-not-usable: cannot listen on 127.0.0.1:${taken.localPort}",
            ),
            Case(
                "an option is read from the environment",
                service,
                2,
                "address-not-usable",
                mapOf(serviceAddress to "127.0.0.1:${taken.localPort}"),
            ),
            Case("a missing file is named", "stand-in platform --address 127.0.0.1:0 --vms none.json", 1, "none.json"),
            Case("a router that is down is a failure", "status --router 127.0.0.1:1", 1, "router-unreachable"),
            Case(
                "a repeated option is read from one variable",
                "status",
                1,
                "127.0.0.1:2",
                mapOf("PRIMROSESILL_STATUS_ROUTER" to "127.0.0.1:1,127.0.0.1:2"),
            ),
            Case("an offset without a number is named", "timeline pom.xml --offset p", 1, "process=millis"),
            Case("an event log that is missing is a typed failure", "timeline none.jsonl", 2, "file-not-readable"),
            Case("a router that is down shows in JSON", "status --json --router 127.0.0.1:1", 1, "\"failure\""),
        ).map { DynamicTest.dynamicTest(it.name) { check(it) } }

    private fun check(case: Case) {
        val result = rootCommand().test(case.arguments, envvars = case.environment)
        expectThat(result.output).contains(case.prints)
        expectThat(result.statusCode).isEqualTo(case.status)
    }

    // Guards against a status that hides why something is out of service, or that routers disagree about it.
    @TestFactory
    fun `status tables`(): List<DynamicTest> {
        val first = status("r1", outOfService = true, load = 3)
        val second = status("r2", outOfService = false, load = 5)
        val lines =
            renderStatus(
                listOf(
                    StatusAnswer(SocketAddress("127.0.0.1", 1), first),
                    StatusAnswer(SocketAddress("127.0.0.1", 2), second),
                    StatusAnswer(SocketAddress("127.0.0.1", 3), null, "router-timed-out: no answer"),
                ),
            ).lines().map { it.trim().replace(Regex("\\s+"), " ") }
        return mapOf(
            "a zone that one router sees out of service" to "a main out of service flood 1 of 2",
            "the same zone that another router sees in service" to "a main in service 1 of 2",
            "a VM out of service that both see" to "v9 2 of 2",
            "why an upstream gets no work, with its highest load" to "e1 a cold no zone a is out 5 2 of 2",
            "a router that did not answer" to "127.0.0.1:3 router-timed-out: no answer",
            "control characters of a router are not printed" to "127.0.0.1:1 r1 [2J a live yes 7 0 0",
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
