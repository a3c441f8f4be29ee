package org.honeyjunction.simulation

import org.honeyjunction.core.control.leader.Leader
import org.honeyjunction.core.control.leader.Tuning
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.core.rules.RuleSet

/** One leader's process. A deposed leader that does not know it yet goes on acting, as a real one would. */
class SimulatedController(
    val term: Long,
    rules: RuleSet,
    private val context: SimulationContext,
    private val execute: (SimulatedController, Effect) -> Unit,
) {
    var alive = true
    var reachable = true

    /** Reaches neither the other controllers nor the state service nor the cloud; what it sends to these two arrives late. */
    var isolated = false

    /** The state service refuses this controller alone, which reaches all others. */
    var refused = false

    /** All that it sends to workers is lost. */
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

    /** The process is suspended until then while its clocks run on: what happens meanwhile is handled afterwards, in order. */
    var frozenUntil = 0L

    /** Lets the leader handle one input, and executes the effects that follow from it. */
    fun run(input: Leader.() -> Unit) {
        if (!alive) return
        if (context.now < frozenUntil) return context.after(frozenUntil - context.now) { run(input) }
        leader.input()
        for (effect in leader.drainEffects()) execute(this, effect)
    }

    /** Renews the lease where the state service can be reached, and lets the leader do its periodic work. */
    fun tick() {
        if (!alive) return
        if (context.now < frozenUntil) return context.after(frozenUntil - context.now) { tick() }
        val renews = this === context.leader && !context.state.down && !isolated && !refused
        if (renews) leader.leaderLeaseRenewed(context.now + SimulatedCluster.LEADER_LEASE_MS, context.now)
        if (!isolated && context.now % PEER_CONFIRMATION_MS < TICK_MS) confirmByPeers()
        run { tick(context.now) }
        context.after(TICK_MS) { tick() }
    }

    /** The other controllers have been up all the time, and know the latest term. */
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
