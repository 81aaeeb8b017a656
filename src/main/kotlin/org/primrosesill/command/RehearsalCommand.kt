/*
 * The command that starts two gateways on loopback, waits until they have exchanged messages, sends requests to one of
 * them and exits. The build runs it to record a class data sharing archive with the classes that a gateway loads, which
 * shortens the start of each process.
 */
package org.primrosesill.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.parse
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.primrosesill.concurrent.ExceptionReporter
import org.primrosesill.contract.GatewaySettingsValidator
import org.primrosesill.event.boundedEventLog
import org.primrosesill.gateway.startGateway
import org.primrosesill.generated.GatewaySettings
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.HeaderFields
import org.primrosesill.model.UpstreamId
import org.primrosesill.platform.REHEARSAL_TARGET
import org.primrosesill.platform.rehearsalPlatform
import org.primrosesill.platform.rehearsalRequestFields
import org.primrosesill.platform.rehearsalUpstream
import org.primrosesill.platform.usersPlatformAdapter
import org.primrosesill.request.BodyPart
import org.primrosesill.request.ConnectionUse
import org.primrosesill.request.ExchangeResult
import org.primrosesill.request.UpstreamCall
import org.primrosesill.request.UpstreamClient
import org.primrosesill.transport.ListenerLimits
import org.primrosesill.transport.TrafficLoop
import org.primrosesill.transport.nettyUpstreamClient
import org.primrosesill.transport.startHttpListener
import java.net.InetAddress
import java.net.ServerSocket
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class RehearsalCommand : CliktCommand("rehearse") {
    override fun help(context: Context): String = "Serve requests on loopback and exit, to record the class archive."

    override fun run() {
        val statuses = runBlocking { rehearse() }
        echo("answers: $statuses")
        if (statuses.any { it != 200 }) throw ProgramResult(1)
    }

    private suspend fun rehearse(): List<Int> {
        val loop = TrafficLoop(ExceptionReporter { commandFailed("rehearsal: uncaught exception: $it") })
        val upstream = startHttpListener(loop, "127.0.0.1:0", ::ListenerLimits, rehearsalUpstream())
        val client = nettyUpstreamClient(loop)
        // Also loads the classes of the store client. The address has no listener, so the call takes the error path.
        usersPlatformAdapter().feed(freeAddress(), client).list()
        loadOptionClasses()
        val settings = settings(peer = null)
        val events =
            boundedEventLog("rehearsal", AvailabilityZoneId("a"), System.out, System::currentTimeMillis)
        val gateway = startGateway(settings, rehearsalPlatform("127.0.0.1:${upstream.port}"), events)
        // Gossip uses the same port on all machines, so a second gateway on this machine needs another IP address.
        val second = startGateway(settings(peer = settings), rehearsalPlatform("127.0.0.1:${upstream.port}"), events)
        delay(PEER_EXCHANGE_WAIT)
        val statuses = List(REQUEST_COUNT) { send(client, settings.callerAddress, if (it % 2 == 0) "POST" else "GET") }
        send(client, settings.readinessAddress, "GET")
        second.close()
        gateway.stop()
        events.flush(1_000)
        loop.close()
        return statuses
    }

    /** Loads the classes that parse the options of a gateway. The settings file does not exist, so the command ends. */
    private fun loadOptionClasses() {
        try {
            rootCommand(GATEWAY_COMMAND).parse(listOf(GATEWAY_COMMAND, "--settings=/dev/null/settings"))
        } catch (error: CliktError) {
            echo("gateway options parsed; the command failed as expected: ${error.message}")
        }
    }

    private fun settings(peer: GatewaySettings?): GatewaySettings {
        val address = if (peer == null) FIRST_ADDRESS else SECOND_ADDRESS
        val peers = listOfNotNull(peer?.peerAddress).joinToString { "\"$it\"" }
        return GatewaySettingsValidator
            .validate(
                """{"name":"rehearsal","availabilityZone":"a","callerAddress":"${freeAddress(address)}",
                "readinessAddress":"${freeAddress(address)}","peerAddress":"${freeAddress(address)}",
                "metricsAddress":"${freeAddress(address)}","gossipPort":${peer?.gossipPort ?: freePort(address)},
                "platformAddress":"${freeAddress(address)}","peers":[$peers]}""",
            ).fold({ commandFailed(it.joinToString()) }, { it })
    }

    private suspend fun send(client: UpstreamClient, address: String, method: String): Int {
        val fields = rehearsalRequestFields()
        val call =
            UpstreamCall(
                upstream = UpstreamId(address),
                address = address,
                method = method,
                path = REHEARSAL_TARGET,
                requestId = "",
                headers = HeaderFields(fields.filterNot { it.hasName("Host") }),
                body = if (method == "POST") ByteArray(1_000) else null,
                timeout = 5.seconds,
                host = fields["Host"].orEmpty(),
                connection = ConnectionUse.Pooled(1.seconds),
            )
        val result =
            client.exchange(call) { response ->
                while (response.body.next() is BodyPart.Bytes) Unit
                response.status
            }
        return (result as? ExchangeResult.Responded)?.value ?: 0
    }

    private companion object {
        const val REQUEST_COUNT = 200
        const val GATEWAY_COMMAND = "gateway"
        const val FIRST_ADDRESS = "127.0.0.1"
        const val SECOND_ADDRESS = "127.0.0.2"

        /** Covers several rounds of the exchange between the gateways. */
        val PEER_EXCHANGE_WAIT = 2_000.milliseconds
    }
}

/** Returns a loopback address with a port that is free at the time of the call. */
private fun freeAddress(address: String = "127.0.0.1"): String = "$address:${freePort(address)}"

private fun freePort(address: String): Int = ServerSocket(0, 1, InetAddress.getByName(address)).use { it.localPort }
