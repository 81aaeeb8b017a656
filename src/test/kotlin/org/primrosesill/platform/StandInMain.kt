/*
 * Runs the stand-in for the users' site as a separate process, for manual measurements. Arguments: address of the
 * store, number of engines, number of desks.
 */
package org.primrosesill.platform

import kotlinx.coroutines.runBlocking
import org.primrosesill.concurrent.throwingReporter
import org.primrosesill.transport.TrafficLoop

fun main(arguments: Array<String>) {
    val site =
        SiteStandIn(TrafficLoop(throwingReporter), arguments[1].toInt(), arguments[2].toInt(), listOf("a", "b", "c"))
    runBlocking { site.start(arguments[0]) }
    println("store at ${site.storeAddress}")
    Thread.currentThread().join()
}
