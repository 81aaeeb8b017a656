/*
 * Bearer token authentication for the peer and operator listeners.
 */
package org.primrosesill.http

import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.call
import io.ktor.server.request.header
import io.ktor.server.request.path
import io.ktor.server.response.respond
import java.security.MessageDigest

/** Rejects calls without the bearer [token] with 401, except on [openPaths]. An empty token accepts every call. */
internal fun Application.requireBearerToken(token: String, openPaths: Set<String> = emptySet()) {
    if (token.isEmpty()) return
    val expected = "Bearer $token".encodeToByteArray()
    intercept(ApplicationCallPipeline.Plugins) {
        if (call.request.path() in openPaths) return@intercept
        val provided =
            call.request
                .header(HttpHeaders.Authorization)
                .orEmpty()
                .encodeToByteArray()
        // A constant-time comparison, so that the response time does not reveal the length of a matching prefix.
        if (!MessageDigest.isEqual(expected, provided)) {
            call.respond(HttpStatusCode.Unauthorized)
            finish()
        }
    }
}
