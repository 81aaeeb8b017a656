/*
 * What the path of a request reports of its decisions.
 */
package org.primrosesill.forwarding

import org.primrosesill.generated.EventType
import org.primrosesill.model.RequestId
import org.primrosesill.model.UpstreamId

/** Takes one line for each decision that touches a request. [cause] holds no credentials and no content. */
public fun interface ForwardingEvents {
    public fun record(type: EventType, request: RequestId?, upstream: UpstreamId?, cause: String)
}
