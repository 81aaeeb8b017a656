/*
 * Whether the balancer may send callers to this router.
 */
package org.primrosesill.router

import org.primrosesill.configuration.ConfigurationSnapshot

/**
 * Returns why the router is not ready, or null when it is. A router that knows no other router is ready for chats; it
 * refuses keyed requests by itself.
 */
internal fun notReadyBecause(stopping: Boolean, configuration: ConfigurationSnapshot): String? =
    when {
        stopping -> "the router is stopping"
        configuration.fleet == null -> "no fleet document is in force"
        else -> null
    }
