/*
 * Sanitizes untrusted text for terminals.
 */
package org.primrosesill.event

/** Replaces control characters with spaces, as they could move the cursor or overwrite text on the terminal. */
internal fun printable(text: String): String =
    buildString { text.forEach { append(if (it.isISOControl()) ' ' else it) } }
