/*
 * The entry point of the one binary. Every command of the product and every stand-in is a subcommand of it.
 */
package org.primrosesill

public fun main() {
    println("primrosesill")
}
