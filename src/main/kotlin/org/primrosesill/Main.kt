/*
 * The entry point of the one binary. Every command of the product and every stand-in is a subcommand of it.
 */
package org.primrosesill

import com.github.ajalt.clikt.core.main
import org.primrosesill.command.rootCommand

public fun main(arguments: Array<String>) {
    rootCommand(arguments.firstOrNull()).main(arguments)
}
