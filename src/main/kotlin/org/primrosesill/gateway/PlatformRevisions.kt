/*
 * Revisions of the platform's items in the messages between gateways. Gateways of versions that know no eras send none, which
 * counts as era 0, the oldest one.
 */
package org.primrosesill.gateway

import org.primrosesill.discovery.PlatformRevision
import org.primrosesill.generated.Member
import org.primrosesill.generated.RelayedItems
import org.primrosesill.generated.RouterPart

internal val RouterPart.platformRevision: PlatformRevision
    get() = PlatformRevision(configurationRevision, platformEra)

internal val RelayedItems.platformRevision: PlatformRevision get() = PlatformRevision(revision, era)

/** The revision since which the sender has recorded all changes, if the items are its complete content, or else null. */
internal val RelayedItems.recordedSinceRevision: PlatformRevision?
    get() = if (recordedSince < 0) null else PlatformRevision(recordedSince, era)

/** Returns the part of [member], which holds the items up to [revision]. */
internal fun partOf(member: Member, revision: PlatformRevision): RouterPart =
    RouterPart(member, revision.number, platformEra = revision.era)
