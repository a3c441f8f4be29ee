package org.honeyjunction.app

import org.honeyjunction.app.local.LocalSettings
import org.honeyjunction.app.local.Search
import org.honeyjunction.app.local.VirtualCluster
import org.honeyjunction.core.control.Tuning
import org.honeyjunction.wire.Json
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Whole controllers in virtual time: several at once, with users, and troubles that meet. */
class SearchTest {
    private val settings = LocalSettings(Json.readObject(javaClass.classLoader.getResource("local/settings.json")!!.readBytes()), null, 10)
    private val tuning = Tuning(idleMs = 6_000, forecastMs = 20_000)
    private val cluster = VirtualCluster(settings, 3, tuning)
    private fun search() = Search(cluster, 3, listOf("rambla", "ciudad-vieja"), listOf("blend-team", "desk"))

    @Test
    fun `days with troubles that meet, by seed`() {
        val search = search()
        val from = System.getProperty("from")?.toLong() ?: 1
        val days = System.getProperty("days")?.toLong() ?: 20
        val found = (from until from + days).mapNotNull { seed ->
            val day = search.draw(seed)
            val began = System.nanoTime()
            val played = cluster.play(day)
            println("$seed: ${(System.nanoTime() - began) / 1_000_000} ms, virtual ${played.virtualMs}, ${played.terms} terms, ${played.cancelled} cancelled, ${played.starts} starts; ${played.broken} ${played.unserved} ${day.faults}")
            if (played.good) null else "$seed ${played.why}"
        }
        assertEquals(emptyList<String>(), found)
    }
}
