/*
 * The `check-configuration` command: checks a configuration of the platform's store before it is published, and
 * compares it with the version in force.
 */
package org.primrosesill.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import org.primrosesill.event.printable
import org.primrosesill.platform.checkStoredConfiguration
import org.primrosesill.route.ConfigurationFinding
import org.primrosesill.route.FindingKind
import org.primrosesill.route.configurationDifference
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText

/**
 * Exits with status 1 if the configuration has an error or the version in force cannot be decoded, with 2 if a file
 * cannot be read, and with 0 otherwise.
 */
internal class CheckConfigurationCommand : CliktCommand("check-configuration") {
    private val file by argument("FILE", help = "Configuration value in JSON, as the store publishes it.").path()
    private val current by option("--current", help = "Configuration value in force, to compare with.").path()

    override fun help(context: Context): String = "Check a configuration of the platform before it is published."

    override fun run() {
        val findings = configurationFindings(readValue(file), current?.let(::readValue))
        findings.forEach { echo(printable(it.toString())) }
        val counts = FindingKind.entries.associateWith { kind -> findings.count { it.kind == kind } }
        echo(counts.entries.joinToString { (kind, count) -> "${kind.label}: $count" })
        if (counts.getValue(FindingKind.ERROR) > 0) throw ProgramResult(1)
    }
}

/** Returns the findings in the configuration value [proposed], and its differences from [current]. */
internal fun configurationFindings(proposed: String, current: String?): List<ConfigurationFinding> {
    val checked = checkStoredConfiguration(proposed)
    if (current == null) return checked.findings
    val inForce = checkStoredConfiguration(current)
    if (inForce.configuration == null) {
        return checked.findings + inForce.findings.map { it.copy(place = "version in force: ${it.place}") }
    }
    val configuration = checked.configuration ?: return checked.findings
    return checked.findings + configurationDifference(inForce.configuration, configuration)
}

private fun readValue(file: Path): String =
    try {
        file.readText()
    } catch (exception: IOException) {
        commandFailed("file-not-readable: $file cannot be read: ${exception::class.simpleName}")
    }
