/*
 * The command that starts a gateway on loopback, lets it serve a few requests and ends. The build runs it to record an
 * archive of the classes that a gateway needs, which shortens the start of each process.
 */
package org.primrosesill.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.primrosesill.contract.GatewaySettingsChecks
import org.primrosesill.event.boundedEventLog
import org.primrosesill.gateway.startGateway
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.model.HeaderFields
import org.primrosesill.model.UpstreamId
import org.primrosesill.platform.REHEARSAL_TARGET
import org.primrosesill.platform.rehearsalPlatform
import org.primrosesill.platform.rehearsalRequestFields
import org.primrosesill.platform.rehearsalUpstream
import org.primrosesill.platform.usersPlatform
import org.primrosesill.request.BodyPart
import org.primrosesill.request.ConnectionUse
import org.primrosesill.request.ExchangeResult
import org.primrosesill.request.UpstreamCall
import org.primrosesill.request.UpstreamClient
import org.primrosesill.transport.ListenerLimits
import org.primrosesill.transport.TrafficLoop
import org.primrosesill.transport.nettyUpstreamClient
import org.primrosesill.transport.startHttpListener
import java.net.ServerSocket
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal class RehearsalCommand : CliktCommand("rehearse") {
    override fun help(context: Context): String = "Serve a few requests on loopback and end, for the class archive."

    override fun run() {
        val statuses = runBlocking { rehearse() }
        echo("answers: $statuses")
        if (statuses.any { it != 200 }) throw ProgramResult(1)
    }

    private suspend fun rehearse(): List<Int> {
        val loop = TrafficLoop { commandFailed("rehearsal: $it") }
        val upstream = startHttpListener(loop, "127.0.0.1:0", ::ListenerLimits, rehearsalUpstream())
        val client = nettyUpstreamClient(loop)
        // The store's client is used as well: an address at which nobody listens gives its error path.
        usersPlatform().feed(freeAddress(), client).list()
        val settings = settings()
        val events =
            boundedEventLog("rehearsal", AvailabilityZoneId("a"), System.out, System::currentTimeMillis)
        val gateway = startGateway(settings, rehearsalPlatform("127.0.0.1:${upstream.port}"), events)
        delay(PUBLISHING)
        val statuses = List(REQUESTS) { send(client, settings.callerAddress, if (it % 2 == 0) "POST" else "GET") }
        send(client, settings.readinessAddress, "GET")
        gateway.stop()
        events.flush(1_000)
        loop.close()
        return statuses
    }

    private fun settings() =
        GatewaySettingsChecks
            .check(
                """{"name":"rehearsal","availabilityZone":"a","callerAddress":"${freeAddress()}",
                "readinessAddress":"${freeAddress()}","peerAddress":"${freeAddress()}",
                "metricsAddress":"${freeAddress()}","gossipPort":${freePort()},"platformAddress":"${freeAddress()}"}""",
            ).fold({ commandFailed(it.joinToString()) }, { it })

    private suspend fun send(client: UpstreamClient, address: String, method: String): Int {
        val fields = rehearsalRequestFields()
        val call =
            UpstreamCall(
                upstream = UpstreamId(address),
                address = address,
                method = method,
                path = REHEARSAL_TARGET,
                requestId = "",
                headers = HeaderFields(fields.filterNot { it.named("Host") }),
                body = if (method == "POST") ByteArray(1_000) else null,
                timeout = 5.seconds,
                host = fields["Host"].orEmpty(),
                connection = ConnectionUse.Kept(1.seconds),
            )
        val result =
            client.exchange(call) { answer ->
                while (answer.body.next() is BodyPart.Bytes) Unit
                answer.status
            }
        return (result as? ExchangeResult.Answered)?.value ?: 0
    }

    private companion object {
        const val REQUESTS = 200
        val PUBLISHING = 500.milliseconds
    }
}

/** An address on loopback that was free a moment ago. */
private fun freeAddress(): String = "127.0.0.1:${freePort()}"

private fun freePort(): Int = ServerSocket(0).use { it.localPort }
