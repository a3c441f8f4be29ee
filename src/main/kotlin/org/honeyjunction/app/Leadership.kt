package org.honeyjunction.app

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.honeyjunction.app.nomad.NomadLeader
import org.honeyjunction.app.nomad.NomadRegistry
import org.honeyjunction.core.admission.TerminalRecordPlacement
import org.honeyjunction.core.control.leader.Leader
import org.honeyjunction.core.rules.RuleSet
import org.honeyjunction.io.EventLoop
import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.PeerMessage
import org.slf4j.LoggerFactory
import java.io.IOException

/**
 * This node's part in the leader election: it campaigns, leads a term that it won while the lease lasts, and steps down.
 * [driver] is set exactly while this node leads. Used on the event loop only.
 */
internal class Leadership(
    private val node: Node,
    private val loop: EventLoop,
    private val cloud: CloudClient,
    private val registry: NomadRegistry?,
    private val candidacy: Candidacy,
) {
    private val log = LoggerFactory.getLogger(Node::class.java)
    private val settings = node.settings
    private val clock = node.clock
    private val election = node.election
    private val recovery = TermRecovery(node.state)
    private val peerConfirmation = PeerLeaseConfirmation(settings.node, node.peers, clock, ::observeTerm)
    private var termStartedAt = Long.MIN_VALUE

    /** Carries out the work of the term that this node leads; null while it leads none. */
    var driver: LeaderDriver? = null
        private set

    /** Looks for the leader again and again, and takes the term where there is none; runs for as long as the node does. */
    suspend fun campaign() {
        while (true) {
            try {
                val term = election.observeOrAcquire(candidacy.mayCampaign())
                if (term != null) lead(term)
                node.leaderLiveness.observeLeader(election.leader, clock.steady())
                if (election.leader != null) candidacy.leaderObserved()
            } catch (e: IOException) {
                log.debug("election: {}", e.message)
            } catch (e: MalformedException) {
                log.error("the record of the term can't be read: {}", e.message)
            }
            delay(CAMPAIGN_INTERVAL_MS)
        }
    }

    /** Leads [term] until its lease has ended or this node has stepped down. */
    private suspend fun lead(term: Term) {
        val wonAt = clock.steady()
        val terminalRecords = if (registry == null) TerminalRecordPlacement(settings.stateLimits.writesPerS) else null
        val recovered = recoverOrResign(term, terminalRecords) ?: return
        val current = driverOf(term, recovered, terminalRecords)
        begin(current, recovered.jobsRevision)
        log.info(
            "leader-ready: term {}, state recovered in {} ms: {} jobs, {} machines",
            term.number,
            clock.steady() - wonAt,
            recovered.state.jobs.size,
            recovered.state.machines.size,
        )
        election.keepRenewing(term, { driver === current }, current::leaseRenewed)
        stepDown("the lease has ended")
    }

    /**
     * Before anything is started it must be known which rules are in force and what runs. Where that can't be read, this node
     * resigns and the result is null.
     */
    private suspend fun recoverOrResign(term: Term, terminalRecords: TerminalRecordPlacement?): RecoveredTerm? {
        try {
            node.rules?.refresh()
            registry?.readAll()
            return recovery.recover(terminalRecords)
        } catch (e: IOException) {
            log.warn("election-refused: term {}: the stored state can't be read: {}", term.number, e.message)
        } catch (e: MalformedException) {
            // A page that can't be read may name a running task: without it nothing can be started safely.
            log.error("term {}: {}", term.number, e.message)
        }
        election.resign(term)
        return null
    }

    private fun driverOf(term: Term, recovered: RecoveredTerm, terminalRecords: TerminalRecordPlacement?): LeaderDriver {
        val leader =
            Leader(
                settings.cluster,
                node.tuning,
                term.number,
                settings.node,
                recovered.state,
                clock.steady(),
                clock.wall(),
                settings.listLagMs,
                node.rules?.current?.set ?: RuleSet.NONE,
                node.peers.keys,
            )
        return LeaderDriver(
            term,
            leader,
            loop,
            clock,
            node.state,
            cloud,
            ::stepDown,
            ::abandon,
            node::requestStatistics,
            terminalRecords,
            node.admission::demandExceedsCapacity,
        )
    }

    private suspend fun begin(current: LeaderDriver, jobsRevision: Long) {
        driver = current
        node.admission.startTerm(current.term.number)
        node.writeBudget.startTerm()
        termStartedAt = clock.steady()
        if (registry != null) {
            current.leader.useJobRules(NomadLeader.rules(registry))
            current.launchInTerm("registered jobs") { NomadLeader(node, registry, current).run() }
        }
        current.launchInTerm("vouching") { peerConfirmation.run(current) }
        current.start(jobsRevision)
    }

    /**
     * Another controller made [term] of [leader] known ("" where it names none). A leader of an earlier term steps down, and
     * redirects workers to the new one.
     */
    fun observeTerm(term: Long, leader: String) {
        val current = driver
        if (current != null && term > current.term.number) {
            val ofLeader = if (leader.isEmpty()) "" else ", of $leader"
            stepDown("term $term is known$ofLeader")
        }
        election.observeTerm(term, leader)
        node.leaderLiveness.observeLeader(election.leader, clock.steady())
    }

    /** Answers another leader that asks whether a later term than its own is known here. */
    fun confirmTerm(request: PeerMessage.TermConfirmationRequest): PeerMessage.TermConfirmation {
        observeTerm(request.term, request.node)
        return peerConfirmation.answer(election.term, node.leaderName)
    }

    /** Stops leading at once; without effect while this node does not lead. */
    private fun stepDown(reason: String) {
        val current = driver ?: return
        log.warn("leader-stepped-down: term {}: {}", current.term.number, reason)
        driver = null
        node.admission.endTerm()
        node.writeBudget.useFixedShare()
        current.stop()
    }

    /**
     * An unexpected failure: this node can't carry the term, and must not go on renewing its lease while a part of it stands
     * still. The other nodes campaign first; this one backs off for longer each time.
     */
    fun abandon(reason: String) {
        val current = driver ?: return
        candidacy.backOff(termStartedAt)
        stepDown(reason)
        resign(current.term)
    }

    /**
     * A leader whom no worker reaches resigns: soon when the peer that sent [request] receives heartbeats, and after
     * [UNREACHABLE_MS] in any case, since all workers may be with an earlier leader that is cut off from everyone else.
     */
    fun resignIfUnreachableByWorkers(current: LeaderDriver, request: PeerMessage.SummaryRequest) {
        val now = clock.steady()
        if (node.recentHeartbeats(now) > 0 || !current.leader.expectsHeartbeats(now)) return
        if (request.heartbeatingWorkers == 0 && now - termStartedAt < UNREACHABLE_MS) return
        candidacy.resignedAsUnreachableByWorkers()
        stepDown("no worker reaches this node; ${request.node} hears ${request.heartbeatingWorkers}")
        resign(current.term)
    }

    private fun resign(term: Term) {
        loop.scope.launch { election.resign(term) }
    }

    companion object {
        /** Between two looks at who leads. */
        const val CAMPAIGN_INTERVAL_MS = 400L
        private const val UNREACHABLE_MS = 12_000L
    }
}
