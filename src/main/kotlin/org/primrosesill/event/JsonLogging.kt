/*
 * Configures Logback to write the logs of libraries as JSON lines on standard error. A configuration file would load an
 * XML parser at each start of a process, so the configuration is in code. An encoder based on a data binding library
 * would load several hundred more classes, so none is used.
 */
package org.primrosesill.event

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.spi.ContextAwareBase

private const val LEVEL_VARIABLE = "PRIMROSESILL_LOG_LEVEL"

/** Logback configurator, loaded by Logback through its service file. */
public class JsonLogging :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): Configurator.ExecutionStatus {
        val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
        root.level = Level.toLevel(System.getenv(LEVEL_VARIABLE), Level.INFO)
        root.addAppender(standardError(context))
        context.getLogger("io.ktor").level = Level.WARN
        return Configurator.ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    private fun standardError(context: LoggerContext): ConsoleAppender<ILoggingEvent> {
        val encoder = JsonEncoder()
        encoder.context = context
        encoder.setWithMessage(false)
        encoder.setWithArguments(false)
        encoder.setWithFormattedMessage(true)
        encoder.start()
        val appender = ConsoleAppender<ILoggingEvent>()
        appender.context = context
        appender.name = "standardError"
        appender.target = "System.err"
        appender.encoder = encoder
        appender.start()
        return appender
    }
}
