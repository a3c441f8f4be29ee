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

/** Remembers for a while why tasks were placed where they are, and explains why others are pending. Bounded in time and number. */
class Explainer(private val state: ClusterState, private val queue: PendingQueue, failures: FailureAttribution) {
    private class Decision(val at: Long, val explanation: Explanation)

    private val pendingReasons = PendingReasonReport(state, failures)

    /** By task, the oldest decision first. */
    private val decisions =
        object : LinkedHashMap<String, Decision>() {
            override fun removeEldestEntry(eldest: Map.Entry<String, Decision>) = size > state.tuning.explainTasks
        }

    /** The best forbidden machine by job: sought once for each job of one accepted set of proposals, or of one request. */
    private val bestForbidden = HashMap<Int, Alternative?>()

    /** Before each accepted set of proposals, and each request for explanations. */
    fun begin() = bestForbidden.clear()

    /** A start that was just accepted, with all others of its job; [imageCached]: its machine had the image already. */
    fun note(placement: Placement, imageCached: Boolean, now: Long) {
        val task = placement.task
        val localityGb = if (imageCached) 0.0 else state.tuning.cost.alpha * task.job.spec.imageGb
        decisions.remove(task.id)
        decisions[task.id] = Decision(now, explainPlaced(task, placement.machine, now, localityGb))
    }

    /** Forgets decisions that are older than the settings ask for. */
    fun step(now: Long) {
        while (decisions.isNotEmpty() && now - decisions.values.first().at > state.tuning.explainMs) {
            decisions.remove(decisions.keys.first())
        }
    }

    /** [moreReasons] are appended to why a pending task waits. Null: it was placed too long ago, or is over. */
    fun explain(task: Task, now: Long, moreReasons: List<String>): Explanation? {
        step(now)
        val over = task.done || task.job.stage != JobStage.ACTIVE
        val remembered = decisions[task.id]?.explanation
        if (remembered != null && (over || task.placements.any { it.machine.name == remembered.machine })) return remembered
        if (over) return null
        val placement = task.placements.firstOrNull() ?: return explainPending(task, now, moreReasons)
        return explainPlaced(task, placement.machine, null, 0.0)
    }

    /** The explanation of a task, by its name, whose job is not known any more. */
    fun remembered(taskId: String, now: Long): Explanation? {
        step(now)
        return decisions[taskId]?.explanation
    }

    private fun explainPending(task: Task, now: Long, moreReasons: List<String>) =
        Explanation(
            task = task.id,
            machine = null,
            decidedAt = null,
            version = state.ruleBook.set.version,
            rules = emptyList(),
            fairness = fairness(task.job),
            localityGb = 0.0,
            bestForbidden = null,
            pendingReasons = pendingReasons.of(task, now) + moreReasons,
        )

    private fun explainPlaced(task: Task, machine: Machine, decidedAt: Long?, localityGb: Double): Explanation {
        val job = task.job
        val lines = ruleLines(task, machine)
        val costGb = localityGb + lines.sumOf { it.costGb ?: 0.0 }
        val forbidden = bestForbidden.getOrPut(job.index) { findBestForbidden(job, task) }
        return Explanation(
            task = task.id,
            machine = machine.name,
            decidedAt = decidedAt,
            version = state.ruleBook.table.version,
            rules = lines,
            fairness = fairness(job),
            localityGb = localityGb,
            bestForbidden = forbidden?.takeIf { it.costGb < costGb - SLACK },
            pendingReasons = emptyList(),
        )
    }

    /** The clauses of the job's own rules, met or not, and those of other jobs' rules that are not met beside [task]. */
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

    /** For "same": where most of the job's tasks are, by the label that the clause asks for. */
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

    /** By the same calculation as in a placement round. */
    private fun fairness(job: Job): Double =
        CostMatrix(Summary(emptyList(), queue.teams(), 0, emptyList()), state.tuning.cost).groupCost(job.team)

    /** Of the machines with room that only a rule forbids, the one with the least cost. */
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

    /** Whether some hard rule, the job's own or another's, may keep its tasks from a machine. */
    private fun mayBeForbidden(job: Job): Boolean {
        if (job.shape < 0) return false
        val table = state.ruleBook.table
        return table.clausesOf[job.shape].any { state.ruleBook.clause(it).weight == null } ||
            table.clauses.any { clause -> clause.must && clause.test.has { it is RuleTable.Expr.Runs && it.shapes[job.shape] } }
    }

    private companion object {
        const val SLACK = 1e-9
    }
}
