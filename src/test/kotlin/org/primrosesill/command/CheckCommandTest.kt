/*
 * Tests the check command. Guards against an invalid document that is accepted, and against output that lacks the
 * location, the invalid value or the allowed values.
 */
package org.primrosesill.command

import com.github.ajalt.clikt.testing.test
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.io.TempDir
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.nio.file.Path
import kotlin.io.path.writeText

class CheckCommandTest {
    @TempDir
    private lateinit var directory: Path

    private val fleet = """{"availabilityZones":[{"id":"a"}],"pools":[]}"""

    @TestFactory
    fun `the check command`() =
        listOf(
            Triple("accepts a valid document", fleet to emptyList(), 0 to "1 checked, 0 errors"),
            Triple(
                "rejects a document with an error",
                """{"customer":"x"}""" to emptyList(),
                1 to "/concurrentRequests: found nothing, allowed: a whole number",
            ),
            Triple(
                "prints JSON",
                """{"pools":1}""" to listOf("--json"),
                1 to """"pointer":"/pools","found":"1","allowed":"a list of 0 to 256 entries"}""",
            ),
        ).map { (name, input, expected) ->
            dynamicTest(name) {
                val file = directory.resolve("document.json").also { it.writeText(input.first) }
                val result = CheckCommand().test(input.second + file.toString())
                expectThat(result.statusCode).isEqualTo(expected.first)
                expectThat(result.output).contains(expected.second)
            }
        }
}
