/*
 * JSON encoding of the messages between the processes of the system.
 */
package org.primrosesill.http

import kotlinx.serialization.json.Json

/**
 * Omits defaults and nulls to save bytes. Ignores unknown fields, because two releases run side by side during a
 * rolling upgrade of the fleet.
 */
public val messageJson: Json =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = false
        explicitNulls = false
    }
