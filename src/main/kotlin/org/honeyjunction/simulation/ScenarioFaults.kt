package org.honeyjunction.simulation

import org.honeyjunction.fake.Fault
import org.honeyjunction.fake.victims

/** Injects the faults of a [Scenario] into its cluster, and ends them when their time is over. */
class ScenarioFaults(private val cluster: SimulatedCluster) {
    /** Injects [fault] now, and schedules its end. */
    fun inject(fault: Fault) {
        when (val target = fault.whom) {
            Fault.Whom.State -> {
                cluster.state.down = true
                cluster.after(fault.forMs) { cluster.state.down = false }
            }
            Fault.Whom.Cloud -> {
                cluster.cloud.down = true
                cluster.after(fault.forMs) { cluster.cloud.down = false }
            }
            Fault.Whom.Reports -> {
                cluster.network.repeatedHeartbeatPercent = (Fault.SHARE * 100).toInt()
                cluster.after(fault.forMs) { cluster.network.repeatedHeartbeatPercent = 0 }
            }
            Fault.Whom.Commands -> {
                cluster.network.commandCopyDelayMs = { drawCopyDelayMs() }
                cluster.after(fault.forMs) { cluster.network.commandCopyDelayMs = { null } }
            }
            Fault.Whom.Boots -> injectIntoBoots(fault)
            is Fault.Whom.Nodes -> injectIntoLeader(fault)
            is Fault.Whom.Hosts -> injectIntoMachines(fault, target)
            // Nothing to inject: simulated users do not query, some writes are always late, and the machine list always lags.
            is Fault.Whom.Shared -> Unit
        }
    }

    private fun drawCopyDelayMs(): Long? =
        if (cluster.random.nextDouble() < Fault.SHARE) Fault.copyDelayMs(cluster.random, cluster.workerLeaseMs) else null

    /**
     * Only one leader is simulated at a time, so that a fault of any node affects the leader; its successor is elected when its
     * lease has expired.
     */
    private fun injectIntoLeader(fault: Fault) =
        when (fault.what) {
            Fault.What.REFUSE, Fault.What.ISOLATE -> cluster.isolateLeader()
            Fault.What.HANG -> cluster.freeze(fault.forMs)
            else -> cluster.crash()
        }

    private fun injectIntoBoots(fault: Fault) {
        when (fault.what) {
            Fault.What.SLOW -> cluster.cloud.bootFactor = Fault.SLOW_BOOTS
            Fault.What.HURRY -> cluster.cloud.bootFactor = 1 / Fault.SLOW_BOOTS
            else -> cluster.cloud.bootFailsOneIn = Fault.LOST_BOOTS_ONE_IN
        }
        cluster.after(fault.forMs) {
            if (fault.what == Fault.What.LOSE) cluster.cloud.bootFailsOneIn = 0 else cluster.cloud.bootFactor = 1.0
        }
    }

    private fun injectIntoMachines(fault: Fault, target: Fault.Whom.Hosts) {
        val until = cluster.now + fault.forMs
        for (worker in victims(target, cluster.workers.values, cluster.random)) {
            when (fault.what) {
                Fault.What.KILL -> worker.dead = true
                Fault.What.HANG -> worker.hungUntil = until
                Fault.What.CUT -> worker.cutUntil = until
                Fault.What.DEAFEN -> worker.deafUntil = until
                Fault.What.NOTICE -> {
                    worker.noticeS = fault.forMs / 1000.0
                    cluster.after(fault.forMs) { worker.dead = true }
                }
                else -> Unit
            }
        }
    }
}
