/*
 * The results of applying a page of the configuration to the document store.
 */
package org.primrosesill.configuration

import arrow.core.NonEmptyList
import org.primrosesill.contract.DocumentError
import org.primrosesill.model.DocumentName

/** A document that came into force or was deleted. */
public data class AcceptedDocument(val name: DocumentName, val revision: Long, val deleted: Boolean)

/** A document that was refused as a whole. The previously accepted one stays in force. */
public data class RefusedEntry(val name: DocumentName, val revision: Long, val errors: NonEmptyList<DocumentError>)

/**
 * The result of an applied page.
 *
 * @property ignored number of entries that are not newer than the stored documents
 */
public data class ApplyReport(
    val accepted: List<AcceptedDocument> = emptyList(),
    val refused: List<RefusedEntry> = emptyList(),
    val ignored: Int = 0,
)

/** Why a page was refused as a whole. Such a page is caused by a defect of its sender and changes nothing. */
public sealed class PageError(public val detail: String) {
    override fun toString(): String = detail

    /** A revision is not a positive integer that JSON represents exactly. */
    public class RevisionOutOfRange(public val revision: Long) :
        PageError("revision $revision is outside the range 1 to $MAXIMUM_REVISION")

    /** The revision of an entry is higher than that of its page. */
    public class EntryBeyondPage(public val name: DocumentName, public val revision: Long, page: Long) :
        PageError("'$name' has revision $revision, above the page revision $page")

    /** The entries are not in order of revision, so a part of the page could be missing. */
    public class OutOfOrder(public val name: DocumentName, public val revision: Long) :
        PageError("'$name' with revision $revision follows a higher revision")
}

/** The highest integer that every JSON parser represents exactly, 2^53 - 1. */
internal const val MAXIMUM_REVISION: Long = 9_007_199_254_740_991
