/*
 * The status of routers as tables. Rows that several routers agree on are shown once, with the count of routers that say
 * so, because routers may disagree for seconds and an operator must see it.
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

/** What one router answered: a status, or the failure in words. */
internal class StatusAnswer(val address: SocketAddress, val status: RouterStatus?, val failure: String = "")

// Wide enough for the reasons, also when the output goes to a file.
private const val WIDTH = 200

/** Returns [answers] as readable tables. */
internal fun renderStatus(answers: List<StatusAnswer>): String {
    val statuses = answers.mapNotNull { it.status }
    return listOfNotNull(
        section("Routers", ROUTER_HEADER, answers.mapNotNull(::routerRow)),
        section("No answer", listOf("operator address", "failure"), answers.mapNotNull(::failureRow)),
        section("Availability zones", ZONE_HEADER, agreed(statuses) { zoneRows(it) }),
        section(
            "VMs out of service",
            listOf("vm"),
            agreed(statuses) {
                it.outOfServiceVms.map { vm ->
                    listOf("$vm")
                }
            },
        ),
        section("Upstreams", UPSTREAM_HEADER, upstreamRows(statuses)),
        section("Members", MEMBER_HEADER, agreed(statuses) { memberRows(it) }),
        section("Refused documents", REFUSED_HEADER, agreed(statuses) { refusedRows(it) }),
    ).joinToString("\n\n")
}

private val ROUTER_HEADER =
    listOf("operator address", "router", "zone", "state", "ready", "configuration", "VM list", "members")
private val ZONE_HEADER = listOf("zone", "region", "service", "reason")
private val UPSTREAM_HEADER = listOf("upstream", "zone", "pools", "state", "new work", "why not", "load")
private val MEMBER_HEADER = listOf("router", "peer address", "zone", "state")
private val REFUSED_HEADER = listOf("document", "revision", "errors")

private fun failureRow(answer: StatusAnswer): List<String>? =
    if (answer.status == null) listOf("${answer.address}", answer.failure) else null

private fun routerRow(answer: StatusAnswer): List<String>? {
    val status = answer.status ?: return null
    return listOf(
        "${answer.address}",
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

/** The load differs between routers at any moment, so it does not count as a disagreement; the highest is shown. */
private fun upstreamRows(statuses: List<RouterStatus>): List<List<String>> {
    val loads =
        statuses
            .flatMap { it.upstreams }
            .groupBy { it.upstream }
            .mapValues { (_, seen) -> seen.maxOf { it.load } }
    return agreed(statuses) { status ->
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

/** Returns the distinct rows in order of their first column, each with how many of the routers say so. */
private fun agreed(statuses: List<RouterStatus>, rows: (RouterStatus) -> List<List<String>>): List<List<String>> =
    statuses
        .flatMap { rows(it).distinct() }
        .groupingBy { it }
        .eachCount()
        .entries
        .sortedBy { it.key.first() }
        .map { (row, count) -> row + "$count of ${statuses.size}" }

private fun section(title: String, header: List<String>, rows: List<List<String>>): String? {
    if (rows.isEmpty()) return null
    val seenBy = if (rows.any { it.size > header.size }) listOf("seen by") else emptyList()
    val table =
        table {
            borderType = BorderType.BLANK
            whitespace = Whitespace.NORMAL
            header { row(*(header + seenBy).toTypedArray()) }
            body { rows.forEach { row(*it.map(::printable).toTypedArray()) } }
        }
    val rendered = Terminal(ansiLevel = AnsiLevel.NONE, width = WIDTH).render(table)
    return title + "\n" + rendered.lines().filter(String::isNotBlank).joinToString("\n") { it.trimEnd() }
}
