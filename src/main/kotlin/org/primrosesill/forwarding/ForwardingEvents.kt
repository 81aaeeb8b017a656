/*
 * Reports forwarding decisions to the event log.
 */
package org.primrosesill.forwarding

import org.primrosesill.generated.EventType
import org.primrosesill.model.RequestId
import org.primrosesill.model.UpstreamId

/** Records one event for each decision about a request. [cause] contains no credentials and no content. */
public fun interface ForwardingEvents {
    public fun record(type: EventType, request: RequestId?, upstream: UpstreamId?, cause: String)
}
