package org.honeyjunction.app.local

import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.honeyjunction.app.ExitStatus
import org.honeyjunction.core.control.jobs.PendingReason
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.fake.FakeUsers
import org.honeyjunction.fake.Fault
import org.honeyjunction.fake.PlannedJob
import org.honeyjunction.nomad.JobDocument
import org.honeyjunction.rules.RulesDocument

/** `local` in real time: starts the [cluster], applies rules and registers job files, and follows all jobs to their final answers. */
class LocalRun(
    private val cluster: LocalCluster,
    private val planned: List<PlannedJob>,
    private val faults: List<Fault>,
    private val withinS: Int,
    private val serve: Boolean,
) {
    private val loopback = cluster.loopback
    private val users = cluster.users
    private val ticker = Ticker(System.console() != null, cluster::say) { cluster.stamped(it) }
    private val reportedStages = HashMap<FakeUsers.Tracked, FakeUsers.Stage>()
    private var nextStatusAt = 0L

    /** The exit status. With [serve] it does not return before it is interrupted. */
    fun run(rules: RulesDocument?, jobFiles: List<JobDocument>, explain: Boolean): Int {
        println("controllers: ${cluster.nodes.joinToString { "http://$it" }}")
        cluster.start(faults)
        if (rules != null) {
            cluster.apply(rules).forEach { cluster.say(it) }
            cluster.say("the rules are applied: ${rules.check(1).set!!.rules.size}")
        }
        if (cluster.nomad.isNotEmpty()) println("job files: ${cluster.nomad.joinToString { "http://$it" }}")
        val registered = RegisteredJobs(cluster, jobFiles, cluster::say)
        registered.register()
        runBlocking { loopback.loop.scope.async { follow() }.await() }
        val ended = registered.await(withinS, stop = !serve)
        val status = maxOf(Outcome.print(cluster, explain), if (ended) ExitStatus.OK else ExitStatus.FAILED)
        while (serve) Thread.sleep(1_000)
        return status
    }

    /** Until every job has its final answer; services are cancelled when nothing else is left, as their users would. */
    private suspend fun follow() {
        planned.forEach { users.follow(it) }
        val until = loopback.now() + withinS * 1000L
        while (loopback.now() < until && loopback.watch.broken.isEmpty()) {
            reportEnds()
            if (loopback.now() >= nextStatusAt) {
                nextStatusAt = loopback.now() + STATUS_MS
                ticker.show(cluster.status())
                checkFairness()
            }
            val open = users.jobs.filter { !it.over }
            if (open.isEmpty()) break
            val onlyServices = open.all(::isLastingService)
            if (onlyServices && !serve && faultsAreOver() && allTasksRun(open)) open.forEach { it.cancelWanted = true }
            if (onlyServices && serve) break
            delay(STEP_MS)
        }
        ticker.end()
        users.askAgain()
    }

    private fun reportEnds() {
        for (job in users.jobs) {
            val changed = reportedStages.put(job, job.stage) != job.stage
            if (!changed || !job.over) continue
            ticker.say("${job.spec.id} (${job.spec.jobClass}) ${job.stage.name.lowercase()} ${job.why}".trimEnd())
        }
    }

    /** What the controllers' own monitors of fairness and work conservation find counts as a broken rule. */
    private suspend fun checkFairness() {
        cluster.controllers.starved().forEach { (group, counts) ->
            val started = "only ${counts.started} of ${counts.accepted} jobs were started beside free machines"
            loopback.watch.note(loopback.now(), "starved: of $group $started")
        }
        val unexplained = cluster.controllers.stalled().filter { it.reason == PendingReason.NONE }
        unexplained.forEach {
            loopback.watch.note(loopback.now(), "work conservation: ${it.tasks} tasks of ${it.job} wait beside free machines")
        }
    }

    private fun isLastingService(job: FakeUsers.Tracked) =
        job.spec.kind == JobKind.SERVICE && job.planned.cancelAtMs == null && job.stage == FakeUsers.Stage.ACCEPTED

    private fun faultsAreOver() = faults.all { it.atMs + it.forMs + SETTLE_MS < loopback.now() }

    private fun allTasksRun(jobs: List<FakeUsers.Tracked>): Boolean {
        val live = loopback.workers.flatMap { worker -> worker.tasks.values.filter { it.live }.map { it.spec.id } }
        return jobs.all { job -> live.count { it == job.spec.id } == job.spec.tasks }
    }

    private companion object {
        const val STEP_MS = 50L
        const val STATUS_MS = 1_000L
        const val SETTLE_MS = 3_000L
    }
}
