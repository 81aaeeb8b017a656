/*
 * The documents in force at one router. For each document the store keeps the highest revision that it accepted,
 * deletions included, and never goes below it; so a platform or a peer with an old view cannot bring anything back.
 * A refused document is kept beside the one in force, because it is passed on to peers as well.
 */
package org.primrosesill.configuration

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.nonEmptyListOf
import arrow.core.right
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.encodeToJsonElement
import org.primrosesill.contract.ContractChecks
import org.primrosesill.contract.DocumentError
import org.primrosesill.contract.FleetChecks
import org.primrosesill.generated.ConfigurationEntry
import org.primrosesill.generated.ConfigurationPage
import org.primrosesill.generated.Contract
import org.primrosesill.generated.FleetDocument
import org.primrosesill.generated.RefusedDocument
import org.primrosesill.model.CustomerId
import org.primrosesill.model.DocumentName

private val fleetName = DocumentName("fleet")
private const val CONTRACT_PREFIX = "contract/"

/** Holds the documents of one router. Used by the control thread only. */
public class DocumentStore {
    private val documents = HashMap<DocumentName, KnownDocument>()

    /** The documents in force. The value is immutable and replaced as a whole. */
    public var snapshot: ConfigurationSnapshot = ConfigurationSnapshot()
        private set

    /** Highest revision up to which nothing is missing. The next page is asked for with this value. */
    public val revision: Long get() = snapshot.revision

    /** Instant of the last page that changed anything, in milliseconds, or null before the first. */
    public var changedAtMillis: Long? = null
        private set

    /**
     * Applies a page that was asked for with [since]. A page that starts above [revision] leaves a gap, so its
     * documents count but [revision] stays.
     */
    public fun apply(
        page: ConfigurationPage,
        nowMillis: Long,
        since: Long = revision,
    ): Either<PageError, ApplyReport> {
        faultOf(page)?.let { return it.left() }
        val accepted = ArrayList<AcceptedDocument>()
        val refused = ArrayList<RefusedEntry>()
        for (entry in page.propertyEntries) {
            when (val verdict = judge(entry)) {
                null -> Unit
                is Either.Left -> refused += RefusedEntry(entry.name, entry.revision, verdict.value)
                is Either.Right -> accepted += AcceptedDocument(entry.name, entry.revision, entry.deleted)
            }
        }
        // A page's own revision may be higher than its last entry, but only entries prove that they were seen.
        val last = page.propertyEntries.lastOrNull()?.revision ?: 0
        val covered = if (since <= revision) maxOf(revision, last) else revision
        if (accepted.isNotEmpty()) snapshot = buildSnapshot(covered)
        if (covered > revision) snapshot = snapshot.copy(revision = covered)
        if (accepted.isNotEmpty() || refused.isNotEmpty()) changedAtMillis = nowMillis
        val ignored = page.propertyEntries.size - accepted.size - refused.size
        return ApplyReport(accepted, refused, ignored).right()
    }

    /**
     * Returns documents above [since] in order of revision, up to about [maximumBytes] of JSON and at least one. A
     * document with a refused revision comes with the one in force, so that a fresh router has both.
     */
    public fun page(since: Long, maximumBytes: Int): ConfigurationPage {
        val pending = documents.flatMap { (name, document) -> document.versionsAbove(since).map { name to it } }
        val entries = ArrayList<ConfigurationEntry>()
        var bytes = 0
        for ((name, version) in pending.sortedBy { it.second.revision }) {
            val entry = version.entry(name)
            bytes += Json.encodeToString(ConfigurationEntry.serializer(), entry).encodeToByteArray().size + 1
            if (bytes > maximumBytes && entries.isNotEmpty()) {
                return ConfigurationPage(entries.last().revision, entries, more = true)
            }
            entries += entry
        }
        return ConfigurationPage(maxOf(revision, since), entries)
    }

    /** Returns the refused documents that are newer than what is in force. */
    public fun refused(): List<RefusedDocument> =
        documents.mapNotNull { (name, document) ->
            document.refused?.let { RefusedDocument(name, it.revision, it.errors.map(DocumentError::toString)) }
        }

    /**
     * Says that a document has only a refused revision here. A peer may still hold the one in force before, which the
     * platform no longer has; it is in the peer's page from revision 0.
     */
    public fun lacksPredecessor(): Boolean = documents.values.any { it.accepted == null }

    /** Returns what contracts in force and the fleet document contradict in. */
    public fun warnings(): List<DocumentError> {
        val contracts = snapshot.contracts.values
        val unknown = snapshot.fleet?.let { fleet -> contracts.flatMap { FleetChecks.unknownPools(it, fleet) } }
        return unknown.orEmpty() + FleetChecks.sharedCredentials(contracts)
    }

    private fun judge(entry: ConfigurationEntry): Either<NonEmptyList<DocumentError>, Version>? {
        val known = documents[entry.name] ?: KnownDocument()
        if (entry.revision <= (known.accepted?.revision ?: 0)) return null
        val verdict = check(entry)
        when (verdict) {
            is Either.Left -> {
                if (entry.revision <= (known.refused?.revision ?: 0)) return null
                known.refused = RefusedVersion(entry.revision, entry.deleted, entry.body, verdict.value)
            }
            is Either.Right -> {
                known.accepted = verdict.value
                if (entry.revision > (known.refused?.revision ?: 0)) known.refused = null
            }
        }
        documents[entry.name] = known
        return verdict
    }

    /** A credential that two contracts hold belongs to the one with the higher revision, in whatever order they came. */
    private fun buildSnapshot(covered: Long): ConfigurationSnapshot {
        val contracts = HashMap<CustomerId, Contract>(documents.size * 2)
        val credentials = HashMap<String, CustomerId>(documents.size * 2)
        val inForce = documents.values.mapNotNull { it.accepted as? ContractVersion }
        for (version in inForce.sortedBy { it.revision }) {
            contracts[version.contract.customer] = version.contract
            for (hash in version.contract.credentialHashes) credentials[hash] = version.contract.customer
        }
        val fleet = (documents[fleetName]?.accepted as? FleetVersion)?.fleet
        return ConfigurationSnapshot(covered, fleet, contracts, credentials)
    }
}

private fun faultOf(page: ConfigurationPage): PageError? {
    if (page.revision !in 0..MAXIMUM_REVISION) return PageError.RevisionOutOfRange(page.revision)
    var previous = 0L
    for (entry in page.propertyEntries) {
        when {
            entry.revision !in 1..MAXIMUM_REVISION -> return PageError.RevisionOutOfRange(entry.revision)
            entry.revision > page.revision -> return PageError.EntryBeyondPage(
                entry.name,
                entry.revision,
                page.revision,
            )
            entry.revision < previous -> return PageError.OutOfOrder(entry.name, entry.revision)
        }
        previous = entry.revision
    }
    return null
}

/** The verdict depends on the entry alone, so that all routers come to the same one. */
private fun check(entry: ConfigurationEntry): Either<NonEmptyList<DocumentError>, Version> {
    val name = entry.name.value
    val body = entry.body ?: JsonObject(emptyMap())
    return when {
        entry.name == fleetName && entry.deleted ->
            nonEmptyListOf(DocumentError.Contradiction("", "a deletion", "a new fleet document")).left()
        entry.name == fleetName -> FleetChecks.check(body).map { FleetVersion(entry.revision, it) }
        !name.startsWith(CONTRACT_PREFIX) || name.length == CONTRACT_PREFIX.length ->
            nonEmptyListOf(DocumentError.Contradiction("", "the name '$name'", "fleet or contract/<customer>")).left()
        entry.deleted -> DeletedVersion(entry.revision).right()
        else ->
            ContractChecks
                .check(body, CustomerId(name.removePrefix(CONTRACT_PREFIX)))
                .map { ContractVersion(entry.revision, it) }
    }
}

private class KnownDocument(var accepted: Version? = null, var refused: RefusedVersion? = null) {
    fun versionsAbove(since: Long): List<Version> = listOfNotNull(accepted, refused).filter { it.revision > since }
}

/** One revision of a document. Accepted ones are kept decoded only: a JSON tree takes several times the memory. */
private sealed class Version(val revision: Long) {
    abstract fun entry(name: DocumentName): ConfigurationEntry
}

private class ContractVersion(revision: Long, val contract: Contract) : Version(revision) {
    override fun entry(name: DocumentName) =
        ConfigurationEntry(name, revision, body = Json.encodeToJsonElement(contract) as JsonObject)
}

private class FleetVersion(revision: Long, val fleet: FleetDocument) : Version(revision) {
    override fun entry(name: DocumentName) =
        ConfigurationEntry(name, revision, body = Json.encodeToJsonElement(fleet) as JsonObject)
}

private class DeletedVersion(revision: Long) : Version(revision) {
    override fun entry(name: DocumentName) = ConfigurationEntry(name, revision, deleted = true)
}

private class RefusedVersion(
    revision: Long,
    val deleted: Boolean,
    val body: JsonObject?,
    val errors: NonEmptyList<DocumentError>,
) : Version(revision) {
    override fun entry(name: DocumentName) = ConfigurationEntry(name, revision, deleted, body)
}
