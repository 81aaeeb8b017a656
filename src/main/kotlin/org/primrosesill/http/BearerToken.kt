/*
 * The check of the bearer token on the peer and operator listeners.
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

/** Answers every call without the bearer [token] with 401, but for [openPaths]. An empty token admits every call. */
internal fun Application.requireBearerToken(token: String, openPaths: Set<String> = emptySet()) {
    if (token.isEmpty()) return
    val expected = "Bearer $token".encodeToByteArray()
    intercept(ApplicationCallPipeline.Plugins) {
        if (call.request.path() in openPaths) return@intercept
        val found =
            call.request
                .header(HttpHeaders.Authorization)
                .orEmpty()
                .encodeToByteArray()
        // The comparison takes the same time for every wrong token, so that its length of agreement does not show.
        if (!MessageDigest.isEqual(expected, found)) {
            call.respond(HttpStatusCode.Unauthorized)
            finish()
        }
    }
}
