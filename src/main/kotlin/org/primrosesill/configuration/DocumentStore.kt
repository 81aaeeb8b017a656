/*
 * The documents in force at one router. For each document the store keeps the highest accepted revision, deletions
 * included, and never returns to a lower one, so a platform or peer with stale data cannot restore an old or deleted
 * document. A refused document is kept in addition to the one in force, because it is sent to peers as well.
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
import org.primrosesill.contract.ContractValidator
import org.primrosesill.contract.DocumentError
import org.primrosesill.contract.FleetValidator
import org.primrosesill.generated.ConfigurationEntry
import org.primrosesill.generated.ConfigurationPage
import org.primrosesill.generated.Contract
import org.primrosesill.generated.FleetDocument
import org.primrosesill.generated.RefusedDocument
import org.primrosesill.model.CustomerId
import org.primrosesill.model.DocumentName

private val fleetName = DocumentName("fleet")
private const val CONTRACT_PREFIX = "contract/"

/** Stores the documents of one router. Used by the control thread only. */
public class DocumentStore {
    private val documents = HashMap<DocumentName, StoredDocument>()

    /** The documents in force. The snapshot is immutable and replaced as a whole. */
    public var snapshot: ConfigurationSnapshot = ConfigurationSnapshot()
        private set

    /** Highest revision up to which no document is missing. The next page is requested with this value. */
    public val revision: Long get() = snapshot.revision

    /** Time of the last page that changed the store, in milliseconds, or null before the first. */
    public var changedAtMillis: Long? = null
        private set

    /**
     * Applies a page that was requested with [since]. A page that starts above [revision] leaves a gap, so its
     * documents are applied but [revision] does not change.
     */
    public fun apply(
        page: ConfigurationPage,
        nowMillis: Long,
        since: Long = revision,
    ): Either<PageError, ApplyReport> {
        pageErrorOf(page)?.let { return it.left() }
        val accepted = ArrayList<AcceptedDocument>()
        val refused = ArrayList<RefusedEntry>()
        for (entry in page.propertyEntries) {
            when (val result = applyEntry(entry)) {
                null -> Unit
                is Either.Left -> refused += RefusedEntry(entry.name, entry.revision, result.value)
                is Either.Right -> accepted += AcceptedDocument(entry.name, entry.revision, entry.deleted)
            }
        }
        // The page may have a higher revision than its last entry, but only received entries advance the revision.
        val lastRevision = page.propertyEntries.lastOrNull()?.revision ?: 0
        val coveredRevision = if (since <= revision) maxOf(revision, lastRevision) else revision
        if (accepted.isNotEmpty()) snapshot = buildSnapshot(coveredRevision)
        if (coveredRevision > revision) snapshot = snapshot.copy(revision = coveredRevision)
        if (accepted.isNotEmpty() || refused.isNotEmpty()) changedAtMillis = nowMillis
        val ignored = page.propertyEntries.size - accepted.size - refused.size
        return ApplyReport(accepted, refused, ignored).right()
    }

    /**
     * Returns the documents newer than [since] in order of revision, up to about [maximumBytes] of JSON but at least
     * one. For a document with a refused revision, the revision in force is included, so that a new router receives
     * both.
     */
    public fun page(since: Long, maximumBytes: Int): ConfigurationPage {
        val pending = documents.flatMap { (name, document) -> document.versionsAfter(since).map { name to it } }
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

    /** Returns the refused documents that are newer than the revision in force. */
    public fun refused(): List<RefusedDocument> =
        documents.mapNotNull { (name, document) ->
            document.refused?.let { RefusedDocument(name, it.revision, it.errors.map(DocumentError::toString)) }
        }

    /**
     * Returns whether the store has only a refused revision of some document. A peer may still have the previously
     * accepted revision, which the platform no longer has; the peer's page from revision 0 contains it.
     */
    public fun lacksPredecessor(): Boolean = documents.values.any { it.accepted == null }

    /** Returns the contradictions between contracts in force and between contracts and the fleet document. */
    public fun warnings(): List<DocumentError> {
        val contracts = snapshot.contracts.values
        val unknown = snapshot.fleet?.let { fleet -> contracts.flatMap { FleetValidator.unknownPools(it, fleet) } }
        return unknown.orEmpty() + FleetValidator.sharedCredentials(contracts)
    }

    private fun applyEntry(entry: ConfigurationEntry): Either<NonEmptyList<DocumentError>, Version>? {
        val stored = documents[entry.name] ?: StoredDocument()
        if (entry.revision <= (stored.accepted?.revision ?: 0)) return null
        val result = validate(entry)
        when (result) {
            is Either.Left -> {
                if (entry.revision <= (stored.refused?.revision ?: 0)) return null
                stored.refused = RefusedVersion(entry.revision, entry.deleted, entry.body, result.value)
            }
            is Either.Right -> {
                stored.accepted = result.value
                if (entry.revision > (stored.refused?.revision ?: 0)) stored.refused = null
            }
        }
        documents[entry.name] = stored
        return result
    }

    /**
     * Builds the snapshot of the accepted documents. A credential in two contracts belongs to the one with the higher
     * revision, whatever the order of arrival.
     */
    private fun buildSnapshot(coveredRevision: Long): ConfigurationSnapshot {
        val contracts = HashMap<CustomerId, Contract>(documents.size * 2)
        val credentials = HashMap<String, CustomerId>(documents.size * 2)
        val inForce = documents.values.mapNotNull { it.accepted as? ContractVersion }
        for (version in inForce.sortedBy { it.revision }) {
            contracts[version.contract.customer] = version.contract
            for (hash in version.contract.credentialHashes) credentials[hash] = version.contract.customer
        }
        val fleet = (documents[fleetName]?.accepted as? FleetVersion)?.fleet
        return ConfigurationSnapshot(coveredRevision, fleet, contracts, credentials)
    }
}

private fun pageErrorOf(page: ConfigurationPage): PageError? {
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

/** Validates an entry. The result depends on the entry alone, so that all routers reach the same one. */
private fun validate(entry: ConfigurationEntry): Either<NonEmptyList<DocumentError>, Version> {
    val name = entry.name.value
    val body = entry.body ?: JsonObject(emptyMap())
    return when {
        entry.name == fleetName && entry.deleted ->
            nonEmptyListOf(DocumentError.Contradiction("", "a deletion", "a new fleet document")).left()
        entry.name == fleetName -> FleetValidator.validate(body).map { FleetVersion(entry.revision, it) }
        !name.startsWith(CONTRACT_PREFIX) || name.length == CONTRACT_PREFIX.length ->
            nonEmptyListOf(DocumentError.Contradiction("", "the name '$name'", "fleet or contract/<customer>")).left()
        entry.deleted -> DeletedVersion(entry.revision).right()
        else ->
            ContractValidator
                .validate(body, CustomerId(name.removePrefix(CONTRACT_PREFIX)))
                .map { ContractVersion(entry.revision, it) }
    }
}

private class StoredDocument(var accepted: Version? = null, var refused: RefusedVersion? = null) {
    fun versionsAfter(since: Long): List<Version> = listOfNotNull(accepted, refused).filter { it.revision > since }
}

/** One revision of a document. Accepted ones are stored decoded only: a JSON tree takes several times the memory. */
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
