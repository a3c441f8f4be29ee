package org.honeyjunction.simulation

import org.honeyjunction.core.control.jobs.PendingReason
import org.honeyjunction.core.control.leader.ClusterState
import org.honeyjunction.core.control.leader.Leader
import org.honeyjunction.core.model.Job
import org.honeyjunction.core.model.Placement
import org.honeyjunction.core.rules.RuleSet
import org.honeyjunction.core.rules.Test
import org.honeyjunction.fake.HistoryChecker
import org.honeyjunction.fake.ReferenceModel

/** Checks invariants after every step of a [SimulatedCluster]; violations are added to [HistoryChecker.broken]. */
class ClusterChecks(private val context: SimulationContext, var rules: RuleSet) {
    private val history = context.history
    private var workConservation: WorkConservationChecker? = null

    /** The number of page writes when the journal was last compared with the tasks on the machines. */
    private var checkedPageWrites = 0

    init {
        history.onStart = ::checkPlacementRules
    }

    /** From now on reports every job that waits for long although machines have room for it. */
    fun requireWorkConservation() {
        workConservation = WorkConservationChecker(context.setup.teamLimits, history::note)
    }

    /** Every start satisfies the "must" rules whose outcome is certain, and those that forbid tasks to run together. */
    private fun checkPlacementRules(start: HistoryChecker.Start) {
        val box = start.worker.box
        for (verdict in ReferenceModel(rules).judge(start.task.spec, box, start.beside, listOf(box))) {
            val test = verdict.test
            val keptApart = test is Test.Not && test.of is Test.Runs
            if (verdict.must && !verdict.met && (verdict.sure || keptApart)) {
                history.note(context.now, "rule ${verdict.rule}: ${start.task.id} on ${start.worker.name}")
            }
        }
    }

    /** Checks all invariants at the present time. */
    fun check() {
        val controller = context.leader
        val everySecond = context.now % 1_000 == 0L
        if (everySecond) controller?.let { checkBookkeeping(it.leader.state) }
        history.check(context.workers.values, context.now)
        if (everySecond || context.state.pageWrites != checkedPageWrites) checkJournal()
        if (controller == null || !controller.alive) return
        if (everySecond) {
            workConservation?.check(controller.leader.state.active.values, context.workers.values, context.now)
            if (controller.reachable && context.now >= controller.frozenUntil) checkStarvation(controller.leader)
        }
        if (controller.reachable) checkStalledJobs(controller.leader)
    }

    private fun checkJournal() {
        checkedPageWrites = context.state.pageWrites
        val pages = context.state.pages.values.map { (page, _) -> page }
        history.checkRecorded(pages, context.workers.values, context.now)
    }

    private fun checkStarvation(leader: Leader) {
        leader.starvedGroups(context.now).forEach { (group, counts) ->
            val started = "only ${counts.started} of ${counts.accepted} jobs were started although machines were free"
            history.note(context.now, "starved: of $group $started")
        }
    }

    private fun checkStalledJobs(leader: Leader) {
        val unexplained = leader.stalledJobs(context.now).filter { it.reason == PendingReason.NONE }
        unexplained.forEach { history.broken += "${context.now} $it" }
    }

    /** Compares the sums that the leader maintains incrementally with those of a full count. */
    private fun checkBookkeeping(state: ClusterState) {
        val placements = state.machines.flatMap { it.placements.values }
        for (team in state.cluster.teams.indices) checkTeamUsage(state, team, placements)
        for (job in state.active.values) checkJob(job, placements)
    }

    private fun checkTeamUsage(state: ClusterState, team: Int, placements: List<Placement>) {
        val ofTeam = placements.filter { it.task.job.team == team }
        val gpus = ofTeam.sumOf { it.task.job.spec.need.gpus }
        if (state.usage(team).gpus != gpus || state.placementCount(team) != ofTeam.size) {
            history.broken += "${context.now} usage of team $team"
        }
    }

    private fun checkJob(job: Job, placements: List<Placement>) {
        val waiting = job.tasks.filter { !it.done && it.placements.isEmpty() }.map { it.number }
        val counted = job.waiting.stream().toArray().asList()
        if (counted != waiting) history.broken += "${context.now} waiting tasks of ${job.spec.id}"
        val ofJob = placements.filterTo(HashSet()) { it.task.job === job }
        if (job.placements.toSet() != ofJob) history.broken += "${context.now} placements of ${job.spec.id}"
    }
}
