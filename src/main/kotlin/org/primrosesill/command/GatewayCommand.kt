/*
 * The command that runs one gateway in the foreground until SIGTERM.
 */
package org.primrosesill.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import org.primrosesill.event.jsonEventLog
import org.primrosesill.forwarding.RetryBound
import org.primrosesill.gateway.GatewaySettings
import org.primrosesill.gateway.startGateway
import org.primrosesill.model.AvailabilityZoneId
import org.primrosesill.platform.usersPlatform

internal class GatewayCommand : CliktCommand("gateway") {
    private val availabilityZone by option("--availability-zone", help = "Zone of this VM.").required()
    private val caller by option("--caller-address").required()
    private val readiness by option("--readiness-address").required()
    private val peer by option("--peer-address").required()
    private val platform by option("--platform-address").required()
    private val ratio by option("--retry-ratio").double().default(0.2)
    private val window by option("--retry-window").long().default(10_000)
    private val fixed by option("--retry-fixed").int().default(10)

    override fun help(context: Context): String = "Run one gateway."

    override fun run() {
        val zone = AvailabilityZoneId(availabilityZone)
        val settings =
            GatewaySettings(
                zone,
                caller,
                readiness,
                peer,
                platform,
                emptyList(),
                RetryBound(ratio, window, fixed),
                7_000,
            )
        val events = jsonEventLog(caller, zone, System.out, System::currentTimeMillis)
        val gateway = startGateway(settings, usersPlatform(), events)
        Runtime.getRuntime().addShutdownHook(Thread { gateway.stop() })
        Thread.currentThread().join()
    }
}
