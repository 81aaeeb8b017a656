/*
 * Formats the status of routers as tables. A row that several routers report is printed once, with the number of these
 * routers: the views of routers can differ for seconds, and an operator must be able to notice that.
 */
package org.primrosesill.command

import com.github.ajalt.mordant.rendering.AnsiLevel
import com.github.ajalt.mordant.rendering.BorderType
import com.github.ajalt.mordant.rendering.Whitespace
import com.github.ajalt.mordant.table.table
import com.github.ajalt.mordant.terminal.Terminal
import org.primrosesill.event.printable
import org.primrosesill.generated.RouterStatus
import org.primrosesill.model.SocketAddress

/** The result of one status request: a status, or the description of a failure. */
internal class StatusResult(val address: SocketAddress, val status: RouterStatus?, val failure: String = "")

/** Width in characters that fits the reasons, used for terminals and files alike. */
private const val TABLE_WIDTH_CHARACTERS = 200

/** Returns [results] as tables of plain text. */
internal fun renderStatus(results: List<StatusResult>): String {
    val statuses = results.mapNotNull { it.status }
    return listOfNotNull(
        renderSection("Routers", ROUTER_HEADER, results.mapNotNull(::routerRow)),
        renderSection("No answer", listOf("operator address", "failure"), results.mapNotNull(::failureRow)),
        renderSection("Availability zones", ZONE_HEADER, countedRows(statuses) { zoneRows(it) }),
        renderSection(
            "VMs out of service",
            listOf("vm"),
            countedRows(statuses) {
                it.outOfServiceVms.map { vm ->
                    listOf("$vm")
                }
            },
        ),
        renderSection("Upstreams", UPSTREAM_HEADER, upstreamRows(statuses)),
        renderSection("Members", MEMBER_HEADER, countedRows(statuses) { memberRows(it) }),
        renderSection("Refused documents", REFUSED_HEADER, countedRows(statuses) { refusedRows(it) }),
    ).joinToString("\n\n")
}

private val ROUTER_HEADER =
    listOf("operator address", "router", "zone", "state", "ready", "configuration", "VM list", "members")
private val ZONE_HEADER = listOf("zone", "region", "service", "reason")
private val UPSTREAM_HEADER = listOf("upstream", "zone", "pools", "state", "new work", "why not", "load")
private val MEMBER_HEADER = listOf("router", "peer address", "zone", "state")
private val REFUSED_HEADER = listOf("document", "revision", "errors")

private fun failureRow(result: StatusResult): List<String>? =
    if (result.status == null) listOf("${result.address}", result.failure) else null

private fun routerRow(result: StatusResult): List<String>? {
    val status = result.status ?: return null
    return listOf(
        "${result.address}",
        "${status.member.router}",
        "${status.member.availabilityZone}",
        "${status.member.state}",
        if (status.ready) "yes" else "no",
        "${status.configurationRevision}",
        "${status.vmListRevision}",
        "${status.members.size}",
    )
}

private fun zoneRows(status: RouterStatus): List<List<String>> =
    status.availabilityZones.map {
        listOf("${it.id}", it.region, if (it.outOfService) "out of service" else "in service", it.reason)
    }

private fun memberRows(status: RouterStatus): List<List<String>> =
    status.members.map { listOf("${it.router}", it.address, "${it.availabilityZone}", "${it.state}") }

private fun refusedRows(status: RouterStatus): List<List<String>> =
    status.refused.map { listOf("${it.name}", "${it.revision}", it.errors.joinToString("; ")) }

/** Routers report different loads at any time, so each row shows the highest load and rows are compared without it. */
private fun upstreamRows(statuses: List<RouterStatus>): List<List<String>> {
    val loads =
        statuses
            .flatMap { it.upstreams }
            .groupBy { it.upstream }
            .mapValues { (_, reported) -> reported.maxOf { it.load } }
    return countedRows(statuses) { status ->
        status.upstreams.map {
            listOf(
                "${it.upstream}",
                "${it.availabilityZone}",
                it.pools.joinToString(" "),
                "${it.state}",
                if (it.eligible) "yes" else "no",
                it.reason,
                "${loads[it.upstream]}",
            )
        }
    }
}

/** Returns the distinct rows sorted by their first column, each with the number of routers that report it. */
private fun countedRows(statuses: List<RouterStatus>, rows: (RouterStatus) -> List<List<String>>): List<List<String>> =
    statuses
        .flatMap { rows(it).distinct() }
        .groupingBy { it }
        .eachCount()
        .entries
        .sortedBy { it.key.first() }
        .map { (row, count) -> row + "$count of ${statuses.size}" }

private fun renderSection(title: String, header: List<String>, rows: List<List<String>>): String? {
    if (rows.isEmpty()) return null
    val countHeader = if (rows.any { it.size > header.size }) listOf("seen by") else emptyList()
    val table =
        table {
            borderType = BorderType.BLANK
            whitespace = Whitespace.NORMAL
            header { row(*(header + countHeader).toTypedArray()) }
            body { rows.forEach { row(*it.map(::printable).toTypedArray()) } }
        }
    val rendered = Terminal(ansiLevel = AnsiLevel.NONE, width = TABLE_WIDTH_CHARACTERS).render(table)
    return title + "\n" + rendered.lines().filter(String::isNotBlank).joinToString("\n") { it.trimEnd() }
}
