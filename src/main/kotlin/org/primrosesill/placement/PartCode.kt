/*
 * Short names of prompt parts, for the index and for messages between routers.
 */
package org.primrosesill.placement

import org.primrosesill.exchange.shortCode

/** Characters of a code: 30 bits. Two parts that share a code are taken for one, which costs time and nothing else. */
public const val PART_CODE_LENGTH: Int = 5

/** Stands for the id of a part. */
@JvmInline
public value class PartCode(public val value: String) {
    override fun toString(): String = value
}

/** Returns the code of [id], which is the same at all routers. */
public fun partCode(id: PromptPartId): PartCode = PartCode(shortCode(id.value, PART_CODE_LENGTH))
