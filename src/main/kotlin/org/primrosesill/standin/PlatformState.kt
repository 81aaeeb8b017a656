/*
 * The state of the stand-in platform: all revisions of every document, and the VM list, whose changes become visible to
 * clients after a delay.
 */
package org.primrosesill.standin

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.combine
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject
import org.primrosesill.generated.ConfigurationEntry
import org.primrosesill.generated.ConfigurationPage
import org.primrosesill.generated.VmEntry
import org.primrosesill.generated.VmList
import org.primrosesill.model.DocumentName
import org.primrosesill.model.VmId

/** The response mode of the platform, set by a control call. */
@Serializable
internal enum class PlatformMode {
    @SerialName("normal")
    NORMAL,

    /** Responds to every read with 503. */
    @SerialName("down")
    DOWN,

    /** Returns an old revision of the documents and an old VM list. */
    @SerialName("stale")
    STALE,

    /** Delays every response. */
    @SerialName("slow")
    SLOW,
}

/**
 * The response mode of the platform and its parameters.
 *
 * @property revision latest revision visible under [PlatformMode.STALE]; null for the one at the time of the change
 * @property delayMillis delay before each response under [PlatformMode.SLOW], in milliseconds
 */
@Serializable
internal data class PlatformBehaviour(
    val mode: PlatformMode,
    val revision: Long? = null,
    val delayMillis: Long = 2_000,
)

/**
 * Documents and VMs of the stand-in platform. Thread-safe.
 *
 * @param scope scope in which the delays of VM changes run
 * @param vmLagMillis delay before clients see a change of the VM list
 * @param entriesPerPage maximum number of documents in one configuration page
 */
internal class PlatformState(
    private val scope: CoroutineScope,
    private val vmLagMillis: Long,
    private val entriesPerPage: Int = 1_000,
) {
    private val revisions = MutableStateFlow(emptyList<ConfigurationEntry>())
    private val vms = MutableStateFlow(VmList(revision = 0, vms = emptyList()))
    private val visibleVms = MutableStateFlow(vms.value)
    private val behaviourFlow = MutableStateFlow(PlatformBehaviour(PlatformMode.NORMAL))
    private var staleVms: VmList? = null

    val behaviour: PlatformBehaviour get() = behaviourFlow.value

    fun changeBehaviour(next: PlatformBehaviour) {
        staleVms = if (next.mode == PlatformMode.STALE) visibleVms.value else null
        behaviourFlow.value =
            if (next.mode ==
                PlatformMode.STALE
            ) {
                next.copy(revision = next.revision ?: revisions.value.size.toLong())
            } else {
                next
            }
    }

    /** Publishes [body] under the next revision, or a tombstone if it is null. */
    fun publish(name: DocumentName, body: JsonObject?): ConfigurationEntry {
        var entry = ConfigurationEntry(name, 0)
        revisions.update { entries ->
            entry = ConfigurationEntry(name, entries.size + 1L, deleted = body == null, body = body)
            entries + entry
        }
        return entry
    }

    /** Adds or replaces a VM, or removes it if [entry] is null. Clients see the change after [vmLagMillis]. */
    fun putVm(id: VmId, entry: VmEntry?): VmList {
        val next =
            synchronized(vms) {
                val others = vms.value.vms.filter { it.id != id }
                VmList(vms.value.revision + 1, (others + listOfNotNull(entry)).sortedBy { it.id.value })
                    .also { vms.value = it }
            }
        scope.launch {
            delay(vmLagMillis)
            visibleVms.update { if (it.revision < next.revision) next else it }
        }
        return next
    }

    /** Replaces the VM list without delay, at startup. */
    fun initializeVms(entries: List<VmEntry>) {
        vms.value = VmList(1, entries)
        visibleVms.value = vms.value
    }

    /** Returns the latest revision of each document that changed after revision [since]. */
    fun configurationPage(since: Long): ConfigurationPage =
        configurationPage(revisions.value, since, behaviourFlow.value)

    private fun configurationPage(
        entries: List<ConfigurationEntry>,
        since: Long,
        current: PlatformBehaviour,
    ): ConfigurationPage {
        val visible = if (current.mode == PlatformMode.STALE) entries.take((current.revision ?: 0).toInt()) else entries
        val latest =
            visible
                .associateBy { it.name }
                .values
                .filter { it.revision > since }
                .sortedBy { it.revision }
        val pageEntries = latest.take(entriesPerPage)
        val more = latest.size > pageEntries.size
        return ConfigurationPage(if (more) pageEntries.last().revision else visible.size.toLong(), pageEntries, more)
    }

    /** Waits up to [waitMillis] for a change after revision [since] and returns the changes. */
    suspend fun watchDocuments(since: Long, waitMillis: Long): ConfigurationPage {
        awaitChange(waitMillis, revisions) { configurationPage(since).propertyEntries.isNotEmpty() }
        return configurationPage(since)
    }

    fun vmList(): VmList = staleVms ?: visibleVms.value

    /** Waits up to [waitMillis] for a revision later than [since] and returns the VM list. */
    suspend fun watchVms(since: Long, waitMillis: Long): VmList {
        awaitChange(waitMillis, visibleVms) { vmList().revision > since }
        return vmList()
    }

    /** Waits until [changed] returns true, the platform goes down, or [waitMillis] elapse. */
    private suspend fun awaitChange(waitMillis: Long, source: Flow<Any>, changed: () -> Boolean) {
        withTimeoutOrNull(waitMillis) {
            combine(source, behaviourFlow) { _, current -> changed() || current.mode == PlatformMode.DOWN }.first { it }
        }
    }
}
