/*
 * Checks documents before an operator publishes them, with the same rules by which routers accept or refuse them.
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

/** `check FILE…`: exit status 0 when every document can be published, else 1. Warnings do not change the status. */
public class CheckCommand : CliktCommand(name = "check") {
    private val files by argument("FILE").file(mustExist = true, canBeDir = false).multiple(required = true)
    private val json by option("--json", help = "Print one JSON object.").flag()

    override fun help(context: Context): String = "Check contracts and fleet documents before they are published."

    override fun run() {
        val findings = checkDocuments(files.associate { it.path to readDocument(it) })
        echo(if (json) asJson(findings).toString() else asText(findings, files.size))
        if (findings.any { it.isError }) throw ProgramResult(1)
    }
}

/** One fault of a file. */
internal data class Finding(val file: String, val isError: Boolean, val fault: DocumentError)

/**
 * Checks [documents] by file name. Documents with a `customer` are contracts and all others fleet documents. A
 * credential in two contracts is an error here, since both are at hand to correct.
 */
internal fun checkDocuments(documents: Map<String, Either<DocumentError, JsonObject>>): List<Finding> {
    val findings = ArrayList<Finding>()
    val contracts = LinkedHashMap<String, Contract>()
    val fleets = LinkedHashMap<String, FleetDocument>()
    for ((file, document) in documents) {
        val body =
            document.getOrElse {
                findings += Finding(file, true, it)
                null
            } ?: continue
        val isFleet = "customer" !in body && ("availabilityZones" in body || "pools" in body)
        val errors =
            if (isFleet) {
                FleetValidator.validate(body).onRight { fleets[file] = it }.leftOrNull()
            } else {
                ContractValidator.validate(body).onRight { contracts[file] = it }.leftOrNull()
            }
        errors?.forEach { findings += Finding(file, true, it) }
    }
    val shared = FleetValidator.sharedCredentials(contracts.values).groupBy { it.customer }
    for ((file, contract) in contracts) {
        shared[contract.customer]?.forEach { findings += Finding(file, true, it) }
        val unknown = fleets.values.singleOrNull()?.let { FleetValidator.unknownPools(contract, it) }
        unknown?.forEach { findings += Finding(file, false, it) }
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

/** The platform holds values of up to 1 MB. */
private const val MAXIMUM_DOCUMENT_BYTES = 1_000_000L

private fun asText(findings: List<Finding>, files: Int): String {
    val lines = findings.map { "${it.file}: ${if (it.isError) "error" else "warning"}: ${it.fault}" }
    val errors = findings.count { it.isError }
    return (lines + "$files checked, $errors errors, ${findings.size - errors} warnings").joinToString("\n")
}

private fun asJson(findings: List<Finding>): JsonObject =
    buildJsonObject {
        put("valid", findings.none { it.isError })
        putJsonArray("findings") {
            for (finding in findings) {
                addJsonObject {
                    put("file", finding.file)
                    put("severity", if (finding.isError) "error" else "warning")
                    put("pointer", finding.fault.pointer)
                    put("found", finding.fault.found)
                    put("allowed", finding.fault.allowed)
                }
            }
        }
    }
