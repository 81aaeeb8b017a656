/*
 * The `status` command: requests the status of one or more routers and prints it.
 */
package org.primrosesill.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.primrosesill.generated.RouterStatus
import org.primrosesill.http.OperatorClient
import org.primrosesill.model.SocketAddress
import kotlin.time.Duration.Companion.milliseconds

private val statusJson =
    Json {
        encodeDefaults = true
        explicitNulls = false
        prettyPrint = true
    }

@Serializable
private class StatusJson(val operatorAddress: String, val status: RouterStatus? = null, val failure: String? = null)

internal class StatusCommand : CliktCommand("status") {
    private val routers by addressOption("--router", "Operator addresses of routers, separated by commas or repeated.")
        .split(",")
        .multiple(required = true)
    private val token by option("--operator-token", help = "Bearer token of the operator listeners.").default("")
    private val timeout by option("--timeout", help = "Time limit for the response of each router.", metavar = "millis")
        .long()
        .restrictTo(min = 1)
        .default(3_000)
    private val json by option("--json", help = "Print JSON instead of tables.").flag()

    override fun help(context: Context): String =
        "Print zones, VMs, upstreams, configuration revision, members, and what is out of service and why."

    override fun helpEpilog(context: Context): String = "Exits with status 1 if a router did not respond."

    override fun run() {
        val results = runBlocking { fetchStatuses(routers.flatten()) }
        echo(if (json) statusJson.encodeToString(results.map(::statusJsonOf)) else renderStatus(results))
        if (results.any { it.status == null }) throw ProgramResult(1)
    }

    private suspend fun fetchStatuses(addresses: List<SocketAddress>): List<StatusResult> =
        OperatorClient(token, timeout.milliseconds).use { client ->
            coroutineScope {
                addresses
                    .map { address ->
                        async {
                            client.status(address).fold(
                                { StatusResult(address, null, "$it") },
                                { StatusResult(address, it) },
                            )
                        }
                    }.awaitAll()
            }
        }

    private fun statusJsonOf(result: StatusResult) =
        StatusJson("${result.address}", result.status, result.failure.takeIf(String::isNotEmpty))
}
