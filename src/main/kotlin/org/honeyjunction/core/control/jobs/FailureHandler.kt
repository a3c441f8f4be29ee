package org.honeyjunction.core.control.jobs

import org.honeyjunction.core.control.leader.ClusterState
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.core.failures.FailureAttribution
import org.honeyjunction.core.failures.MachineHealth
import org.honeyjunction.core.model.Job
import org.honeyjunction.core.model.Machine
import org.honeyjunction.core.model.MachinePhase
import org.honeyjunction.core.model.Placement

/** Applies the conclusions of [FailureAttribution]: when a job is retried, and which machines are quarantined or drained. */
internal class FailureHandler(private val state: ClusterState, private val attribution: FailureAttribution) {
    /** A task of [job] completed on [machine]. */
    fun succeeded(job: Job, machine: Machine, now: Long) {
        applyHealth(attribution.succeeded(job.index, machine.index, now))
        job.failing = false
    }

    /** The attempt [placement] failed. */
    fun failed(placement: Placement, now: Long) {
        val job = placement.task.job
        val machine = placement.machine
        val conclusion = attribution.failed(job.index, placement.task.number, machine.index, now, retryMs(placement, now))
        applyHealth(conclusion.machines)
        val failing = attribution.failing(job.index)
        if (failing && !job.failing) logFailing(job)
        job.failing = failing
        job.notBefore = now + conclusion.backoffMs
    }

    /** The job ended: its failures no longer count against machines. */
    fun jobEnded(job: Job, now: Long) = applyHealth(attribution.jobEnded(job.index, now))

    /** Time that a retry on another machine may need: twice the time that this attempt took to fail, two reports and a fetch. */
    private fun retryMs(placement: Placement, now: Long): Long {
        val fetchGbPerS = state.cluster.types[placement.machine.type]?.fetchGbPerS ?: 1.0
        val fetchMs = (placement.task.job.spec.imageGb / fetchGbPerS * 1000).toLong()
        return (now - placement.phaseSince) * 2 + state.cluster.heartbeatIntervalMs * 2 + fetchMs
    }

    private fun logFailing(job: Job) {
        val machines = attribution.failures(job.index)?.machines
        val consequence = "its tasks are retried one at a time; its user has to correct or cancel it"
        state.effects += Effect.LogEvent("job-crash-looping", "${job.spec.id} failed on $machines machines: $consequence")
    }

    private fun applyHealth(changed: Map<Int, MachineHealth>) {
        for ((index, health) in changed) {
            val machine = state.machineAt(index) ?: continue
            machine.quarantined = health == MachineHealth.QUARANTINED
            if (health != MachineHealth.FAULTY) continue
            val message = "${machine.name}: healthy jobs or several jobs fail there; the machine is drained"
            state.effects += Effect.LogEvent("machine-faulty", message)
            if (machine.phase == MachinePhase.UP) machine.enter(MachinePhase.DRAINING)
        }
    }
}
