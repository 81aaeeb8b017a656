/*
 * Reload of the settings while a gateway runs.
 */
package org.primrosesill.gateway

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.contract.GatewaySettingsValidator
import org.primrosesill.event.EventLog
import org.primrosesill.event.EventSubject
import org.primrosesill.generated.EventType
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo

private fun settingsText(ratio: String = "0.2", callers: String = "10.0.0.1:80") =
    """{"name":"n","availabilityZone":"a","callerAddress":"$callers","readinessAddress":"10.0.0.1:81",
    "peerAddress":"10.0.0.1:82","metricsAddress":"10.0.0.1:83","gossipPort":84,"platformAddress":"10.0.0.9:85",
    "retryRatio":$ratio}"""

class ReloadableSettingsTest {
    private class Case(val name: String, val text: String, val type: EventType, val cause: String, val ratio: Double)

    // Guards against an invalid file that changes the settings of a running gateway or stops it, and against an error
    // that does not name the field and the cause.
    @TestFactory
    fun `reload applies a valid file and rejects an invalid one`(): List<DynamicTest> =
        listOf(
            Case("a new value", settingsText("0.4"), EventType.SETTINGS_ACCEPTED, "retries 0.4", 0.4),
            Case("the same file", settingsText(), EventType.SETTINGS_ACCEPTED, "retries 0.2", 0.2),
            Case("a value out of range", settingsText("-1"), EventType.SETTINGS_REFUSED, "/retryRatio: found -1", 0.2),
            Case("a half-written file", settingsText("0.4").take(90), EventType.SETTINGS_REFUSED, "not JSON", 0.2),
            Case("an empty file", "", EventType.SETTINGS_REFUSED, "not JSON", 0.2),
            Case(
                "an address that needs a restart",
                settingsText("0.4", callers = "10.0.0.1:99"),
                EventType.SETTINGS_REFUSED,
                "/callerAddress: found 10.0.0.1:99, allowed: 10.0.0.1:80 until the process restarts",
                0.2,
            ),
        ).map { case ->
            dynamicTest(case.name) {
                val recorded = mutableListOf<Pair<EventType, String>>()
                val events =
                    object : EventLog {
                        override fun record(type: EventType, cause: String, subject: EventSubject) {
                            recorded += type to cause
                        }
                    }
                val initialSettings = GatewaySettingsValidator.validate(settingsText()).fold({ error("$it") }, { it })
                val reloadableSettings = ReloadableSettings(initialSettings, events)
                reloadableSettings.reload(case.text)
                expectThat(reloadableSettings.value.retryRatio).isEqualTo(case.ratio)
                expectThat(recorded.map { it.first }).isEqualTo(listOf(case.type))
                expectThat(recorded.single().second).contains(case.cause)
            }
        }
}
