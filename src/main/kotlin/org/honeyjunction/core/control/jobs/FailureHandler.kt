package org.honeyjunction.core.control.jobs

import org.honeyjunction.core.control.leader.ClusterState
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.core.failures.FailureAttribution
import org.honeyjunction.core.failures.MachineHealth
import org.honeyjunction.core.model.Job
import org.honeyjunction.core.model.Machine
import org.honeyjunction.core.model.MachinePhase
import org.honeyjunction.core.model.Placement

/** Carries out what [FailureAttribution] concludes: when a job is tried again, and which machines take no work. */
internal class FailureHandler(private val state: ClusterState, private val attribution: FailureAttribution) {
    fun succeeded(job: Job, machine: Machine, now: Long) {
        applyHealth(attribution.succeeded(job.index, machine.index, now))
        job.failing = false
    }

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

    /** The job ended: its failures say no more of the machines. */
    fun jobEnded(job: Job, now: Long) = applyHealth(attribution.jobEnded(job.index, now))

    /** How long a try on another machine may need: a fetch, and as long as this one took to fail. */
    private fun retryMs(placement: Placement, now: Long): Long {
        val fetchGbPerS = state.cluster.types[placement.machine.type]?.fetchGbPerS ?: 1.0
        val fetchMs = (placement.task.job.spec.imageGb / fetchGbPerS * 1000).toLong()
        return (now - placement.since) * 2 + state.cluster.reportMs * 2 + fetchMs
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
