/*
 * Short hash codes of prompt parts, for the index and for messages between routers.
 */
package org.primrosesill.placement

import org.primrosesill.exchange.shortCode

/**
 * Characters of a code, which encode 30 bits. Two parts with the same code are treated as one part; such a collision costs
 * time and does not affect correctness.
 */
public const val PART_CODE_LENGTH: Int = 5

/** The short hash of a [PromptPartId]. */
@JvmInline
public value class PartCode(public val value: String) {
    override fun toString(): String = value
}

/** Returns the code of [id], which is the same on all routers. */
public fun partCode(id: PromptPartId): PartCode = PartCode(shortCode(id.value, PART_CODE_LENGTH))
