/*
 * The difference between two texts, as the segments of the later one that the earlier one lacks.
 */
package org.primrosesill.discovery

/** Consecutive segments of a text. */
public sealed interface DeltaPart {
    /** [count] segments of the base, from the one at index [first] on. */
    public data class Copied(public val first: Int, public val count: Int) : DeltaPart

    /** A segment that the base lacks. */
    public data class Inserted(public val segment: TextSegment) : DeltaPart
}

/**
 * How the text with the digest [result] follows from the one with the digest [base].
 *
 * @property parts the parts of the result, in order
 */
public class TextDelta(public val base: TextDigest, public val result: TextDigest, public val parts: List<DeltaPart>) {
    /** Number of characters that a message with this delta has, about. */
    public val characters: Int
        get() =
            parts.sumOf {
                when (it) {
                    is DeltaPart.Copied -> COPIED_PART_CHARACTERS
                    is DeltaPart.Inserted -> INSERTED_PART_CHARACTERS + it.segment.text.length
                }
            }

    /**
     * Returns the text that follows from [text], or null if [text] is not the base or the result has another digest than
     * it should, or too many segments. The result shares the segments of [text].
     */
    public fun applyTo(text: SegmentedText): SegmentedText? {
        if (text.digest != base) return null
        val segments = ArrayList<TextSegment>()
        for (part in parts) {
            when (part) {
                is DeltaPart.Copied -> segments += copiedFrom(text.segments, part) ?: return null
                is DeltaPart.Inserted -> segments += part.segment
            }
            if (segments.size > MAXIMUM_SEGMENTS) return null
        }
        return SegmentedText(segments).takeIf { it.digest == result }
    }

    private fun copiedFrom(segments: List<TextSegment>, part: DeltaPart.Copied): List<TextSegment>? {
        val isInRange = part.first >= 0 && part.count >= 0 && part.count <= segments.size - part.first
        return if (isInRange) segments.subList(part.first, part.first + part.count) else null
    }

    private companion object {
        /** Numbers of characters of an encoded part, without its text. */
        const val COPIED_PART_CHARACTERS = 30
        const val INSERTED_PART_CHARACTERS = 40
    }
}

/** Returns how [target] follows from [base]. */
public fun deltaBetween(base: SegmentedText, target: SegmentedText): TextDelta {
    val indexes = HashMap<TextSegment, Int>(base.segments.size * 2)
    base.segments.forEachIndexed { index, segment -> indexes.putIfAbsent(segment, index) }
    val parts = ArrayList<DeltaPart>()
    var copied: DeltaPart.Copied? = null
    for (segment in target.segments) {
        val next = copied?.let { it.first + it.count }
        val index = if (next != null && base.segments.getOrNull(next) == segment) next else indexes[segment]
        if (copied != null && index != null && index == next) {
            copied = copied.copy(count = copied.count + 1)
            continue
        }
        copied?.let { parts += it }
        copied = index?.let { DeltaPart.Copied(it, 1) }
        if (index == null) parts += DeltaPart.Inserted(segment)
    }
    copied?.let { parts += it }
    return TextDelta(base.digest, target.digest, parts)
}
