/*
 * The validation errors of documents that operators publish. Every error contains the JSON pointer (RFC 6901) of the
 * invalid value, the value that was found and a description of the allowed values.
 */
package org.primrosesill.contract

import org.primrosesill.model.CustomerId
import org.primrosesill.model.PoolId

/**
 * One validation error of a document.
 *
 * @property pointer JSON pointer of the value; empty for the document itself
 * @property found the value, truncated; values that may be secret are only described
 * @property allowed description of the accepted values
 */
public sealed class DocumentError(public val pointer: String, public val found: String, public val allowed: String) {
    override fun toString(): String = "${pointer.ifEmpty { "(document)" }}: found $found, allowed: $allowed"

    /** A required field is absent. */
    public class MissingField(pointer: String, allowed: String) : DocumentError(pointer, "nothing", allowed)

    /** A field that is not defined for the document, often a misspelt one. */
    public class UnknownField(pointer: String, found: String, allowed: String) : DocumentError(pointer, found, allowed)

    /** A value of another JSON type. */
    public class WrongType(pointer: String, found: String, allowed: String) : DocumentError(pointer, found, allowed)

    /** A number, length, count or format outside its bounds. */
    public class OutOfBounds(pointer: String, found: String, allowed: String) : DocumentError(pointer, found, allowed)

    /** A repeated entry of a list. */
    public class Duplicate(pointer: String, found: String) : DocumentError(pointer, found, "each entry once")

    /** Values that contradict each other or the document name. */
    public class Contradiction(pointer: String, found: String, allowed: String) : DocumentError(pointer, found, allowed)

    /** The fleet document takes every zone out of service without `allowAllZonesOut`. */
    public class AllZonesOut(zones: Int) :
        DocumentError(
            "/availabilityZones",
            "all $zones zones out of service",
            "at least one zone in service, or \"allowAllZonesOut\": true",
        )

    /** A contract refers to a pool that is not in the fleet document. Requests for it are refused until it is added. */
    public class UnknownPool(public val customer: CustomerId, public val pool: PoolId, pointer: String) :
        DocumentError(pointer, "'$pool' in the contract of '$customer'", "a pool of the fleet document")

    /** Two contracts contain the same credential. It is assigned to the one with the higher revision. */
    public class SharedCredential(public val customer: CustomerId, public val holder: CustomerId, pointer: String) :
        DocumentError(
            pointer,
            "a credential of '$customer' that '$holder' also has",
            "each credential in one contract",
        )
}
