/*
 * Forwarding of header fields, and decoding of those that the gateway interprets.
 */
package org.primrosesill.platform

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.primrosesill.forwarding.InboundRequest
import org.primrosesill.forwarding.UpstreamRequestMetadata
import org.primrosesill.load.MalformedLoad
import org.primrosesill.load.ReportedLoad
import org.primrosesill.model.CustomerId
import org.primrosesill.model.HeaderFields
import org.primrosesill.model.RequestId
import org.primrosesill.model.UpstreamId
import org.primrosesill.model.headerFieldsOf
import org.primrosesill.placement.PromptPart
import org.primrosesill.placement.PromptPartId
import org.primrosesill.request.HeadMatch
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

class PlatformHeaderProtocolTest {
    private val protocol = platformHeaderProtocol()

    private fun request(fields: HeaderFields) =
        InboundRequest("POST", "/a", fields, ByteArray(0), TimeSource.Monotonic.markNow())

    private fun requestMetadata(lastEventId: String? = null) =
        UpstreamRequestMetadata(
            UpstreamId("i-1"),
            CustomerId("c"),
            1_234.milliseconds,
            priority = 2,
            lastEventId,
            prefixSource = "10.0.0.2:80",
        )

    private class Case(
        val name: String,
        val sent: List<Pair<String, String>>,
        val forwarded: List<Pair<String, String>>,
    )

    // Guards against a caller that sets the gateway's own fields, and against fields that are lost in forwarding.
    @TestFactory
    fun `header fields of the caller are forwarded unless they are hop-by-hop or reserved`(): List<DynamicTest> {
        val reserved =
            listOf(
                "X-Tenant",
                "x-expect-instance",
                "X-Priority-Class",
                "X-Expect-Version",
                "X-Pin-Ms",
                "X-Kv-Retain",
                "X-Kv-Backup",
                "Kv-From",
                "Kv-Fetch",
                "X-Deadline-Ms",
                "Authorization",
            )
        val hopByHop =
            listOf(
                "Connection",
                "Keep-Alive",
                "TE",
                "Trailer",
                "Transfer-Encoding",
                "Upgrade",
                "Proxy-Connection",
                "Expect",
            )
        return listOf(
            Case("reserved", reserved.map { it to "caller" }, emptyList()),
            Case("hop-by-hop", hopByHop.map { it to "x" }, emptyList()),
            Case(
                "listed in Connection",
                listOf("Connection" to "close, X-Extra", "X-Extra" to "1", "X-Kept" to "2"),
                listOf("X-Kept" to "2"),
            ),
            Case(
                "the system's own, listed in Connection",
                listOf("Connection" to "X-Attempt-Id, X-Model", "X-Attempt-Id" to "r", "X-Model" to "m"),
                listOf("X-Attempt-Id" to "r", "X-Model" to "m"),
            ),
            Case(
                "all others, in order and unchanged",
                listOf("accept" to "a", "X-b" to "1", "X-b" to "2", "Cookie" to "c=d"),
                listOf("accept" to "a", "X-b" to "1", "X-b" to "2", "Cookie" to "c=d"),
            ),
        ).map { case ->
            dynamicTest(case.name) {
                val fields =
                    protocol.upstreamRequestHeaders(
                        request(headerFieldsOf(*case.sent.toTypedArray())),
                        requestMetadata(),
                    )
                val added =
                    listOf(
                        "X-Deadline-Ms" to "1234",
                        "X-Expect-Instance" to "i-1",
                        "X-Tenant" to "c",
                        "X-Priority-Class" to "2",
                        "Kv-Fetch" to "10.0.0.2:80",
                    )
                expectThat(fields.map { it.name to it.value }).isEqualTo(case.forwarded + added)
            }
        }
    }

    // Guards against a stream that is resumed after the wrong event.
    @Test
    fun `the caller's last event id is forwarded until the stream is resumed elsewhere`() {
        val sent = request(headerFieldsOf("Last-Event-Id" to "3"))
        expectThat(protocol.upstreamRequestHeaders(sent, requestMetadata()).all("Last-Event-Id")).isEqualTo(listOf("3"))
        expectThat(
            protocol.upstreamRequestHeaders(sent, requestMetadata(lastEventId = "7")).all("Last-Event-Id"),
        ).isEqualTo(listOf("7"))
    }

    // Guards against requests that are placed by wrongly parsed prompt parts.
    @TestFactory
    fun `a prompt is parsed completely or not at all`(): List<DynamicTest> =
        listOf(
            Triple(
                "1460,80",
                "5c:800,91:410",
                listOf(PromptPart(PromptPartId("5c"), 800), PromptPart(PromptPartId("91"), 410)),
            ),
            Triple("1460,80", "", emptyList()),
            Triple("1460", "5c:800", null),
            Triple("x,80", "5c:800", null),
            Triple("1460,80", "5c:x", null),
        ).map { (tokens, parts, expected) ->
            dynamicTest("'$tokens' and '$parts'") {
                val metadata =
                    protocol.parse(
                        request(headerFieldsOf("X-Token-Usage" to tokens, "X-Prefix-Hash" to parts)),
                    )
                expectThat(metadata.prompt?.parts).isEqualTo(expected)
            }
        }

    // Guards against a response that is forwarded, or a request that is retried, contrary to the response's fields.
    @Test
    fun `execution, signature and load are read from the response`() {
        val executed = protocol.parse(200, headerFieldsOf("X-Server-Signature" to "s", "X-Server-Load" to "3,1,8"))
        expectThat(executed.signed to executed.notRun).isEqualTo(true to false)
        expectThat(executed.load).isEqualTo(ReportedLoad(3, 1, 8))
        expectThat(protocol.parse(503, headerFieldsOf("X-Not-Executed" to "1")).notRun).isEqualTo(true)
        expectThat(protocol.parse(503, HeaderFields()).notRun).isEqualTo(false)
        expectThat(protocol.parse(421, HeaderFields()).notRun).isEqualTo(true)
        expectThat(protocol.parse(200, headerFieldsOf("Content-Encoding" to "gzip")).contentEncoded).isEqualTo(true)
        expectThat(protocol.parse(200, HeaderFields()).load).isNull()
    }

    // Guards against load reports that are dropped, so that no gateway knows any load, and against figures that no upstream can
    // have and that would divert all requests.
    @TestFactory
    fun `load reports with three or four figures are read`(): List<DynamicTest> =
        listOf(
            "3,1,8" to ReportedLoad(3, 1, 8),
            " 3 , 1 , 8 " to ReportedLoad(3, 1, 8),
            "3,1,8,100" to ReportedLoad(3, 1, 8, slowness = 1.0),
            "3,1,8,250" to ReportedLoad(3, 1, 8, slowness = 2.5),
            "100000,0,1,100000" to ReportedLoad(100_000, 0, 1, slowness = 1_000.0),
            "3,1" to null,
            "3,1,8,100,1" to null,
            "3,x,8" to null,
            "3,1,8,x" to null,
            "3,1,8," to null,
            "" to null,
            "-1,0,8" to null,
            "3,1,8,-100" to null,
            "3,1,0" to null,
            "3,1,8,0" to null,
            "100001,0,8" to null,
            "3,1,8,100001" to null,
            "99999999999,0,8" to null,
            "1,".repeat(100_000) to null,
        ).map { (text, expected) ->
            dynamicTest("'${text.take(20)}'") {
                expectThat(protocol.parse(200, headerFieldsOf("X-Server-Load" to text)).load)
                    .isEqualTo(expected ?: MalformedLoad(text))
            }
        }

    // Guards against requests to an upstream that sent Retry-After, and against one that is excluded by mistake.
    @TestFactory
    fun `Retry-After is read from a 503 response in seconds`(): List<DynamicTest> =
        listOf(
            Triple(503, "2", 2.seconds),
            Triple(503, " 0.25 ", 250.milliseconds),
            Triple(503, "0", 0.seconds),
            Triple(503, "86400", 86_400.seconds),
            Triple(503, "-1", null),
            Triple(503, "1e9", null),
            Triple(503, "NaN", null),
            Triple(503, "", null),
            Triple(503, "9".repeat(40), null),
            Triple(503, "Fri, 31 Dec 2027 23:59:59 GMT", null),
            Triple(429, "2", null),
            Triple(200, "2", null),
        ).map { (status, value, expected) ->
            dynamicTest("$status with '${value.take(20)}'") {
                expectThat(protocol.parse(status, headerFieldsOf("Retry-After" to value)).retryDelay)
                    .isEqualTo(expected)
            }
        }

    // Guards against a request to an upstream that has announced that it will stop.
    @Test
    fun `Server-Leaving is read from the response`() {
        val values = mapOf("1" to true, " 1 " to true, "0" to false, "" to false, "yes" to false)
        values.forEach { (value, leaving) ->
            val metadata = protocol.parse(200, headerFieldsOf("Server-Leaving" to value))
            expectThat(metadata.leaving).describedAs("'$value'").isEqualTo(leaving)
        }
        expectThat(protocol.parse(200, HeaderFields()).leaving).isEqualTo(false)
    }

    // Guards against a response to another request.
    @Test
    fun `a response belongs to the request whose id it repeats`() {
        val id = RequestId("r1")
        expectThat(protocol.matchRequest(id, headerFieldsOf("X-Attempt-Id" to "r1"))).isEqualTo(HeadMatch.THIS_CALL)
        expectThat(protocol.matchRequest(id, headerFieldsOf("X-Attempt-Id" to "r2"))).isEqualTo(HeadMatch.OTHER_CALL)
        expectThat(protocol.matchRequest(id, headerFieldsOf())).isEqualTo(HeadMatch.UNKNOWN)
        expectThat(
            protocol.matchRequest(id, headerFieldsOf("X-Attempt-Id" to "r1", "X-Attempt-Id" to "r2")),
        ).isEqualTo(HeadMatch.OTHER_CALL)
    }
}
