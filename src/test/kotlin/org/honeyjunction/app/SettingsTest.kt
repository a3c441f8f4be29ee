package org.honeyjunction.app

import com.fasterxml.jackson.databind.node.ObjectNode
import org.honeyjunction.core.control.leader.Tuning
import org.honeyjunction.wire.CloudCodec
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.MalformedException
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

class SettingsTest {
    private val platform = """{"host_name":"n0","zone":"a","api_addr":"10.0.0.1:8080","peer_listen":"10.0.0.1:8081","unknown":{},
        "seeds":[{"host_name":"n1","zone":"b","address":"10.0.0.2:8081"}],"external":{"cloud":"10.2.0.2:1","state":"10.2.0.1:2"},
        "params":{"nodes":2,"zones":["a","b"],"teams":[{"name":"t","cpus":0.0,"cpus_max":0.0,"gpus":4.0,"gpus_max":8.0}],
        "workers":{"report_s":3.0,"lease_s":28.0,"gang_wait_s":30.0,"gang_peer_s":5.0,"cancel_s":53.0},
        "state":{"rps":250.0,"write_rps":15.0,"value_kb":4.0,"txn_ops":8},"cloud":{"rps":3.0,"list_lag_s":4.0},
        "machine_limits":{"core_share":0.3,"ram_mb":268.0,"max_sockets":1500},"skew_ms":250.0}}"""

    private fun file() = Json.readObject(platform.toByteArray())

    @Test
    fun `the platform's file`() {
        val settings = Settings.parse(file())
        assertEquals("n0", settings.node)
        assertEquals(28_000L, settings.cluster.leaseMs)
        assertEquals(8.0, settings.cluster.teams.single().limit.gpus)
        assertEquals(2, settings.stateLimits.nodes)
    }

    @ParameterizedTest
    @CsvSource("53, 28, 0", "31, 28, 0", "29, 28, 1", "20, 28, 1")
    fun `settings that leave cancellations no room get a warning of one line`(cancelS: Double, leaseS: Double, warnings: Int) {
        val file = file()
        (file.at("/params/workers") as ObjectNode).put("cancel_s", cancelS).put("lease_s", leaseS)
        val lines = Settings.parse(file).warnings
        assertEquals(warnings, lines.size)
        lines.forEach { assertTrue(it.startsWith("params.workers: cancel_s $cancelS") && '\n' !in it, it) }
    }

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = [
            "/params/zones|[]", "/params/zones|[\"a\",\"a\"]", "/params/teams/0/gpus|\"4\"", "/params/machine_limits/max_sockets|-1",
            "/host_name|null", "/api_addr|\"localhost:80\"", "/api_addr|\"10.0.0.1\"", "/external|7", "/external/state|null",
            "/params/zones|\"a\"", "/params/teams|null", "/params/workers/lease_s|-1", "/params/workers/report_s|\"3\"",
            "/params/state/write_rps|0", "/params/state/txn_ops|1.5", "/params/cloud|null",
        ],
    )
    fun `a bad field is named`(path: String, value: String) {
        val file = file()
        val parent = file.at(path.substringBeforeLast('/')) as ObjectNode
        val name = path.substringAfterLast('/')
        parent.set<ObjectNode>(name, Json.read(value.toByteArray()))
        val error = assertThrows(MalformedException::class.java) { Settings.parse(file) }
        // Array positions stand in brackets, and the path of the field is whole.
        val fieldPath = path.drop(1).replace(Regex("/([0-9]+)"), "[$1]").replace('/', '.')
        assertTrue(error.message!!.startsWith(fieldPath), "${error.message} for $fieldPath")
    }

    @Test
    fun `zones and types that are bits of a mask are refused beyond 64`() {
        // The 65th zone would pass for the first, and a task be started where it must not be.
        val file = file()

        fun zones(count: Int) = (file.get("params") as ObjectNode).putArray("zones").apply { repeat(count) { add("z$it") } }
        zones(64)
        assertEquals(64, Settings.parse(file).cluster.zones.size)
        zones(65)
        assertTrue("64" in assertThrows(MalformedException::class.java) { Settings.parse(file) }.message!!)
        val cluster = Settings.parse(file()).cluster

        fun type(number: Int, zone: String) =
            """{"Sku":"t$number","Vcpus":1,"Gpus":0,"MemoryGb":1,"CacheGb":1,"FetchGbPerS":1,"Hourly":1,"LowPrice":1,"StartupS":1,""" +
                """"Meadows":["$zone"]}"""

        fun types(count: Int, zone: (Int) -> String): ByteArray {
            val kinds = (0 until count).joinToString(",") { type(it, zone(it)) }
            return """{"HiveKinds":[$kinds]}""".toByteArray()
        }
        assertEquals(64, CloudCodec.machineTypes(types(64) { "a" }, cluster).size)
        assertThrows(MalformedException::class.java) { CloudCodec.machineTypes(types(65) { "a" }, cluster) }
        assertThrows(MalformedException::class.java) { CloudCodec.machineTypes(types(64) { "zone-$it" }, cluster) }
    }

    @Test
    fun `operators may set some and leave the rest`() {
        val tuning = OperatorSettings.parse(Json.read("""{"round_ms":2000,"cost":{"alpha":2.5}}""".toByteArray()))
        assertEquals(2000L, tuning.placementIntervalMs)
        assertEquals(2.5, tuning.cost.alpha)
        assertEquals(Tuning().idleMs, tuning.idleMs)
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = ["{\"round_ms\":\"x\"}", "{\"round_ms\":1}", "{\"rounds\":5}", "{\"cost\":{\"alpha\":-1}}"])
    fun `operators' settings against the schema`(text: String) {
        assertThrows(MalformedException::class.java) { OperatorSettings.parse(Json.read(text.toByteArray())) }
    }
}
