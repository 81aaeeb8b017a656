/*
 * Delays of a replay: for some seconds, routers that are short of processor time send and read messages late.
 */
package org.primrosesill.placement

/**
 * How late news and requests are between two instants. The ages of loads in a message do not include the delay, since a router
 * cannot tell how long a message waited to be read.
 *
 * @property messageMillis time that a message of the exchange waits at its recipient
 * @property requestMillis time that a request waits at its router after its placement
 * @property responseMillis time that a response waits at its router, so that the reported load is old when it is read
 */
class LateNews(
    private val fromMillis: Long,
    private val untilMillis: Long,
    private val messageMillis: Long,
    private val requestMillis: Long,
    private val responseMillis: Long,
) {
    fun messageDelayMillis(now: Long): Long = during(now, messageMillis)

    fun requestDelayMillis(now: Long): Long = during(now, requestMillis)

    fun responseDelayMillis(now: Long): Long = during(now, responseMillis)

    private fun during(now: Long, millis: Long): Long = if (now in fromMillis until untilMillis) millis else 0

    companion object {
        val NONE = LateNews(0, 0, 0, 0, 0)
    }
}
