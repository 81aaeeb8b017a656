/*
 * Configurations of the platform with many routes and accounts, and changes of them.
 */
package org.primrosesill.gateway

import kotlin.random.Random

/**
 * The parts of a configuration as JSON texts.
 *
 * @property accounts the keys of each account
 */
data class TestConfiguration(val version: Long, val routes: List<String>, val accounts: List<List<String>>) {
    val text: String
        get() {
            val accountTexts =
                accounts.mapIndexed { index, keys ->
                    """{"name":"account-$index","api_keys":[${keys.joinToString(",") { "\"$it\"" }}],"priority":1}"""
                }
            return """{"version":$version,"routes":[${routes.joinToString(",")}],"services":[$SERVICE],""" +
                """"limits":$LIMITS,"tenants":[${accountTexts.joinToString(",")}]}"""
        }

    fun withoutKey(account: Int): TestConfiguration =
        copy(accounts = accounts.mapIndexed { index, keys -> if (index == account) keys.drop(1) else keys })

    fun withoutAccountKeys(account: Int): TestConfiguration =
        copy(accounts = accounts.mapIndexed { index, keys -> if (index == account) emptyList() else keys })

    fun withTimeout(route: Int): TestConfiguration =
        copy(
            routes =
                routes.mapIndexed { index, text ->
                    if (index == route) text.replace("\"timeout_ms\":3000", "\"timeout_ms\":2500") else text
                },
        )

    fun withoutRoute(route: Int): TestConfiguration = copy(routes = routes.filterIndexed { index, _ -> index != route })

    /** Returns the next version, with a random change. */
    fun changed(random: Random): TestConfiguration {
        val account = random.nextInt(accounts.size)
        val changed =
            when (random.nextInt(5)) {
                0 -> withoutKey(account)
                1 -> withoutAccountKeys(account)
                2 -> if (routes.size > 1) withoutRoute(random.nextInt(routes.size)) else this
                3 -> copy(routes = routes.shuffled(random))
                else -> withRoutes(random.nextInt(20))
            }
        return changed.copy(version = version + 1)
    }

    fun withRoutes(count: Int): TestConfiguration =
        copy(routes = routes + List(count) { routeText(routes.size + it, Random(routes.size + it)) })
}

/** Returns version 1 of a configuration with [routes] routes and [accounts] accounts of a few keys each. */
fun testConfiguration(routes: Int, accounts: Int): TestConfiguration {
    val random = Random(1)
    return TestConfiguration(
        version = 1,
        routes = List(routes) { routeText(it, random) },
        accounts = List(accounts) { List(KEYS_PER_ACCOUNT) { word(random) } },
    )
}

private fun routeText(number: Int, random: Random): String =
    """{"name":"r-$number","host":"${word(random)}.example","path_prefix":"/${word(random)}/","type":"safe",""" +
        """"timeout_ms":3000,"target_latency_ms":608,"priority":1,"service":"s","attempts":2,"anonymous":false,""" +
        """"affinity":false,"resumable":false}"""

private fun word(random: Random) = String(CharArray(WORD_LENGTH) { 'a' + random.nextInt(LETTERS) })

private const val KEYS_PER_ACCOUNT = 4
private const val WORD_LENGTH = 12
private const val LETTERS = 26
private const val SERVICE =
    """{"name":"s","health_path":"/healthz","max_conns":700,"warmup_s":0.0,"warmup_per_s":0.0}"""
private const val LIMITS =
    """{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}"""
