/*
 * Validates documents before an operator publishes them, with the rules that routers apply to published documents.
 */
package org.primrosesill.command

import arrow.core.Either
import arrow.core.getOrElse
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.file
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.add
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.primrosesill.contract.ContractValidator
import org.primrosesill.contract.DocumentError
import org.primrosesill.contract.FleetValidator
import org.primrosesill.contract.parseDocument
import org.primrosesill.generated.Contract
import org.primrosesill.generated.FleetDocument
import java.io.File

/** The `check FILE…` command. Exits with status 0 if no document has an error, and with 1 otherwise. */
public class CheckCommand : CliktCommand(name = "check") {
    private val files by argument("FILE").file(mustExist = true, canBeDir = false).multiple(required = true)
    private val json by option("--json", help = "Print one JSON object.").flag()

    override fun help(context: Context): String = "Validate contracts and fleet documents before they are published."

    override fun run() {
        val findings = checkDocuments(files.associate { it.path to readDocument(it) })
        echo(if (json) findingsToJson(findings).toString() else formatFindings(findings, files.size))
        if (findings.any { it.isError }) throw ProgramResult(1)
    }
}

/** A validation error of [file], or a warning that does not prevent its publication. */
internal data class Finding(val file: String, val isError: Boolean, val error: DocumentError)

/**
 * Checks [documents], which are keyed by file name. A document without `customer` but with `availabilityZones` or
 * `pools` is a fleet document; all others are contracts. A credential in two contracts is an error here, because the
 * operator can correct both files before publication.
 */
internal fun checkDocuments(documents: Map<String, Either<DocumentError, JsonObject>>): List<Finding> {
    val findings = ArrayList<Finding>()
    val contracts = LinkedHashMap<String, Contract>()
    val fleets = LinkedHashMap<String, FleetDocument>()
    for ((file, document) in documents) {
        val content =
            document.getOrElse {
                findings += Finding(file, true, it)
                null
            } ?: continue
        val isFleet = "customer" !in content && ("availabilityZones" in content || "pools" in content)
        val errors =
            if (isFleet) {
                FleetValidator.validate(content).onRight { fleets[file] = it }.leftOrNull()
            } else {
                ContractValidator.validate(content).onRight { contracts[file] = it }.leftOrNull()
            }
        errors?.forEach { findings += Finding(file, true, it) }
    }
    val sharedCredentials = FleetValidator.sharedCredentials(contracts.values).groupBy { it.customer }
    for ((file, contract) in contracts) {
        sharedCredentials[contract.customer]?.forEach { findings += Finding(file, true, it) }
        val unknownPools = fleets.values.singleOrNull()?.let { FleetValidator.unknownPools(contract, it) }
        unknownPools?.forEach { findings += Finding(file, false, it) }
    }
    return findings
}

private fun readDocument(file: File): Either<DocumentError, JsonObject> =
    if (file.length() > MAXIMUM_DOCUMENT_BYTES) {
        val allowed = "at most $MAXIMUM_DOCUMENT_BYTES bytes"
        Either.Left(DocumentError.OutOfBounds("", "${file.length()} bytes", allowed))
    } else {
        parseDocument(file.readText())
    }

/** Maximum size of a value in the configuration store of the platform, 1 MB. */
private const val MAXIMUM_DOCUMENT_BYTES = 1_000_000L

private fun formatFindings(findings: List<Finding>, fileCount: Int): String {
    val lines = findings.map { "${it.file}: ${if (it.isError) "error" else "warning"}: ${it.error}" }
    val errors = findings.count { it.isError }
    return (lines + "$fileCount checked, $errors errors, ${findings.size - errors} warnings").joinToString("\n")
}

private fun findingsToJson(findings: List<Finding>): JsonObject =
    buildJsonObject {
        put("valid", findings.none { it.isError })
        putJsonArray("findings") {
            for (finding in findings) {
                addJsonObject {
                    put("file", finding.file)
                    put("severity", if (finding.isError) "error" else "warning")
                    put("pointer", finding.error.pointer)
                    put("found", finding.error.found)
                    put("allowed", finding.error.allowed)
                }
            }
        }
    }
