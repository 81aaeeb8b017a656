/*
 * Messages of exceptions in the logs.
 */
package org.primrosesill.model

/** The first line of the message. Parsers add the whole input in further lines. */
public fun Throwable.firstLine(): String = message.orEmpty().lineSequence().first()
