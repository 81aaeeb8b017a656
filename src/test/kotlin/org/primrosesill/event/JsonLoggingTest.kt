/*
 * Tests the format of the log lines of libraries.
 */
package org.primrosesill.event

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.classic.spi.LoggingEvent
import ch.qos.logback.core.ConsoleAppender
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.Test
import org.slf4j.helpers.NOPMDCAdapter
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class JsonLoggingTest {
    // Guards against log lines that a JSON lines parser rejects, such as those of Logback's default layout.
    @Test
    fun `a log event of a library is one JSON object on one line`() {
        val context = LoggerContext()
        context.mdcAdapter = NOPMDCAdapter()
        JsonLogging().apply { this.context = context }.configure(context)
        val root = context.getLogger("ROOT")
        val appender = root.getAppender("standardError") as ConsoleAppender<ILoggingEvent>
        val event =
            LoggingEvent(
                "",
                context.getLogger("io.library"),
                Level.WARN,
                "first\nsecond",
                IllegalStateException("x"),
                null,
            )
        val text = appender.encoder.encode(event).decodeToString()
        expectThat(text.trimEnd('\n').count { it == '\n' }).isEqualTo(0)
        val line = Json.parseToJsonElement(text).jsonObject
        expectThat(line["level"]?.jsonPrimitive?.content).isEqualTo("WARN")
        expectThat(line["formattedMessage"]?.jsonPrimitive?.content).isEqualTo("first\nsecond")
        expectThat(context.getLogger("io.ktor").level).isEqualTo(Level.WARN)
    }
}
