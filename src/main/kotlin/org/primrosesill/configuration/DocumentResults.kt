/*
 * What the document store answers when a page of the configuration is applied to it.
 */
package org.primrosesill.configuration

import arrow.core.NonEmptyList
import org.primrosesill.contract.DocumentError
import org.primrosesill.model.DocumentName

/** A document that came into force or was deleted. */
public data class AcceptedDocument(val name: DocumentName, val revision: Long, val deleted: Boolean)

/** A document that was refused whole. The one in force before stays in force. */
public data class RefusedEntry(val name: DocumentName, val revision: Long, val errors: NonEmptyList<DocumentError>)

/**
 * The result of one page.
 *
 * @property ignored entries that are not newer than what is known
 */
public data class ApplyReport(
    val accepted: List<AcceptedDocument> = emptyList(),
    val refused: List<RefusedEntry> = emptyList(),
    val ignored: Int = 0,
)

/** Why a whole page was refused. Such a page comes from a faulty sender and changes nothing. */
public sealed class PageError(public val detail: String) {
    override fun toString(): String = detail

    /** A revision is not a positive number that JSON carries exactly. */
    public class RevisionOutOfRange(public val revision: Long) :
        PageError("revision $revision is not from 1 to $MAXIMUM_REVISION")

    /** An entry is newer than the page says of itself. */
    public class EntryBeyondPage(public val name: DocumentName, public val revision: Long, page: Long) :
        PageError("'$name' has revision $revision and the page ends at $page")

    /** The entries are not in order, so that a part of the page could have been lost. */
    public class OutOfOrder(public val name: DocumentName, public val revision: Long) :
        PageError("'$name' with revision $revision comes after a higher revision")
}

/** The highest whole number that every JSON reader carries exactly, 2^53 - 1. */
internal const val MAXIMUM_REVISION: Long = 9_007_199_254_740_991
