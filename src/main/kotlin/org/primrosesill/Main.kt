/*
 * The entry point of the single binary, which has every product command and every stand-in as a subcommand.
 */
package org.primrosesill

import com.github.ajalt.clikt.core.main
import org.primrosesill.command.rootCommand

public fun main(arguments: Array<String>) {
    rootCommand(arguments.firstOrNull()).main(arguments)
}
