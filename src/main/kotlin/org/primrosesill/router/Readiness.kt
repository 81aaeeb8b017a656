/*
 * Whether the balancer may send callers to this router.
 */
package org.primrosesill.router

import org.primrosesill.configuration.ConfigurationSnapshot
import org.primrosesill.membership.MemberSnapshot

/** Returns why the router is not ready, or null when it is. */
internal fun notReadyBecause(
    stopping: Boolean,
    configuration: ConfigurationSnapshot,
    members: MemberSnapshot,
): String? =
    when {
        stopping -> "the router is stopping"
        configuration.fleet == null -> "no fleet document is in force"
        !members.knowsCandidates -> "neither the VM list nor a peer was heard"
        else -> null
    }
