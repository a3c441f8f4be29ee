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
 * One controller: accepts jobs, places its own, and leads a term when it wins one. This class only wires its parts together;
 * all of them run on [loop], so that none needs a lock.
 */
class Node(
    val settings: Settings,
    val tuning: Tuning,
    private val loop: EventLoop,
    val clock: Clock = loop.clock,
    nomad: NomadOptions? = null,
) {
    val log = LoggerFactory.getLogger(Node::class.java)

    // Other services and controllers.
    val state = KeyValueClient(loop, settings.state, settings.stateLimits, clock)
    private val cloud = CloudClient(loop, settings.cloud, settings.cloudRps, clock)
    internal val election = Election(settings.node, state, clock, tuning.leaseMs)
    internal val peers = settings.peers.associate { it.name to PeerClient(loop, it.address) }
    internal val leaderLiveness = LeaderLiveness(clock.steady())
    internal val reachability = Reachability(clock, election)

    // What users and operators ask for.
    val admission = AdmissionService(this)
    val users = JobApi(this)
    val rules = if (tuning.rules) RulesStore(this, ::useRules) else null
    private val rulesApi = rules?.let { RulesApi(this, it) }
    private val nativeStatus = NativeStatus(this)
    private val registry = nomad?.takeIf { it.on }?.let { NomadRegistry(this, it) }
    private val nomadServer = registry?.let { createNomadServer(it) }

    // Leading, and following a leader.
    private val candidacy = Candidacy(clock)
    internal val writeBudget = WriteBudget(this)
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

    val scope get() = loop.scope

    /** This node leads a term; it may have lost the lease without knowing so yet, see [certainLeader]. */
    val isLeader: Boolean get() = leadership.driver != null

    /** The driver of this node's term while it is sure to hold the leader lease. */
    val certainLeader: LeaderDriver? get() = leadership.driver?.takeIf { it.holdsLease }

    /** The latest term that this node knows of. */
    val knownTerm: Long get() = election.term

    /** The leader as far as this node knows. */
    val leaderName: String? get() = if (isLeader) settings.node else election.leader

    /** Another node leads, as far as this node knows, and has answered it lately. */
    val leaderWorthAsking: Boolean
        get() {
            if (isLeader) return false
            val liveLeader = leaderLiveness.reachableLeader(clock.steady())
            return liveLeader != null && liveLeader != settings.node
        }

    /** How long the state service has not answered this node, in milliseconds; 0 while it does. */
    val outageMs: Long get() = reachability.outageMs

    /** The state service answers the leader, but not this node. */
    val stateRefused: Boolean get() = reachability.refusedByStateService

    /** Too many writes or tasks wait already: another job would not be answered in time, or not fit into memory. */
    val overloaded: Boolean get() = state.congested || leadership.driver?.leader?.taskLimitReached ?: false

    /** Jobs that wait beside free machines for longer than they should, as the leader counts them. */
    val stalled: List<StalledJob> get() = certainLeader?.leader?.stalledJobs(clock.steady()).orEmpty()

    /** Classes and teams of which less than half were served beside free machines, as the leader counts them. */
    val starved: Map<FairnessGroup, ServedCount> get() = certainLeader?.leader?.starvedGroups(clock.steady()).orEmpty()

    /** Listens on the node's addresses and starts its loops; throws [IOException] where an address can't be listened on. */
    fun start() {
        PeerServer(loop, peerRequests::answer).listen(settings.peerListen)
        server.listen(settings.listen)
        loop.scope.supervise("machine types", clock) { machineTypes.refreshPeriodically() }
        loop.scope.supervise("election", clock, { leadership.abandon("the election failed") }) { leadership.campaign() }
        loop.scope.supervise("rounds", clock) { followerRounds.placePeriodically() }
        loop.scope.supervise("shares of the writes", clock) { writeBudget.adjustPeriodically() }
        rules?.let { loop.scope.supervise("rules", clock) { it.follow() } }
        if (registry != null && nomadServer != null) {
            nomadServer.listen(registry.options.listen)
            loop.scope.supervise("registered jobs", clock) { registry.follow() }
        }
        log.info("node-started: {} listens on {}", settings.node, settings.listen)
    }

    /** The leader's answer to [question]; null where no leader is known or it does not answer within [timeoutMs]. */
    suspend fun askLeader(question: PeerMessage, timeoutMs: Long): PeerMessage? {
        val peer = election.leader?.let(peers::get) ?: return null
        return try {
            peer.ask(question, timeoutMs).also { reachability.peerContacted() }
        } catch (e: IOException) {
            log.debug("leader: {}", e.message)
            null
        }
    }

    /** The number of heartbeats that reached this node within the last seconds before [now]. */
    internal fun recentHeartbeats(now: Long): Int = heartbeats.recent(now)

    /** For the periodic statistics of a leader. */
    internal fun requestStatistics(): String = "${server.statistics}; ${users.statistics()}; ${admission.statistics()}"

    private fun useRules(stored: StoredRules) {
        leadership.driver?.leader?.useRules(stored.set)
    }

    private fun createNomadServer(registry: NomadRegistry): HttpServer {
        val api = NomadApi(this, registry, nativeStatus)
        return HttpServer(loop, (settings.maxSockets * NOMAD_SOCKET_SHARE).toInt(), isWorkerRequest = { false }, handle = api::handle)
    }

    private companion object {
        /** Parts of the process's sockets. */
        const val SOCKET_SHARE = 0.7
        const val NOMAD_SOCKET_SHARE = 0.1
    }
}
