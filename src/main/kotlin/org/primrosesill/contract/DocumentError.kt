/*
 * What can be wrong with a document that an operator publishes. Every error names its place as a JSON pointer
 * (RFC 6901), the value that was found and what is allowed there.
 */
package org.primrosesill.contract

import org.primrosesill.model.CustomerId
import org.primrosesill.model.PoolId

/**
 * One fault of a document.
 *
 * @property pointer JSON pointer of the value; empty for the document itself
 * @property found the value, shortened; values that may be secret are only described
 * @property allowed what would be accepted
 */
public sealed class DocumentError(public val pointer: String, public val found: String, public val allowed: String) {
    override fun toString(): String = "${pointer.ifEmpty { "(document)" }}: found $found, allowed: $allowed"

    /** A required field is absent. */
    public class MissingField(pointer: String, allowed: String) : DocumentError(pointer, "nothing", allowed)

    /** A field that the document does not have, often a misspelt one. */
    public class UnknownField(pointer: String, found: String, allowed: String) : DocumentError(pointer, found, allowed)

    /** A value of another JSON type. */
    public class WrongType(pointer: String, found: String, allowed: String) : DocumentError(pointer, found, allowed)

    /** A number, length, count or form outside its bounds. */
    public class OutOfBounds(pointer: String, found: String, allowed: String) : DocumentError(pointer, found, allowed)

    /** An entry of a list that occurs before. */
    public class Duplicate(pointer: String, found: String) : DocumentError(pointer, found, "each entry once")

    /** Values that contradict each other or the document's name. */
    public class Contradiction(pointer: String, found: String, allowed: String) : DocumentError(pointer, found, allowed)

    /** The fleet document takes every zone out without saying that this is meant. */
    public class AllZonesOut(zones: Int) :
        DocumentError(
            "/availabilityZones",
            "all $zones zones out of service",
            "at least one zone in service, or \"allowAllZonesOut\": true",
        )

    /** A contract names a pool that the fleet document does not have. Requests for it are refused until it does. */
    public class UnknownPool(public val customer: CustomerId, public val pool: PoolId, pointer: String) :
        DocumentError(pointer, "'$pool' in the contract of '$customer'", "a pool of the fleet document")

    /** Two contracts hold the same credential. The one with the higher revision has it. */
    public class SharedCredential(public val customer: CustomerId, public val holder: CustomerId, pointer: String) :
        DocumentError(
            pointer,
            "a credential of '$customer' that '$holder' holds too",
            "each credential in one contract",
        )
}
