/*
 * The header fields of one HTTP message, with order and spelling preserved. Names are compared case-insensitively.
 */
package org.primrosesill.model

/** One header field with the spelling of the message. */
public data class HeaderField(public val name: String, public val value: String) {
    /** Returns whether this field has the name [other]. */
    public fun hasName(other: String): Boolean = name.equals(other, ignoreCase = true)
}

/** The header fields of one message. Immutable. */
public data class HeaderFields(private val fields: List<HeaderField> = emptyList()) : Iterable<HeaderField> {
    override fun iterator(): Iterator<HeaderField> = fields.iterator()

    /** Returns the first value of the field [name], or null if there is none. */
    public operator fun get(name: String): String? = fields.firstOrNull { it.hasName(name) }?.value

    /** Returns the values of all fields named [name], in order. */
    public fun all(name: String): List<String> = fields.filter { it.hasName(name) }.map { it.value }

    public operator fun contains(name: String): Boolean = fields.any { it.hasName(name) }

    /** Returns these fields without those that match [drop]. */
    public fun without(drop: (HeaderField) -> Boolean): HeaderFields = HeaderFields(fields.filterNot(drop))

    /** Returns these fields followed by a field with [name] and [value]. */
    public fun with(name: String, value: String): HeaderFields = HeaderFields(fields + HeaderField(name, value))

    /** Returns these fields followed by [others]. */
    public operator fun plus(others: HeaderFields): HeaderFields = HeaderFields(fields + others.fields)
}

/** Returns [fields] as header fields, in their order. */
public fun headerFieldsOf(vararg fields: Pair<String, String>): HeaderFields =
    HeaderFields(fields.map { HeaderField(it.first, it.second) })

/** Returns the entries as header fields. */
public fun Map<String, String>.toHeaderFields(): HeaderFields = HeaderFields(map { HeaderField(it.key, it.value) })
