package org.honeyjunction.core.control.jobs

import org.honeyjunction.core.control.leader.ClusterState
import org.honeyjunction.core.failures.FailureAttribution
import org.honeyjunction.core.model.Job
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.Machine
import org.honeyjunction.core.model.MachinePhase
import org.honeyjunction.core.model.Task
import org.honeyjunction.core.model.mayUse

/** Describes why a task is pending, for its user and for operators. */
internal class PendingReasonReport(private val state: ClusterState, private val failures: FailureAttribution) {
    /** All reasons why [task] is pending, the most immediate first. */
    fun reasons(task: Task, now: Long): List<String> {
        val reasons = ArrayList<String>()
        addJobReasons(task.job, now, reasons)
        addMachineReasons(task, reasons)
        noScaleOutReason(task.job)?.let { reasons += it }
        return reasons
    }

    private fun addJobReasons(job: Job, now: Long, reasons: MutableList<String>) {
        val gang = job.spec.kind == JobKind.GANG
        if (!job.startable) reasons += "the job is being closed"
        if (job.heldBack) reasons += "it may run already, on a machine that has not reported since the leader changed"
        retryReason(job, now)?.let { reasons += it }
        if (gang && job.placements.isNotEmpty()) reasons += "tasks of an earlier attempt are not known to be gone"
        val team = state.cluster.teams[job.team]
        val need = if (gang) job.spec.need * job.unfinished else job.spec.need
        if (!team.withinLimit(state.usage(job.team) + need)) reasons += "team ${team.name} is at its limit"
    }

    private fun retryReason(job: Job, now: Long): String? {
        val pauseS = (job.notBefore - now) / 1000.0
        val failed = failures.failures(job.index)
        if (failed == null) {
            return if (job.notBefore > now) "after a failure or refusal it is not started for another $pauseS s" else null
        }
        val (machines, since) = failed
        val everywhere = if (job.failing) ", wherever it was tried: its user has to mend or cancel it" else ""
        val nextTry = if (job.notBefore > now) ", next try in $pauseS s" else ""
        return "failed on $machines machines since ${(now - since) / 1000} s ago" + everywhere + nextTry
    }

    private fun addMachineReasons(task: Task, reasons: MutableList<String>) {
        val job = task.job
        val machines = state.machines.filter { it.phase < MachinePhase.RELEASING }
        val up = machines.filter { it.usable }
        val eligible = up.filter { state.isEligible(job, task, it) }
        val (roomy, full) = eligible.partition { job.spec.need.fitsIn(state.freeCapacity(it)) }
        if (up.isEmpty()) reasons += "no machine is up"
        if (up.size > eligible.size) {
            reasons += "${up.size - eligible.size} machines are of a type, zone or kind that the job does not allow"
        }
        if (full.isNotEmpty()) reasons += "${full.size} machines have no room"
        forbiddenByRule(task, eligible).forEach { (rule, count) -> reasons += "rule \"$rule\" forbids $count machines" }
        val free = roomy.filter { state.violatedRule(job, task, it) == null }
        if (free.isNotEmpty()) reasons += freeRoomReason(job, free)
        val silent = machines.count { it.phase in NOT_REPORTING }
        if (silent > 0) reasons += "$silent machines do not report"
        val booting = machines.count { it.phase == MachinePhase.BOOTING }
        if (booting > 0) reasons += "$booting machines are booting"
    }

    private fun forbiddenByRule(task: Task, machines: List<Machine>): Map<String, Int> =
        machines
            .mapNotNull { machine -> state.violatedRule(task.job, task, machine)?.let { state.ruleBook.rule(it.clause).name } }
            .groupingBy { it }
            .eachCount()

    /** Why a task of [job] is pending although the machines [free] have room for it. */
    private fun freeRoomReason(job: Job, free: List<Machine>): String {
        val gang = job.spec.kind == JobKind.GANG
        val fitting = free.sumOf { job.spec.need.countIn(state.freeCapacity(it)) }
        return when {
            gang && fitting < job.unfinished ->
                "of ${job.unfinished} tasks of the gang only $fitting have room at once"
            gang && state.ruleBook.table.hasSameClause(job.shape) -> {
                val waitS = state.tuning.cost.patienceMs / 1000.0
                "it may wait up to $waitS s for places that meet its preferences"
            }
            else -> "${free.size} machines have room: it goes by its turn"
        }
    }

    /** Why no machine is rented for [job]: a new one would not certainly meet its hard rules. Null if one may be rented. */
    private fun noScaleOutReason(job: Job): String? {
        if (job.shape < 0 || mayScaleOut(job)) return null
        val rules =
            state.ruleBook.table.clausesOf[job.shape]
                .filter { state.ruleBook.clause(it).weight == null }
                .map { "rule \"${state.ruleBook.rule(it).name}\"" }
                .distinct()
                .joinToString()
        return "no machine is rented for it, since no new one would certainly meet $rules"
    }

    private fun mayScaleOut(job: Job): Boolean =
        state.cluster.types.entries.filter { job.spec.mayUse(it.value) }.any { (index, type) ->
            type.zones.any { zone ->
                state.ruleBook.mayRent(job.shape, index, zone, false) ||
                    job.spec.spot &&
                    state.ruleBook.mayRent(job.shape, index, zone, true)
            }
        }

    private companion object {
        val NOT_REPORTING = setOf(MachinePhase.SUSPECTED, MachinePhase.UNCONFIRMED, MachinePhase.UNREACHABLE)
    }
}
