package org.honeyjunction.simulation

import org.honeyjunction.core.control.leader.Leader
import org.honeyjunction.core.control.leader.Tuning
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.core.rules.RuleSet

/** The process of one leader. A deposed leader that does not know it yet continues to act, as a real one would. */
class SimulatedController(
    val term: Long,
    rules: RuleSet,
    private val context: SimulationContext,
    private val execute: (SimulatedController, Effect) -> Unit,
) {
    /** Whether the process runs and still considers itself the leader. */
    var alive = true

    /** Whether messages between this controller and the workers arrive in time; if not, heartbeats are lost and commands late. */
    var reachable = true

    /**
     * Whether this controller can't reach other controllers, the state service and the cloud; its requests to the latter two
     * arrive late.
     */
    var isolated = false

    /** Whether the state service refuses requests of this controller only, which can still reach everything else. */
    var refused = false

    /** Whether all messages from this controller to workers are lost. */
    var messagesToWorkersLost = context.network.nextLeaderLosesMessages

    val leader =
        Leader(
            context.setup.cluster(),
            Tuning(rules = rules.version > 0),
            term,
            NODE,
            context.state.recovered(),
            context.now,
            context.now,
            context.setup.listLagMs,
            rules,
            listOf(PEER),
        ).also { it.leaderLeaseRenewed(context.now + SimulatedCluster.LEADER_LEASE_MS, context.now) }

    /** The process is suspended until this time while its clocks run on; its inputs until then are handled afterwards, in order. */
    var frozenUntil = 0L

    /** Lets the leader handle one input, and executes the effects that follow from it. */
    fun run(input: Leader.() -> Unit) {
        if (!alive) return
        if (context.now < frozenUntil) return context.after(frozenUntil - context.now) { run(input) }
        leader.input()
        for (effect in leader.drainEffects()) execute(this, effect)
    }

    /** Renews the lease if the state service can be reached, and lets the leader do its periodic work. */
    fun tick() {
        if (!alive) return
        if (context.now < frozenUntil) return context.after(frozenUntil - context.now) { tick() }
        val renews = this === context.leader && !context.state.down && !isolated && !refused
        if (renews) leader.leaderLeaseRenewed(context.now + SimulatedCluster.LEADER_LEASE_MS, context.now)
        if (!isolated && context.now % PEER_CONFIRMATION_MS < TICK_MS) confirmByPeers()
        run { tick(context.now) }
        context.after(TICK_MS) { tick() }
    }

    /** The simulated peer has been up all the time and knows the latest term: it deposes or confirms this leader. */
    private fun confirmByPeers() {
        if (term < context.state.term) alive = false else run { peerConfirmed(PEER, context.now, context.now, context.now) }
    }

    companion object {
        /** The node on which every simulated leader runs, and the only other one. */
        const val NODE = "n"
        private const val PEER = "m"
        private const val TICK_MS = 100L
        private const val PEER_CONFIRMATION_MS = 500L
    }
}
