/*
 * Checks a configuration value as the platform's store publishes it. Covers what the decoded configuration no longer
 * shows: values that cannot be decoded, services of the same name, and cold-start limits that decoding drops.
 */
package org.primrosesill.platform

import arrow.core.getOrElse
import org.primrosesill.discovery.segmentedText
import org.primrosesill.route.ConfigurationFinding
import org.primrosesill.route.FindingKind
import org.primrosesill.route.ServingConfiguration
import org.primrosesill.route.checkConfiguration

/** @property configuration null if the value cannot be decoded, which [findings] then explain */
internal class CheckedConfiguration(val configuration: ServingConfiguration?, val findings: List<ConfigurationFinding>)

/** Decodes and checks the configuration value [text]. */
internal fun checkStoredConfiguration(text: String): CheckedConfiguration {
    val configuration =
        readConfiguration(segmentedText(text), previous = null)
            .getOrElse { return CheckedConfiguration(null, listOf(decodingError(it))) }
            .configuration
    val services =
        readWireObject(text, "configuration") { wire -> wire.objects("services").map(::readService) }
            .getOrElse { return CheckedConfiguration(null, listOf(decodingError(it))) }
    val findings = checkConfiguration(configuration) + hiddenServices(services) + coldStartContradictions(services)
    return CheckedConfiguration(configuration, findings.sortedBy { it.kind })
}

/** The value found in an account may be one of its keys, which must not be printed. */
private fun decodingError(error: WireError): ConfigurationFinding {
    val isSecret = error.path.startsWith("configuration.tenants") && error.found != "nothing"
    val found = if (isSecret) "a value that is not shown" else error.found
    return ConfigurationFinding(FindingKind.ERROR, error.path, "found $found, expected ${error.expected}")
}

private class ServiceEntry(val name: String, val coldStartSeconds: Double, val coldStartRate: Double)

private fun readService(wire: WireObject) =
    ServiceEntry(wire.string("name"), wire.number("warmup_s"), wire.number("warmup_per_s"))

/** Of several services of the same name, decoding keeps the last. */
private fun hiddenServices(services: List<ServiceEntry>) =
    services.groupBy { it.name }.filterValues { it.size > 1 }.map { (name, entries) ->
        val description = "listed ${entries.size} times, only the last entry is used"
        ConfigurationFinding(FindingKind.NEVER_MATCHES, "service $name", description)
    }

private fun coldStartContradictions(services: List<ServiceEntry>) =
    services.filter { it.coldStartRate > 0 && it.coldStartSeconds <= 0 }.map {
        val description = "cold-start rate ${it.coldStartRate} per second without a duration is ignored"
        ConfigurationFinding(FindingKind.CONTRADICTION, "service ${it.name}", description)
    }
