package org.honeyjunction.app

import org.honeyjunction.app.nomad.NativeStatus
import org.honeyjunction.app.nomad.NomadApi
import org.honeyjunction.app.nomad.NomadRegistry
import org.honeyjunction.core.control.jobs.StalledJob
import org.honeyjunction.core.control.leader.Tuning
import org.honeyjunction.core.fairness.FairnessGroup
import org.honeyjunction.core.fairness.ServedCount
import org.honeyjunction.core.lease.LeaderLiveness
import org.honeyjunction.io.Clock
import org.honeyjunction.io.EventLoop
import org.honeyjunction.io.HttpServer
import org.honeyjunction.io.KeyValueClient
import org.honeyjunction.io.PeerClient
import org.honeyjunction.io.PeerServer
import org.honeyjunction.io.supervise
import org.honeyjunction.nomad.NomadOptions
import org.honeyjunction.wire.PeerMessage
import org.slf4j.LoggerFactory
import java.io.IOException

/**
 * One controller: it accepts jobs, places the jobs that it accepted, and leads a term when it wins an election. This class only
 * connects the controller's components; all of them run on [loop], so none needs a lock.
 *
 * @property settings the platform's settings
 * @property tuning the operators' settings of scheduling
 * @property clock monotonic and wall-clock time
 * @param nomad the settings of the Nomad-compatible API; null if that API is disabled
 */
class Node(
    val settings: Settings,
    val tuning: Tuning,
    private val loop: EventLoop,
    val clock: Clock = loop.clock,
    nomad: NomadOptions? = null,
) {
    /** The logger of the controller's components that have none of their own. */
    val log = LoggerFactory.getLogger(Node::class.java)

    // Clients of other services and controllers.

    /** The client of the state service. */
    val state = KeyValueClient(loop, settings.state, settings.stateLimits, clock)
    private val cloud = CloudClient(loop, settings.cloud, settings.cloudRps, clock)

    /** The election of the leader; also knows the latest term and its leader. */
    internal val election = Election(settings.node, state, clock, tuning.leaseMs)

    /** Clients of the other controllers, by name. */
    internal val peers = settings.peers.associate { it.name to PeerClient(loop, it.address) }

    /** Whether the leader has recently answered this node. */
    internal val leaderLiveness = LeaderLiveness(clock.steady())

    /** Which other services and controllers this node has recently been in contact with. */
    internal val reachability = Reachability(clock, election)

    // Requests of users and operators.

    /** Decides which submitted jobs are admitted. */
    val admission = AdmissionService(this)

    /** The HTTP API for jobs. */
    val jobApi = JobApi(this)

    /** The operators' rules; null if rules are disabled. */
    val rules = if (tuning.rules) RulesStore(this, ::useRules) else null
    private val rulesApi = rules?.let { RulesApi(this, it) }
    private val nativeStatus = NativeStatus(this)
    private val registry = nomad?.takeIf { it.on }?.let { NomadRegistry(this, it) }
    private val nomadServer = registry?.let { createNomadServer(it) }

    // Leader election, and the work of leaders and followers.
    private val candidacy = Candidacy(clock)

    /** This node's share of the writes that the state service allows. */
    internal val writeBudget = WriteBudget(this)

    /** This node's part in the leader election. */
    internal val leadership = Leadership(this, loop, cloud, registry, candidacy)
    private val followerRounds = FollowerRounds(this)
    private val machineTypes = MachineTypeRefresh(this, cloud)

    // Requests of workers, users and other controllers.
    private val heartbeats = HeartbeatEndpoint(this, candidacy)
    private val router = RequestRouter(this, heartbeats, nativeStatus, rulesApi)
    private val peerRequests = PeerRequests(this, router)
    private val server =
        HttpServer(
            loop,
            (settings.maxSockets * SOCKET_SHARE).toInt(),
            isWorkerRequest = { it.path == HeartbeatEndpoint.PATH },
            HeartbeatEndpoint.MAX_BYTES,
            router::handle,
        )

    /** The scope of coroutines that run for as long as the node does. */
    val scope get() = loop.scope

    /** Whether this node leads a term. It may already have lost the lease without having noticed; see [driverWithLease]. */
    val isLeader: Boolean get() = leadership.driver != null

    /** The driver of this node's term while this node certainly holds the leader lease; otherwise null. */
    val driverWithLease: LeaderDriver? get() = leadership.driver?.takeIf { it.holdsLease }

    /** The latest term that this node knows. */
    val knownTerm: Long get() = election.term

    /** The name of the leader as far as this node knows; null if it knows none. */
    val leaderName: String? get() = if (isLeader) settings.node else election.leader

    /** Whether another node leads, as far as this node knows, and has answered this node recently. */
    val isLeaderReachable: Boolean
        get() {
            if (isLeader) return false
            val liveLeader = leaderLiveness.reachableLeader(clock.steady())
            return liveLeader != null && liveLeader != settings.node
        }

    /** How long the state service has not answered this node, in milliseconds; 0 if it answered recently. */
    val outageMs: Long get() = reachability.outageMs

    /** Whether the state service answers the leader, but not this node. */
    val refusedByStateService: Boolean get() = reachability.refusedByStateService

    /** Whether too many writes or tasks are pending to accept a job: it would not be answered in time, or not fit into memory. */
    val overloaded: Boolean get() = state.congested || leadership.driver?.leader?.taskLimitReached ?: false

    /** Jobs that have been pending for too long although there is free capacity for them; empty on a node that does not lead. */
    val stalledJobs: List<StalledJob> get() = driverWithLease?.leader?.stalledJobs(clock.steady()).orEmpty()

    /**
     * Classes and teams of whose jobs fewer than half were started although there was free capacity; empty on a node that does
     * not lead.
     */
    val starvedGroups: Map<FairnessGroup, ServedCount> get() = driverWithLease?.leader?.starvedGroups(clock.steady()).orEmpty()

    /** Listens on the node's addresses and starts its periodic work; throws [IOException] if it can't listen on an address. */
    fun start() {
        PeerServer(loop, peerRequests::answer).listen(settings.peerListen)
        server.listen(settings.listen)
        loop.scope.supervise("machine types", clock) { machineTypes.refreshPeriodically() }
        loop.scope.supervise("election", clock, { leadership.abandonTerm("the election failed") }) { leadership.campaign() }
        loop.scope.supervise("rounds", clock) { followerRounds.placePeriodically() }
        loop.scope.supervise("write shares", clock) { writeBudget.adjustPeriodically() }
        rules?.let { loop.scope.supervise("rules", clock) { it.follow() } }
        if (registry != null && nomadServer != null) {
            nomadServer.listen(registry.options.listen)
            loop.scope.supervise("registered jobs", clock) { registry.follow() }
        }
        log.info("node-started: {} listens on {}", settings.node, settings.listen)
    }

    /** The leader's response to [question]; null if no leader is known or the leader does not answer within [timeoutMs]. */
    suspend fun askLeader(question: PeerMessage, timeoutMs: Long): PeerMessage? {
        val peer = election.leader?.let(peers::get) ?: return null
        return try {
            peer.ask(question, timeoutMs).also { reachability.peerContacted() }
        } catch (e: IOException) {
            log.debug("no response of the leader: {}", e.message)
            null
        }
    }

    /** The number of workers' heartbeats that this node received in the last seconds before [now]. */
    internal fun recentHeartbeats(now: Long): Int = heartbeats.recent(now)

    /** Statistics of this node's requests, for the leader's periodic log line. */
    internal fun requestStatistics(): String = "${server.statistics}; ${jobApi.statistics()}; ${admission.statistics()}"

    private fun useRules(stored: StoredRules) {
        leadership.driver?.leader?.useRules(stored.set)
    }

    private fun createNomadServer(registry: NomadRegistry): HttpServer {
        val api = NomadApi(this, registry, nativeStatus)
        return HttpServer(loop, (settings.maxSockets * NOMAD_SOCKET_SHARE).toInt(), isWorkerRequest = { false }, handle = api::handle)
    }

    private companion object {
        /** The fraction of the process's sockets that each HTTP server may use. */
        const val SOCKET_SHARE = 0.7
        const val NOMAD_SOCKET_SHARE = 0.1
    }
}
