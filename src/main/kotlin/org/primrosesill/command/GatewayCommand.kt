/*
 * The command that runs one gateway in the foreground until SIGTERM. SIGHUP reloads its settings.
 */
package org.primrosesill.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import kotlinx.coroutines.runBlocking
import org.primrosesill.contract.GatewaySettingsValidator
import org.primrosesill.event.boundedEventLog
import org.primrosesill.gateway.Gateway
import org.primrosesill.gateway.startGateway
import org.primrosesill.platform.usersPlatformAdapter
import sun.misc.Signal
import java.io.FileDescriptor
import java.io.FileOutputStream
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText

internal class GatewayCommand : CliktCommand("gateway") {
    private val settingsFile by option("--settings", help = "JSON file with the settings of this gateway.")
        .path(canBeDir = false)
        .required()

    override fun help(context: Context): String = "Run one gateway on the users' platform."

    override fun run() {
        val text = readText(settingsFile) { commandFailed(it) }
        val settings =
            GatewaySettingsValidator
                .validate(
                    text,
                ).fold({ commandFailed("settings: ${it.joinToString("; ")}") }, { it })
        val output = FileOutputStream(FileDescriptor.out)
        val events = boundedEventLog(settings.name, settings.availabilityZone, output, System::currentTimeMillis)
        val gateway = runBlocking { startGateway(settings, usersPlatformAdapter(), events) }
        val shutdownHook =
            Thread {
                runBlocking { gateway.stop() }
                events.flush(EVENT_FLUSH_TIMEOUT_MILLIS)
            }
        Runtime.getRuntime().addShutdownHook(shutdownHook)
        // The default action of SIGHUP is to terminate the process.
        Signal.handle(Signal("HUP")) { reload(gateway) }
        Thread.currentThread().join()
    }

    private fun reload(gateway: Gateway) {
        gateway.reload(readText(settingsFile) { return gateway.reloadFailed(it) })
    }

    private inline fun readText(file: Path, onFailure: (String) -> Nothing): String =
        try {
            file.readText()
        } catch (exception: IOException) {
            onFailure("settings: cannot read $file: ${exception.message}")
        }

    private companion object {
        const val EVENT_FLUSH_TIMEOUT_MILLIS = 200L
    }
}
