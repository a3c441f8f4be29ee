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

/** Another controller: its name, and the address at which it listens for other controllers. */
class Peer(val name: String, val address: String)

/**
 * The platform's settings, validated. Unknown fields of the file are ignored. Addresses have the form `host:port`.
 *
 * @property node this controller's name
 * @property listen the address of the HTTP API
 * @property peerListen the address for requests of other controllers
 * @property peers the other controllers
 * @property cloud the cloud's address
 * @property state the state service's address
 * @property cluster the zones, teams and limits of the cluster
 * @property stateLimits the request, write and size limits of the state service
 * @property cloudRps the cloud's limit of requests per second
 * @property listLagMs how far the cloud's list of machines may lag behind, in milliseconds
 * @property maxSockets the number of sockets that this process may have open
 * @property skewMs the bound of the wall clock's error, in milliseconds
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
    val skewMs: Long = 0,
) {
    /** Warnings about settings that are valid but leave no margin; one line each. */
    val warnings: List<String>
        get() = if (RenewalBound.cancellationBudgetMs(cluster.cancelMs, cluster.leaseMs) > 0) emptyList() else listOf(unboundedCancellation)

    private val unboundedCancellation
        get() =
            "$WORKERS: cancel_s ${cluster.cancelMs / 1000.0} leaves no margin over lease_s ${cluster.leaseMs / 1000.0}: a " +
                "cancellation is confirmed only after all tasks of the job have ended"

    companion object {
        /** Reads [file]; throws [MalformedException] with the path of an invalid field, or [UnreadableFileException]. */
        fun read(file: Path): Settings = parse(Json.readObject(Files.bytes(file)))

        /** Reads the content [file] of a settings file; throws [MalformedException] with the path of an invalid field. */
        fun parse(file: JsonNode): Settings {
            val params = section(file, "params")
            val external = section(file, "external")
            val workers = section(params, "workers", "params.")
            val state = section(params, "state", "params.")
            val cloud = section(params, "cloud", "params.")
            val limits = params.fieldOrNull("machine_limits")
            val sockets = withPath("params.machine_limits") { limits?.amountOrNull("max_sockets") }?.toInt() ?: DEFAULT_MAX_SOCKETS
            val peers = readEach(file.listOrEmpty("seeds"), "seeds") { Peer(it.text("host_name"), address(it, "address")) }
            val cluster = cluster(params, workers, state, sockets)
            val stateLimits = withPath(STATE) { stateLimits(state, controllers = peers.size + 1) }
            return Settings(
                file.text("host_name"),
                address(file, "api_addr"),
                address(file, "peer_listen"),
                peers,
                withPath("external") { address(external, "cloud") },
                withPath("external") { address(external, "state") },
                cluster,
                stateLimits,
                withPath(CLOUD) { positive(cloud, "rps") },
                withPath(CLOUD) { millis(cloud, "list_lag_s") },
                sockets,
                withPath("params") { params.amountOrNull("skew_ms") }?.toLong() ?: 0,
            )
        }

        private fun cluster(params: JsonNode, workers: JsonNode, state: JsonNode, sockets: Int) =
            Cluster(
                withPath("params") { zones(params) },
                withPath("params") { readEach(params.list("teams"), "teams", ::team) },
                leaseMs = withPath(WORKERS) { millis(workers, "lease_s") },
                heartbeatIntervalMs = withPath(WORKERS) { millis(workers, "report_s") },
                cancelMs = withPath(WORKERS) { millis(workers, "cancel_s") },
                pageBytes = withPath(STATE) { pageBytes(state) },
                pageWriteIntervalMs = withPath(STATE) { pageWriteIntervalMs(state) },
                maxCommandsInFlight = (sockets * COMMAND_SOCKETS_SHARE).toInt().coerceAtLeast(1),
                startWithinS = withPath("params") { startWithinS(params) },
            )

        private fun pageBytes(state: JsonNode) = (minOf(state.amount("value_kb") * 1024, MAX_PAGE_BYTES) * PAGE_FILL_FACTOR).toInt()

        private fun pageWriteIntervalMs(state: JsonNode) =
            (1000 / (positive(state, "write_rps") * JOURNAL_WRITE_SHARE)).toLong().coerceAtLeast(MIN_PAGE_WRITE_INTERVAL_MS)

        /** The service-level objective of each job class: the time in seconds within which its jobs are to start. */
        private fun startWithinS(params: JsonNode): Map<String, Double> {
            val objectives = params.listOrEmpty("objectives").filter { it.textOrNull("kind") == "wait" }
            return readEach(objectives, "objectives") { it.text("class") to it.amount("within_s") }.toMap()
        }

        private fun stateLimits(state: JsonNode, controllers: Int) =
            StateLimits(
                positive(state, "rps"),
                positive(state, "write_rps"),
                state.count("txn_ops").toInt().coerceAtLeast(1),
                controllers,
                (state.amount("value_kb") * 1024).toInt(),
            )

        /** Prefixes the errors of [read] with [path], so that they contain the full path of a field. */
        private inline fun <T> withPath(path: String, read: () -> T): T =
            try {
                read()
            } catch (e: MalformedException) {
                throw MalformedException("$path.${e.message}")
            }

        private fun <T> readEach(all: List<JsonNode>, path: String, read: (JsonNode) -> T): List<T> =
            all.mapIndexed { i, item -> withPath("$path[$i]") { read(item) } }

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

        private fun section(parent: JsonNode, name: String, path: String = "") =
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
        private const val DEFAULT_MAX_SOCKETS = 1000

        /** A larger page only costs more each time that it is rewritten. */
        private const val MAX_PAGE_BYTES = 8192.0
        private const val PAGE_FILL_FACTOR = 0.9

        /** The placement journal's share of the writes per second that the state service allows. */
        private const val JOURNAL_WRITE_SHARE = 0.3
        private const val MIN_PAGE_WRITE_INTERVAL_MS = 50L

        /** The share of all sockets that commands to workers may use at the same time. */
        private const val COMMAND_SOCKETS_SHARE = 0.1
    }
}
