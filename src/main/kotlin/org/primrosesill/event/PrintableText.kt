/*
 * Text from outside on its way to a terminal.
 */
package org.primrosesill.event

/** Replaces control characters, which could move the cursor or change what a terminal already shows. */
internal fun printable(text: String): String =
    buildString { text.forEach { append(if (it.isISOControl()) ' ' else it) } }
