/*
 * The readiness check, which decides whether the load balancer may send callers to this router.
 */
package org.primrosesill.router

import org.primrosesill.configuration.ConfigurationSnapshot

/**
 * Returns the reason that the router is not ready, or null when it is ready. A router that has discovered no other
 * router is ready, because it can serve chats; it rejects requests with an idempotency key until it has a quorum.
 */
internal fun notReadyReason(stopping: Boolean, configuration: ConfigurationSnapshot): String? =
    when {
        stopping -> "the router is stopping"
        configuration.fleet == null -> "no fleet document is in force"
        else -> null
    }
