/*
 * Validation of gateway settings.
 */
package org.primrosesill.contract

import kotlinx.serialization.descriptors.elementNames
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.primrosesill.generated.GatewaySettings
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class GatewaySettingsValidatorTest {
    private fun validate(setting: String) =
        GatewaySettingsValidator.validate(
            """{"name":"g","availabilityZone":"a","callerAddress":"127.0.0.1:1","readinessAddress":"127.0.0.1:2",
            "peerAddress":"127.0.0.1:3","metricsAddress":"127.0.0.1:4","gossipPort":5,"platformAddress":"127.0.0.1:6",
            $setting}""",
        )

    private val names = listOf("retryFixed", "coldStartTolerance", "drainMillis", "retryRatio", "coldStartOverage")
    private val values = mapOf("0" to true, "52" to true, "37.096774193548384" to true, "-1" to false, "true" to false)

    // Guards against a gateway that does not start with a fractional bound of the platform: seen with 37.096 retries.
    @TestFactory
    fun `bounds may be fractional but not negative`(): List<DynamicTest> =
        names.flatMap { name ->
            values.map { (value, accepted) ->
                dynamicTest("$name $value") { expectThat(validate("\"$name\":$value").isRight()).isEqualTo(accepted) }
            }
        }

    // Guards against a setting of the schema that no gateway accepts, so that it does not start where the setting is used.
    @Test
    fun `every setting of the schema is known`() {
        val accepted = validate("\"unknown\":1").leftOrNull()!!.joinToString()
        val settings = GatewaySettings.serializer().descriptor.elementNames
        expectThat(settings.filterNot { it in accepted }).isEmpty()
    }

    // Guards against settings that are accepted with values that have no meaning.
    @TestFactory
    fun `settings of load-aware scheduling`(): List<DynamicTest> =
        listOf(
            "\"loadAwareScheduling\":true" to true,
            "\"loadAwareScheduling\":\"yes\"" to false,
            "\"platformFeatures\":[]" to true,
            "\"platformFeatures\":[\"pool\",\"engine\"]" to true,
            "\"platformFeatures\":\"pool\"" to false,
            "\"platformFeatures\":[\"\"]" to false,
        ).map { (setting, accepted) ->
            dynamicTest(setting) { expectThat(validate(setting).isRight()).isEqualTo(accepted) }
        }
}
