/*
 * Shortening of exception messages for logs and errors.
 */
package org.primrosesill.model

/** Returns the first line of the message, because parsers append the complete input in further lines. */
public fun Throwable.firstLine(): String = message.orEmpty().lineSequence().first()
