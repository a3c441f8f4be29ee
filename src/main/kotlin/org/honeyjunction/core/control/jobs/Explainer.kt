package org.honeyjunction.core.control.jobs

import org.honeyjunction.core.control.leader.ClusterState
import org.honeyjunction.core.failures.FailureAttribution
import org.honeyjunction.core.model.Job
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Machine
import org.honeyjunction.core.model.Placement
import org.honeyjunction.core.model.Task
import org.honeyjunction.core.placement.CostMatrix
import org.honeyjunction.core.placement.Summary
import org.honeyjunction.core.rules.Printer
import org.honeyjunction.core.rules.RuleTable

/**
 * Explains why tasks run on their machines and why others are pending. Explanations of placements are kept in memory for
 * `explainMs`, for at most `explainTasks` tasks; see [org.honeyjunction.core.control.leader.Tuning].
 */
class Explainer(private val state: ClusterState, private val queue: PendingQueue, failures: FailureAttribution) {
    private class Decision(val at: Long, val explanation: Explanation)

    private val pendingReasons = PendingReasonReport(state, failures)

    /** Decisions by task identifier, the oldest first. */
    private val decisions =
        object : LinkedHashMap<String, Decision>() {
            override fun removeEldestEntry(eldest: Map.Entry<String, Decision>) = size > state.tuning.explainTasks
        }

    /**
     * For each job, by index: the machine of least cost among those that have room and that only a rule forbids; null if there is
     * none. The cache holds for one batch, which is a set of placement proposals or a request for explanations; see [beginBatch].
     */
    private val bestForbiddenByJob = HashMap<Int, Alternative?>()

    /** Clears what is cached for one batch; to be called before each set of proposals and each request for explanations. */
    fun beginBatch() = bestForbiddenByJob.clear()

    /**
     * Records the explanation of a start that was just accepted, once all starts of its job are reserved. [imageCached] says
     * whether the machine had the image before the reservation.
     */
    fun recordDecision(placement: Placement, imageCached: Boolean, now: Long) {
        val task = placement.task
        val localityGb = if (imageCached) 0.0 else state.tuning.cost.alpha * task.job.spec.imageGb
        decisions.remove(task.id)
        decisions[task.id] = Decision(now, explainPlaced(task, placement.machine, now, localityGb))
    }

    /** Drops decisions that are older than the settings keep them. */
    fun step(now: Long) {
        while (decisions.isNotEmpty() && now - decisions.values.first().at > state.tuning.explainMs) {
            decisions.remove(decisions.keys.first())
        }
    }

    /**
     * Explains where [task] is, or why it is pending; [additionalReasons] are appended to the reasons of a pending task. Null
     * for an ended task whose decision is no longer kept.
     */
    fun explain(task: Task, now: Long, additionalReasons: List<String>): Explanation? {
        step(now)
        val ended = task.done || task.job.stage != JobStage.ACTIVE
        val remembered = decisions[task.id]?.explanation
        if (remembered != null && (ended || task.placements.any { it.machine.name == remembered.machine })) return remembered
        if (ended) return null
        val placement = task.placements.firstOrNull() ?: return explainPending(task, now, additionalReasons)
        return explainPlaced(task, placement.machine, null, 0.0)
    }

    /** The explanation that is kept of the task with this identifier, whose job the leader no longer knows. */
    fun rememberedExplanation(taskId: String, now: Long): Explanation? {
        step(now)
        return decisions[taskId]?.explanation
    }

    private fun explainPending(task: Task, now: Long, additionalReasons: List<String>) =
        Explanation(
            task = task.id,
            machine = null,
            decidedAt = null,
            version = state.ruleBook.set.version,
            rules = emptyList(),
            fairness = fairness(task.job),
            localityGb = 0.0,
            bestForbidden = null,
            pendingReasons = pendingReasons.reasons(task, now) + additionalReasons,
        )

    private fun explainPlaced(task: Task, machine: Machine, decidedAt: Long?, localityGb: Double): Explanation {
        val job = task.job
        val lines = ruleLines(task, machine)
        val costGb = localityGb + lines.sumOf { it.costGb ?: 0.0 }
        val forbidden = bestForbiddenByJob.getOrPut(job.index) { findBestForbidden(job, task) }
        return Explanation(
            task = task.id,
            machine = machine.name,
            decidedAt = decidedAt,
            version = state.ruleBook.table.version,
            rules = lines,
            fairness = fairness(job),
            localityGb = localityGb,
            bestForbidden = forbidden?.takeIf { it.costGb < costGb - COST_TOLERANCE_GB },
            pendingReasons = emptyList(),
        )
    }

    /** The clauses of the job's own rules, met or not, and the clauses of other jobs' rules that [task] violates on [machine]. */
    private fun ruleLines(task: Task, machine: Machine): List<RuleLine> {
        val job = task.job
        val lines = ArrayList<RuleLine>()
        if (job.shape < 0) return lines
        val table = state.ruleBook.table
        val scene = state.ruleContext(machine, setOfNotNull(machine.placements[task.id]))
        table.clausesOf[job.shape].mapTo(lines) { ruleLine(it, table.holds(it, scene, commonPlace(job, it))) }
        table.unmetPreferences(job.shape, scene).filter { it.shape != job.shape }.mapTo(lines) { ruleLine(it.clause, false) }
        return lines
    }

    /**
     * For a clause that asks for the same place: the place that shares the label of the clause with most of the job's tasks.
     * Empty for other clauses.
     */
    private fun commonPlace(job: Job, clause: Int): List<Int> {
        val table = state.ruleBook.table
        if (!table.clauses[clause].same || job.placements.isEmpty()) return emptyList()
        val places = job.placements.map { it.machine.place }
        val most =
            places.maxBy { candidate ->
                places.count { table.holds(clause, RuleTable.MachineContext(it, IntArray(0), IntArray(0)), listOf(candidate)) }
            }
        return listOf(most)
    }

    private fun ruleLine(index: Int, met: Boolean): RuleLine {
        val clause = state.ruleBook.clause(index)
        val must = clause.weight == null
        return RuleLine(state.ruleBook.rule(index).name, Printer.text(clause), must, met, clause.weight?.takeIf { !met })
    }

    private fun localityGb(job: Job, machine: Machine): Double =
        if (job.image in machine.images) 0.0 else state.tuning.cost.alpha * job.spec.imageGb

    /** The fairness cost of a task of [job], calculated as in a placement round. */
    private fun fairness(job: Job): Double =
        CostMatrix(Summary(emptyList(), queue.teams(), 0, emptyList()), state.tuning.cost).groupCost(job.team)

    /** Among the machines that have room and that only a rule forbids, the one with the least cost. */
    private fun findBestForbidden(job: Job, task: Task): Alternative? {
        if (!mayBeForbidden(job)) return null
        return state.machines
            .asSequence()
            .filter { it.usable && state.isEligible(job, task, it) && job.spec.need.fitsIn(state.freeCapacity(it)) }
            .mapNotNull { forbiddenAlternative(job, task, it) }
            .minByOrNull { it.costGb }
    }

    private fun forbiddenAlternative(job: Job, task: Task, machine: Machine): Alternative? {
        val breach = state.violatedRule(job, task, machine) ?: return null
        val penaltyGb = state.ruleBook.table.penalty(job.shape, state.ruleContext(machine), state.siblingPlaces(job, task))
        val rule = state.ruleBook.rule(breach.clause).name
        return Alternative(machine.name, localityGb(job, machine) + penaltyGb, rule, Printer.text(state.ruleBook.clause(breach.clause)))
    }

    /** Whether a hard rule of the job or of another job may forbid a machine for the job's tasks. */
    private fun mayBeForbidden(job: Job): Boolean {
        if (job.shape < 0) return false
        val table = state.ruleBook.table
        return table.clausesOf[job.shape].any { state.ruleBook.clause(it).weight == null } ||
            table.clauses.any { clause -> clause.must && clause.test.has { it is RuleTable.Expr.Runs && it.shapes[job.shape] } }
    }

    private companion object {
        /** Costs that differ by less are equal: differences of this size are rounding errors. */
        const val COST_TOLERANCE_GB = 1e-9
    }
}
