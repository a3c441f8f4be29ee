package org.honeyjunction.simulation

import org.honeyjunction.core.model.Cluster
import org.honeyjunction.core.model.MachineType
import org.honeyjunction.core.model.NameTable
import org.honeyjunction.core.model.Resources
import org.honeyjunction.core.model.Team

/** Size and settings of a [SimulatedCluster]; times in milliseconds, [limits] and [guarantee] in accelerators for each team. */
class ClusterSetup(
    val zones: List<String> = listOf("x", "y"),
    val type: MachineType = MachineType("t4", Resources(4.0, 4.0, 4.0), 50.0, 1.0, 8.0, 3.0, 5.0, zones.indices.toList()),
    val limits: Map<String, Double> = mapOf("a" to 10.0, "b" to 16.0),
    val guarantee: Double = 8.0,
    val reportMs: Long = 2_000,
    val workerLeaseMs: Long = 12_000,
    val cancelMs: Long = 37_000,
    val listLagMs: Long = 4_000,
    val pageBytes: Int = 600,
) {
    /** The limits of the teams as resources; processors and memory are not limited. */
    val teamLimits: Map<String, Resources> get() = limits.mapValues { (_, gpus) -> Resources(0.0, gpus, 0.0) }

    /** Creates the cluster model with which a leader starts. */
    fun cluster(): Cluster {
        val zoneNames = NameTable()
        zones.forEach(zoneNames::index)
        val teams = teamLimits.map { (name, limit) -> Team(name, Resources(0.0, guarantee, 0.0), limit) }
        val cluster = Cluster(zoneNames, teams, workerLeaseMs, reportMs, cancelMs, pageBytes = pageBytes)
        cluster.types[cluster.typeNames.index(type.name)] = type
        return cluster
    }
}
