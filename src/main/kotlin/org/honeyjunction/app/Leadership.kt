package org.honeyjunction.app

import kotlinx.coroutines.coroutineScope
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
 * This node's part in the leader election: it campaigns, leads each term that it wins for as long as it holds the lease, and steps
 * down. [driver] is non-null exactly while this node leads. Used on the event loop only.
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
    private val recovery = TermRecovery(StateReader(node.state) { clock.steady() < leaseValidUntil }, clock, node.rules, registry)
    private val peerConfirmation = PeerLeaseConfirmation(settings.node, node.peers, clock, ::observeTerm)
    private var termStartedAt = Long.MIN_VALUE

    /** The time until which this node may rely on the lease of its latest term, in steady milliseconds. */
    private var leaseValidUntil = Long.MIN_VALUE

    /** The driver of the term that this node leads; null while this node does not lead. */
    var driver: LeaderDriver? = null
        private set

    /** Periodically reads who leads, and campaigns for the next term if no node does. Never returns. */
    suspend fun campaign() {
        while (true) {
            try {
                val term = election.observeOrAcquire(candidacy.mayCampaign())
                if (term != null) lead(term)
                node.leaderLiveness.observeLeader(election.leader, clock.steady())
                if (election.leader != null) candidacy.leaderObserved()
            } catch (e: IOException) {
                log.debug("leader election failed: {}", e.message)
            } catch (e: MalformedException) {
                log.error("the stored term record is malformed: {}", e.message)
            }
            delay(CAMPAIGN_INTERVAL_MS)
        }
    }

    /**
     * Leads [term] until its lease expires or this node steps down. The lease is renewed from the beginning, because reading the
     * stored state may take longer than the lease lasts. If the term ends first, the reading is cancelled.
     */
    private suspend fun lead(term: Term) {
        leaseValidUntil = term.validUntil
        coroutineScope {
            val start = launch { recoverAndStart(term) }
            election.keepRenewing(term, { isCurrent(term) && (start.isActive || driver?.term === term) }, ::leaseRenewed)
            if (start.isActive) log.warn("leader-stepped-down: term {}: it ended before the stored state was read", term.number)
            start.cancel()
        }
        stepDown("the lease has expired")
    }

    /** Whether no term later than [term] has been observed. */
    private fun isCurrent(term: Term) = election.term <= term.number

    private fun leaseRenewed(until: Long) {
        leaseValidUntil = until
        driver?.leaseRenewed(until)
    }

    private suspend fun recoverAndStart(term: Term) {
        val wonAt = clock.steady()
        val terminalRecords = if (registry == null) TerminalRecordPlacement(settings.stateLimits.writesPerS) else null
        val recovered = recovery.recover(term.number, terminalRecords) ?: return election.resign(term)
        if (!isCurrent(term)) return
        val current = createDriver(term, recovered, terminalRecords)
        startTerm(current, recovered.jobsRevision)
        log.info(
            "leader-ready: term {}, fencing tokens from {}, state recovered in {} ms: {} jobs, {} machines",
            term.number,
            current.leader.state.termToken,
            clock.steady() - wonAt,
            recovered.state.jobs.size,
            recovered.state.machines.size,
        )
    }

    private fun createDriver(term: Term, recovered: RecoveredTerm, terminalRecords: TerminalRecordPlacement?): LeaderDriver {
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
            ::abandonTerm,
            node::requestStatistics,
            terminalRecords,
            node.admission::demandExceedsCapacity,
        )
    }

    private suspend fun startTerm(current: LeaderDriver, jobsRevision: Long) {
        driver = current
        node.admission.startTerm(current.term.number)
        node.writeBudget.startTerm()
        termStartedAt = clock.steady()
        if (registry != null) {
            current.leader.useJobRules(NomadLeader.rules(registry))
            current.launchInTerm("registered jobs") { NomadLeader(node, registry, current).run() }
        }
        current.launchInTerm("vouching") { peerConfirmation.run(current) }
        current.start(jobsRevision, leaseValidUntil)
    }

    /**
     * Records that another controller reported [term], led by [leader] ("" if unknown). If this node leads an earlier term, it
     * steps down, and from then on redirects workers to the new leader.
     */
    fun observeTerm(term: Long, leader: String) {
        val current = driver
        if (current != null && term > current.term.number) {
            val ledBy = if (leader.isEmpty()) "" else ", led by $leader"
            stepDown("a later term $term was observed$ledBy")
        }
        election.observeTerm(term, leader)
        node.leaderLiveness.observeLeader(election.leader, clock.steady())
    }

    /** Answers another leader's request to confirm that this node knows of no later term. */
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
     * Gives up the current term after an unexpected failure. This node must not keep renewing the lease while a part of its
     * work has stopped. It also backs off, longer after each failure, so that the other nodes campaign first.
     */
    fun abandonTerm(reason: String) {
        val current = driver ?: return
        candidacy.backOff(termStartedAt)
        stepDown(reason)
        resign(current.term)
    }

    /**
     * Resigns if workers' heartbeats are expected but none reaches this node. It resigns at once if the peer that sent [request]
     * does receive heartbeats, otherwise [UNREACHABLE_BY_WORKERS_MS] after the term's start, since all workers may still be
     * sending theirs to an earlier leader that is partitioned from all other controllers.
     */
    fun resignIfUnreachableByWorkers(current: LeaderDriver, request: PeerMessage.SummaryRequest) {
        val now = clock.steady()
        if (node.recentHeartbeats(now) > 0 || !current.leader.expectsHeartbeats(now)) return
        if (request.heartbeatingWorkers == 0 && now - termStartedAt < UNREACHABLE_BY_WORKERS_MS) return
        candidacy.resignedAsUnreachableByWorkers()
        stepDown("no worker reaches this node; ${request.node} receives heartbeats of ${request.heartbeatingWorkers}")
        resign(current.term)
    }

    private fun resign(term: Term) {
        loop.scope.launch { election.resign(term) }
    }

    companion object {
        /** The interval between two checks of who leads, in milliseconds. */
        const val CAMPAIGN_INTERVAL_MS = 400L
        private const val UNREACHABLE_BY_WORKERS_MS = 12_000L
    }
}
