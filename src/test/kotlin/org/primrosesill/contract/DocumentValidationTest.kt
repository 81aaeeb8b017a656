/*
 * Validation of documents. Guards against an invalid contract that comes into force, an error without the location of
 * the invalid value, and a secret in an error message.
 */
package org.primrosesill.contract

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.primrosesill.command.checkDocuments
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.contains
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty

private val hash = "0123456789abcdef".repeat(4)

private fun contractText(customer: String = "valle", hashes: String = "\"$hash\"", more: String = "") =
    """{"customer":"$customer","credentialHashes":[$hashes],"requestsPerSecond":5,"concurrentRequests":4$more}"""

private const val FLEET = """{"availabilityZones":[{"id":"a"}],"pools":[{"id":"stylist","kind":"chat"}]}"""

class DocumentValidationTest {
    private fun pointers(text: String): List<String> {
        val body = Json.parseToJsonElement(text).jsonObject
        val errors =
            if ("pools" in
                body
            ) {
                FleetValidator.validate(body).leftOrNull()
            } else {
                ContractValidator.validate(body).leftOrNull()
            }
        errors?.let {
            expectThat(
                it.toList(),
            ).all { get { found.isNotEmpty() && allowed.isNotEmpty() }.isEqualTo(true) }
        }
        return errors.orEmpty().map { it.pointer }
    }

    @TestFactory
    fun `a document has errors at exactly the pointers where`() =
        listOf(
            Triple("every field is valid", contractText(), emptyList()),
            Triple(
                "required fields are missing",
                """{"customer":"x"}""",
                listOf("/credentialHashes", "/requestsPerSecond", "/concurrentRequests"),
            ),
            Triple("a field is misspelt", contractText(more = ""","brust":3"""), listOf("/brust")),
            Triple(
                "numbers are outside their bounds",
                contractText(more = ""","priority":10,"burst":0"""),
                listOf("/priority", "/burst"),
            ),
            Triple("a number is a string", contractText(more = ""","priority":"1""""), listOf("/priority")),
            Triple("a number is null", contractText(more = ""","tokensPerSecond":null"""), listOf("/tokensPerSecond")),
            Triple(
                "a number is not finite",
                contractText(more = ""","tokensPerSecond":1e999"""),
                listOf("/tokensPerSecond"),
            ),
            Triple(
                "a service occurs twice",
                contractText(more = ""","services":[{"service":"s"},{"service":"s"}]"""),
                listOf("/services/1"),
            ),
            Triple(
                "a method is not in capital letters",
                contractText(more = ""","services":[{"service":"s","repeatableMethods":["get"]}]"""),
                listOf("/services/0/repeatableMethods/0"),
            ),
            Triple(
                "a key expires before its request",
                contractText(more = ""","keyRetentionMillis":5000"""),
                listOf("/keyRetentionMillis"),
            ),
            Triple(
                "every zone is out of service",
                """{"availabilityZones":[{"id":"a","outOfService":true}],"pools":[]}""",
                listOf("/availabilityZones"),
            ),
            Triple(
                "a zone occurs twice",
                """{"availabilityZones":[{"id":"a"},{"id":"a"}],"pools":[]}""",
                listOf("/availabilityZones/1"),
            ),
            Triple(
                "a pool has an unknown kind",
                """{"availabilityZones":[{"id":"a"}],"pools":[{"id":"m","kind":"video"}]}""",
                listOf("/pools/0/kind"),
            ),
        ).map { (name, text, expected) ->
            dynamicTest(name) { expectThat(pointers(text)).containsExactlyInAnyOrder(expected) }
        }

    @TestFactory
    fun `checking several documents together reports`() =
        listOf(
            Triple(
                "nothing for consistent documents",
                listOf(FLEET, contractText(more = ""","models":["stylist"]""")),
                emptyList(),
            ),
            Triple(
                "an unknown model as a warning",
                listOf(FLEET, contractText(more = ""","models":["tailor"]""")),
                listOf(false),
            ),
            Triple(
                "a credential in two contracts as an error",
                listOf(contractText("x"), contractText("y")),
                listOf(true),
            ),
            Triple("text that is not JSON as an error", listOf("{"), listOf(true)),
        ).map { (name, texts, expected) ->
            dynamicTest(name) {
                val findings =
                    checkDocuments(
                        texts.withIndex().associate {
                            "file-${it.index}" to
                                parseDocument(it.value)
                        },
                    )
                expectThat(findings.map { it.isError }).isEqualTo(expected)
            }
        }

    /** Guards against a token, entered in place of its hash, that appears in logs and status pages. */
    @TestFactory
    fun `a credential that is not a hash`() =
        listOf("secret-token", "0123").map { token ->
            dynamicTest("'$token' is not part of an error") {
                val errors =
                    ContractValidator
                        .validate(
                            Json.parseToJsonElement(contractText(hashes = "\"$token\"")).jsonObject,
                        ).leftOrNull()
                expectThat(errors.orEmpty()).isNotEmpty()
                expectThat(errors.toString().contains(token)).isEqualTo(false)
                expectThat(errors.toString()).contains("/credentialHashes/0")
            }
        }
}
