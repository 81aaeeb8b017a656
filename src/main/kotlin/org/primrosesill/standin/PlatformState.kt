/*
 * What the stand-in platform knows: every document at every revision, and the VM list, of which readers see an older
 * version.
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

@Serializable
internal enum class PlatformMode {
    @SerialName("normal")
    NORMAL,

    @SerialName("down")
    DOWN,

    @SerialName("stale")
    STALE,

    @SerialName("slow")
    SLOW,
}

/**
 * How the platform behaves.
 *
 * @property revision the revision that a stale platform still shows, or null for the one at the switch
 * @property delayMillis additional time before each answer of a slow platform
 */
@Serializable
internal data class PlatformBehaviour(
    val mode: PlatformMode,
    val revision: Long? = null,
    val delayMillis: Long = 2_000,
)

/** Documents and VMs of the stand-in platform. Safe to call from any thread; delays run in [scope]. */
internal class PlatformState(
    private val scope: CoroutineScope,
    private val vmLagMillis: Long,
    private val entriesPerPage: Int = 1_000,
) {
    private val log = MutableStateFlow(emptyList<ConfigurationEntry>())
    private val vms = MutableStateFlow(VmList(revision = 0, vms = emptyList()))
    private val shownVms = MutableStateFlow(vms.value)
    private val behaviour = MutableStateFlow(PlatformBehaviour(PlatformMode.NORMAL))
    private var staleVms: VmList? = null

    val mode: PlatformBehaviour get() = behaviour.value

    fun switch(next: PlatformBehaviour) {
        staleVms = if (next.mode == PlatformMode.STALE) shownVms.value else null
        behaviour.value =
            if (next.mode ==
                PlatformMode.STALE
            ) {
                next.copy(revision = next.revision ?: log.value.size.toLong())
            } else {
                next
            }
    }

    /** Publishes [body] under the next revision, or a tombstone when it is null. */
    fun put(name: DocumentName, body: JsonObject?): ConfigurationEntry {
        var entry = ConfigurationEntry(name, 0)
        log.update { past ->
            entry = ConfigurationEntry(name, past.size + 1L, deleted = body == null, body = body)
            past + entry
        }
        return entry
    }

    /** Adds or replaces a VM, or removes it when [entry] is null. Readers see it after the lag. */
    fun putVm(id: VmId, entry: VmEntry?): VmList {
        val next =
            synchronized(vms) {
                val others = vms.value.vms.filter { it.id != id }
                VmList(vms.value.revision + 1, (others + listOfNotNull(entry)).sortedBy { it.id.value })
                    .also { vms.value = it }
            }
        scope.launch {
            delay(vmLagMillis)
            shownVms.update { if (it.revision < next.revision) next else it }
        }
        return next
    }

    /** Replaces the VM list without a lag, for the start. */
    fun loadVms(entries: List<VmEntry>) {
        vms.value = VmList(1, entries)
        shownVms.value = vms.value
    }

    fun page(since: Long): ConfigurationPage = page(log.value, since, behaviour.value)

    private fun page(past: List<ConfigurationEntry>, since: Long, now: PlatformBehaviour): ConfigurationPage {
        val visible = if (now.mode == PlatformMode.STALE) past.take((now.revision ?: 0).toInt()) else past
        val latest =
            visible
                .associateBy { it.name }
                .values
                .filter { it.revision > since }
                .sortedBy { it.revision }
        val shown = latest.take(entriesPerPage)
        val more = latest.size > shown.size
        return ConfigurationPage(if (more) shown.last().revision else visible.size.toLong(), shown, more)
    }

    /** Returns the changes after [since], and waits up to [waitMillis] for one. */
    suspend fun watchPage(since: Long, waitMillis: Long): ConfigurationPage {
        await(waitMillis, log) { page(since).propertyEntries.isNotEmpty() }
        return page(since)
    }

    fun vmList(): VmList = staleVms ?: shownVms.value

    /** Returns the VM list, and waits up to [waitMillis] for a revision over [since]. */
    suspend fun watchVms(since: Long, waitMillis: Long): VmList {
        await(waitMillis, shownVms) { vmList().revision > since }
        return vmList()
    }

    /** Waits until [changed] holds, the platform goes down, or [waitMillis] have passed. */
    private suspend fun await(waitMillis: Long, source: Flow<Any>, changed: () -> Boolean) {
        withTimeoutOrNull(waitMillis) {
            combine(source, behaviour) { _, now -> changed() || now.mode == PlatformMode.DOWN }.first { it }
        }
    }
}
