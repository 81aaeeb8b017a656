/*
 * A text in segments, so that the difference between two large texts can be described by the segments in which they
 * differ. A JSON object is divided at the elements of the arrays that are its members, as a configuration lists its
 * entries in them; any other text is a single segment.
 */
package org.primrosesill.discovery

import com.dynatrace.hash4j.hashing.Hashing

/**
 * Largest number of segments of a text, so that a few bytes of a damaged delta or a value of many tiny elements do not take
 * much memory. The platform's largest values have about 10,000 entries.
 */
internal const val MAXIMUM_SEGMENTS: Int = 50_000

/** 64-bit digest of a text and its division into segments. */
@JvmInline
public value class TextDigest(public val value: Long) {
    /** The hexadecimal digits. */
    override fun toString(): String = java.lang.Long.toHexString(value)
}

/** Returns the digest with the hexadecimal digits [text], or null if [text] is not one. */
public fun parseTextDigest(text: String): TextDigest? = text.toULongOrNull(radix = 16)?.let { TextDigest(it.toLong()) }

/**
 * @property text the segment; that of an element includes the comma that follows it
 * @property array name of the array of which the segment is an element, or null for the text between elements
 */
public class TextSegment(public val text: String, public val array: String? = null) {
    internal val digest: Long = Hashing.komihash5_0().hashCharsToLong(text)

    /** The element without the comma that follows it. */
    public val element: String get() = text.trimEnd(*jsonWhiteSpace).removeSuffix(",")

    override fun equals(other: Any?): Boolean =
        this === other ||
            (other is TextSegment && digest == other.digest && array == other.array && text == other.text)

    override fun hashCode(): Int = digest.toInt()

    private companion object {
        val jsonWhiteSpace = charArrayOf(' ', '\t', '\r', '\n')
    }
}

/** The concatenation of [segments]. Immutable and safe to use from any thread. */
public class SegmentedText(public val segments: List<TextSegment>) {
    public val text: String by lazy(LazyThreadSafetyMode.PUBLICATION) {
        segments.joinToString("") { it.text }
    }

    /** Number of characters. */
    public val length: Int get() = segments.sumOf { it.text.length }

    public val digest: TextDigest by lazy(LazyThreadSafetyMode.PUBLICATION) {
        val stream = Hashing.komihash5_0().hashStream()
        segments.forEach { stream.putLong(it.digest).putString(it.array.orEmpty()) }
        TextDigest(stream.asLong)
    }

    /** The text without the elements of the arrays into which it is divided. */
    public val frame: String
        get() = segments.filter { it.array == null }.joinToString("") { it.text }

    /** Returns the elements of the array [name], or an empty list if the text is not divided at such an array. */
    public fun elementsOf(name: String): List<TextSegment> = segments.filter { it.array == name }
}

/** Divides [text] into segments. Equal texts have equal segments. */
public fun segmentedText(text: String): SegmentedText =
    SegmentedText(JsonSegmenter(text).divide() ?: listOf(TextSegment(text)))

/** Divides one text, up to [MAXIMUM_SEGMENTS]. A text that is not a JSON object with plain and distinct member names is not divided. */
private class JsonSegmenter(private val text: String) {
    private val segments = ArrayList<TextSegment>()
    private val arrays = HashSet<String>()
    private var start = 0
    private var depth = 0

    /** Last string directly in the object, which is the name of a member when an array begins. */
    private var memberName: String? = null

    /** Name of the array in which the position is, at the depth of its elements or below. */
    private var array: String? = null

    fun divide(): List<TextSegment>? {
        if (!text.trimStart().startsWith('{')) return null
        var position = 0
        while (position < text.length) {
            position = if (text[position] == '"') endOfString(position) else position
            if (position < 0 || !accept(position) || segments.size >= MAXIMUM_SEGMENTS) return null
            position++
        }
        if (depth != 0) return null
        add(text.length, null)
        return segments
    }

    /** Returns the position of the quote that ends the string at [begin], or -1 if there is none. */
    private fun endOfString(begin: Int): Int {
        var end = text.indexOf('"', begin + 1)
        while (end > 0 && isEscaped(end)) end = text.indexOf('"', end + 1)
        if (end > 0 && depth == 1) memberName = text.substring(begin + 1, end).takeIf { '\\' !in it }
        return end
    }

    private fun isEscaped(position: Int): Boolean {
        var backslashes = 0
        while (text[position - 1 - backslashes] == '\\') backslashes++
        return backslashes % 2 == 1
    }

    /** Processes the character at [position], and returns false if the text cannot be divided. */
    private fun accept(position: Int): Boolean {
        when (text[position]) {
            '{' -> depth++
            '[' -> if (++depth == ELEMENT_DEPTH) return beginArray(position)
            ',' -> if (depth == ELEMENT_DEPTH && array != null) add(position + 1, array)
            '}' -> if (depth-- == ELEMENT_DEPTH && array != null) return false
            ']' -> if (depth-- == ELEMENT_DEPTH) return endArray(position)
        }
        return depth >= 0
    }

    private fun beginArray(position: Int): Boolean {
        val name = memberName ?: return false
        add(position + 1, null)
        array = name
        return arrays.add(name)
    }

    private fun endArray(position: Int): Boolean {
        val name = array ?: return false
        val isEmpty = segments.last().array == null && text.substring(start, position).isBlank()
        if (!isEmpty) add(position, name)
        array = null
        return true
    }

    private fun add(end: Int, array: String?) {
        segments += TextSegment(text.substring(start, end), array)
        start = end
    }

    private companion object {
        /** Depth inside an array that is a member of the object. */
        const val ELEMENT_DEPTH = 2
    }
}
