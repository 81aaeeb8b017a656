/*
 * The JSON form of the messages between the processes of the system.
 */
package org.primrosesill.http

import kotlinx.serialization.json.Json

/**
 * Defaults and nulls are left out to save bytes. Unknown fields are ignored, because two releases run side by side while
 * the fleet is upgraded.
 */
public val messageJson: Json =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = false
        explicitNulls = false
    }
