package org.honeyjunction.app.local

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.honeyjunction.app.Settings
import org.honeyjunction.core.model.MachineType
import org.honeyjunction.core.model.Resources
import org.honeyjunction.core.rules.Analysis
import org.honeyjunction.fake.FakeKeyValueStore
import org.honeyjunction.fake.FakeWorker
import org.honeyjunction.fake.LoopbackSettings
import org.honeyjunction.simulation.ClusterSetup
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.amount
import org.honeyjunction.wire.amountOrNull
import org.honeyjunction.wire.count
import org.honeyjunction.wire.fieldOrNull
import org.honeyjunction.wire.list
import org.honeyjunction.wire.text

/** The file of a cluster on loopback: the platform's `params`, and `machine_types` that the stand-in of the cloud rents. */
class LocalSettings(private val params: ObjectNode, zones: List<String>?, private val machines: Int) {
    private val zones: List<String> = zones ?: params.list("zones").map { it.textValue() ?: throw MalformedException("zones is invalid") }
    private val types =
        params.list("machine_types").mapIndexed { i, t ->
            try {
                type(t)
            } catch (e: MalformedException) {
                throw MalformedException("machine_types[$i]: ${e.message}")
            }
        }

    private fun type(t: JsonNode): MachineType {
        val offered = if (zones.isEmpty() || t.fieldOrNull("zones") == null) zones else t.list("zones").map { it.textValue() }
        // A file's zones that are not those of the command line are as good as any.
        val here = offered.filter { it in zones }.ifEmpty { zones }
        return MachineType(
            t.text("name"),
            Resources(t.amount("cpus"), t.amount("gpus"), t.amount("memory_gb")),
            t.amountOrNull("cache_gb") ?: DEFAULT_CACHE_GB,
            t.amountOrNull("fetch_gb_per_s") ?: 1.0,
            t.amountOrNull("price") ?: 1.0,
            t.amountOrNull("spot_price") ?: SPOT_PRICE,
            t.amount("boot_s"),
            here.map(zones::indexOf),
        )
    }

    /** The file that the platform would hand to node [number] of the nodes at [listen]; [peers] are their other addresses. */
    fun forNode(number: Int, listen: List<String>, peers: List<String>, state: String, cloud: String): Settings {
        val o =
            Json
                .newObject()
                .put(
                    "host_name",
                    name(number),
                ).put("zone", zones[number % zones.size])
                .put("api_addr", listen[number])
                .put("peer_listen", peers[number])
        val seeds = o.putArray("seeds")
        for (i in listen.indices) {
            if (i != number) {
                seeds.addObject().put("host_name", name(i)).put("zone", zones[i % zones.size]).put("address", peers[i])
            }
        }
        o.putObject("external").put("cloud", cloud).put("state", state)
        val p = params.deepCopy()
        p.put("nodes", listen.size).putArray("zones").apply { zones.forEach(::add) }
        o.set<JsonNode>("params", p)
        return Settings.parse(o)
    }

    /** For a day in virtual time: the first of the types, and teams whose limits grow with the fleet. */
    fun setup(): ClusterSetup {
        val w = params.fieldOrNull("workers") ?: throw MalformedException("workers is missing")
        val type =
            types.firstOrNull { it.size.gpus > 0 } ?: throw MalformedException("machine_types: a day in virtual time needs one with gpus")
        val teams = params.list("teams").map { it.text("name") }.ifEmpty { throw MalformedException("teams is empty") }
        return ClusterSetup(
            zones,
            type,
            teams.associateWith { machines * type.size.gpus },
            machines * type.size.gpus / teams.size / 2,
            (
                w.amount("report_s") *
                    1000
            ).toLong(),
            (w.amount("lease_s") * 1000).toLong(),
            (w.amount("cancel_s") * 1000).toLong(),
            pageBytes = PAGE_BYTES,
        )
    }

    val zoneNames: List<String> get() = zones
    val teamNames: List<String> get() = params.list("teams").map { it.text("name") }

    /** What the analysis of rules wants to know of the cluster. */
    fun known() =
        Analysis.Inventory(
            params.list("teams").mapTo(HashSet()) { it.text("name") },
            zones.toSet(),
            types.flatMap { t ->
                t.zones.flatMap { z ->
                    listOf(false, true).map { spot ->
                        Analysis.MachineKind(t.name, zones[z], spot, t.size.cpus, t.size.gpus, t.size.memoryGb)
                    }
                }
            },
        )

    /** The same cluster with no team above [gpus]. */
    fun limited(gpus: Double): LocalSettings {
        val p = params.deepCopy()
        p.list("teams").forEach { (it as ObjectNode).put("gpus_max", gpus).put("gpus", gpus / 2) }
        return LocalSettings(p, zones, machines)
    }

    fun name(number: Int) = "hive-$number"

    fun loopback(sample: Settings): LoopbackSettings {
        val w = params.fieldOrNull("workers") ?: throw MalformedException("workers is missing")
        val s = params.fieldOrNull("state") ?: throw MalformedException("state is missing")
        return LoopbackSettings(
            zones,
            sample.cluster.teams,
            types,
            machines,
            FakeWorker.Timing(sample.cluster.leaseMs, (w.amount("gang_wait_s") * 1000).toLong(), (w.amount("gang_peer_s") * 1000).toLong()),
            sample.cluster.heartbeatIntervalMs,
            sample.cluster.cancelMs,
            FakeKeyValueStore.Limits(
                s.amount("rps"),
                s.amount("write_rps"),
                s.count("txn_ops").toInt(),
                (s.amount("value_kb") * 1024).toInt(),
            ),
            sample.cloudRps,
            sample.listLagMs,
        )
    }

    private companion object {
        const val PAGE_BYTES = 3_600
        const val DEFAULT_CACHE_GB = 100.0
        const val SPOT_PRICE = 0.4
    }
}
