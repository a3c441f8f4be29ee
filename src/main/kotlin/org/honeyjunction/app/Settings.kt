package org.honeyjunction.app

import com.fasterxml.jackson.databind.JsonNode
import org.honeyjunction.core.lease.RenewalBound
import org.honeyjunction.core.model.Cluster
import org.honeyjunction.core.model.NameTable
import org.honeyjunction.core.model.Resources
import org.honeyjunction.core.model.Team
import org.honeyjunction.io.StateLimits
import org.honeyjunction.io.socketAddress
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.amount
import org.honeyjunction.wire.amountOrNull
import org.honeyjunction.wire.count
import org.honeyjunction.wire.fieldOrNull
import org.honeyjunction.wire.list
import org.honeyjunction.wire.listOrEmpty
import org.honeyjunction.wire.text
import org.honeyjunction.wire.textOrNull
import java.nio.file.Path

/** Another controller: its name, and the address at which it listens for controllers. */
class Peer(val name: String, val address: String)

/**
 * The platform's settings file, validated; unknown fields are ignored. Addresses are `host:port`. [stateLimits] and [cloudRps] are the
 * limits of the state service and the cloud, [listLagMs] is how far the cloud's list of machines may lag behind, in milliseconds.
 */
class Settings(
    val node: String,
    val listen: String,
    val peerListen: String,
    val peers: List<Peer>,
    val cloud: String,
    val state: String,
    val cluster: Cluster,
    val stateLimits: StateLimits,
    val cloudRps: Double,
    val listLagMs: Long,
    val maxSockets: Int,
    /** The bound of the wall clock's error, in milliseconds. */
    val skewMs: Long = 0,
) {
    /** Settings that are valid but leave the service no slack; one line each. */
    val warnings: List<String>
        get() = if (RenewalBound.cancellationBudgetMs(cluster.cancelMs, cluster.leaseMs) > 0) emptyList() else listOf(unboundedCancellation)

    private val unboundedCancellation
        get() =
            "$WORKERS: cancel_s ${cluster.cancelMs / 1000.0} leaves no room beside lease_s ${cluster.leaseMs / 1000.0}: a " +
                "cancellation is confirmed only when all tasks of the job are gone"

    companion object {
        /** The settings in [file]; throws [MalformedException] with the path of the wrong field, or [BadFileException]. */
        fun read(file: Path): Settings = parse(Json.readObject(Files.bytes(file)))

        /** The settings in [file]'s object; throws [MalformedException] with the path of the wrong field. */
        fun parse(file: JsonNode): Settings {
            val params = part(file, "params")
            val external = part(file, "external")
            val workers = part(params, "workers", "params.")
            val state = part(params, "state", "params.")
            val cloud = part(params, "cloud", "params.")
            val limits = params.fieldOrNull("machine_limits")
            val sockets = within("params.machine_limits") { limits?.amountOrNull("max_sockets") }?.toInt() ?: DEFAULT_SOCKETS
            val peers = each(file.listOrEmpty("seeds"), "seeds") { Peer(it.text("host_name"), address(it, "address")) }
            val cluster = cluster(params, workers, state, sockets)
            val stateLimits = within(STATE) { stateLimits(state, controllers = peers.size + 1) }
            return Settings(
                file.text("host_name"),
                address(file, "api_addr"),
                address(file, "peer_listen"),
                peers,
                within("external") { address(external, "cloud") },
                within("external") { address(external, "state") },
                cluster,
                stateLimits,
                within(CLOUD) { positive(cloud, "rps") },
                within(CLOUD) { millis(cloud, "list_lag_s") },
                sockets,
                within("params") { params.amountOrNull("skew_ms") }?.toLong() ?: 0,
            )
        }

        private fun cluster(params: JsonNode, workers: JsonNode, state: JsonNode, sockets: Int) =
            Cluster(
                within("params") { zones(params) },
                within("params") { each(params.list("teams"), "teams", ::team) },
                leaseMs = within(WORKERS) { millis(workers, "lease_s") },
                heartbeatIntervalMs = within(WORKERS) { millis(workers, "report_s") },
                cancelMs = within(WORKERS) { millis(workers, "cancel_s") },
                pageBytes = within(STATE) { pageBytes(state) },
                pageWriteIntervalMs = within(STATE) { pageGapMs(state) },
                maxCommandsInFlight = (sockets * SENDS_SHARE).toInt().coerceAtLeast(1),
                startWithinS = within("params") { startWithinS(params) },
            )

        private fun pageBytes(state: JsonNode) = (minOf(state.amount("value_kb") * 1024, MAX_PAGE_BYTES) * PAGE_FILL).toInt()

        private fun pageGapMs(state: JsonNode) =
            (1000 / (positive(state, "write_rps") * PAGE_SHARE)).toLong().coerceAtLeast(MIN_PAGE_GAP_MS)

        /** Service-level objectives by class: the seconds within which its jobs are to start. */
        private fun startWithinS(params: JsonNode): Map<String, Double> {
            val objectives = params.listOrEmpty("objectives").filter { it.textOrNull("kind") == "wait" }
            return each(objectives, "objectives") { it.text("class") to it.amount("within_s") }.toMap()
        }

        private fun stateLimits(state: JsonNode, controllers: Int) =
            StateLimits(
                positive(state, "rps"),
                positive(state, "write_rps"),
                state.count("txn_ops").toInt().coerceAtLeast(1),
                controllers,
                (state.amount("value_kb") * 1024).toInt(),
            )

        /** Puts [path] in front of the errors of [read], so that they name the whole path of a field. */
        private inline fun <T> within(path: String, read: () -> T): T =
            try {
                read()
            } catch (e: MalformedException) {
                throw MalformedException("$path.${e.message}")
            }

        private fun <T> each(all: List<JsonNode>, path: String, read: (JsonNode) -> T): List<T> =
            all.mapIndexed { i, item -> within("$path[$i]") { read(item) } }

        private fun zones(params: JsonNode): NameTable {
            val zones = params.list("zones").map { it.textValue()?.takeIf(String::isNotEmpty) ?: invalid("zones") }
            if (zones.size !in 1..Cluster.MAX_ZONES) {
                throw MalformedException("zones has ${zones.size} entries, but must have 1 to ${Cluster.MAX_ZONES}")
            }
            zones.groupBy { it }.values.firstOrNull { it.size > 1 }?.let { throw MalformedException("zones has ${it[0]} twice") }
            return NameTable().also { names -> zones.forEach(names::index) }
        }

        private fun team(team: JsonNode) =
            Team(
                team.text("name"),
                Resources(team.amountOrNull("cpus") ?: 0.0, team.amountOrNull("gpus") ?: 0.0, 0.0),
                Resources(team.amountOrNull("cpus_max") ?: 0.0, team.amountOrNull("gpus_max") ?: 0.0, 0.0),
            )

        private fun part(parent: JsonNode, name: String, path: String = "") =
            parent.fieldOrNull(name)?.takeIf { it.isObject } ?: invalid("$path$name")

        private fun positive(part: JsonNode, name: String) = part.amount(name).takeIf { it > 0 } ?: invalid(name)

        private fun millis(part: JsonNode, name: String) = (part.amount(name) * 1000).toLong()

        private fun address(part: JsonNode, name: String): String =
            part.text(name).also {
                try {
                    socketAddress(it)
                } catch (e: IllegalArgumentException) {
                    throw MalformedException("$name: ${e.message}")
                }
            }

        private fun invalid(name: String): Nothing = throw MalformedException("$name is missing or invalid")

        private const val WORKERS = "params.workers"
        private const val STATE = "params.state"
        private const val CLOUD = "params.cloud"
        private const val DEFAULT_SOCKETS = 1000

        /** Larger pages would only cost more to write again. */
        private const val MAX_PAGE_BYTES = 8192.0
        private const val PAGE_FILL = 0.9

        /** The placement journal's part of the changes that the state service allows. */
        private const val PAGE_SHARE = 0.3
        private const val MIN_PAGE_GAP_MS = 50L

        /** Commands to workers in flight, as a part of all sockets. */
        private const val SENDS_SHARE = 0.1
    }
}
