package org.honeyjunction.app.local

import org.honeyjunction.core.control.leader.Tuning
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.fake.FakeUsers

/** Runs scenarios with real controllers in virtual time: connections, state service, machines, users and clocks are fakes. */
class VirtualCluster(
    private val settings: LocalSettings,
    private val controllers: Int,
    private val tuning: Tuning,
    private val tell: (String) -> Unit = {},
) {
    fun play(scenario: ShortScenario): ScenarioResult {
        val environment = VirtualEnvironment(scenario.seed)
        val ofCluster = if (scenario.kind == ShortScenario.Kind.AT_LIMITS) settings.limited(LIMIT) else settings
        val cluster = LocalCluster(ofCluster, controllers, tuning, scenario.seed, scenario.jobs, tell, place = environment)
        val history = cluster.loopback.watch
        cluster.users.troubledUntil = scenario.faultsEndAt
        cluster.start(scenario.faults)
        scenario.jobs.forEach { cluster.users.follow(it) }
        runUntilOver(scenario, environment, cluster)
        environment.failures.firstOrNull()?.let {
            history.note(environment.time.now, "failed: $it at ${it.stackTrace.firstOrNull()}")
        }
        // Finished jobs are queried once more; services are still known.
        cluster.loopback.later(cluster.users::askAgain)
        environment.time.runUntil(environment.time.now + QUERY_MS)
        if (history.started == 0 && history.broken.isEmpty()) history.note(environment.time.now, "nothing_ran")
        return result(environment, cluster)
    }

    /** Until all jobs have their final answer, a rule is broken, or the jobs had ample time after the last fault. */
    private fun runUntilOver(scenario: ShortScenario, environment: VirtualEnvironment, cluster: LocalCluster) {
        val time = environment.time
        val history = cluster.loopback.watch
        val faultsEndAt = scenario.faultsEndAt
        val lastInputAt = scenario.jobs.maxOf { maxOf(it.atMs, it.cancelAtMs ?: 0) }
        val end = maxOf(faultsEndAt, lastInputAt) + AFTER_MS
        while (time.now < end && history.broken.isEmpty() && environment.failures.isEmpty()) {
            time.runUntil(time.now + STEP_MS)
            if (time.now > faultsEndAt) checkWaiting(cluster, time.now)
            if (time.now > faultsEndAt + SETTLE_MS && cluster.users.jobs.all { it.over || isRunningService(it) }) break
        }
    }

    private fun checkWaiting(cluster: LocalCluster, now: Long) {
        val accepted = cluster.users.jobs.filter { it.stage == FakeUsers.Stage.ACCEPTED && !it.cancelWanted }
        cluster.loopback.watch.checkWaiting(accepted.map { it.spec }, cluster.loopback.workers, now)
    }

    private fun result(environment: VirtualEnvironment, cluster: LocalCluster): ScenarioResult {
        val history = cluster.loopback.watch
        val unserved = if (history.broken.isNotEmpty()) emptyList() else cluster.users.jobs.filterNot(::isServed)
        return ScenarioResult(
            history.broken.toList(),
            unserved.map { "${it.spec.id} ${it.stage}${describe(cluster, it.spec.id)}" },
            cluster.loopback.term(),
            history.cancelledAt.size,
            cluster.loopback.lateWrites,
            history.started,
            environment.time.now,
            coverage(cluster),
        )
    }

    private fun isServed(job: FakeUsers.Tracked) = job.over && job.stage != FakeUsers.Stage.REFUSED || isRunningService(job)

    private fun isRunningService(job: FakeUsers.Tracked) =
        job.stage == FakeUsers.Stage.ACCEPTED &&
            job.spec.kind == JobKind.SERVICE &&
            job.planned.cancelAtMs == null &&
            !job.cancelWanted

    /** How often the situations occurred that the faults are meant to bring about. */
    private fun coverage(cluster: LocalCluster) =
        mapOf(
            "answers lost" to cluster.loopback.unanswered,
            "copies of commands" to cluster.loopback.commandCopies,
            "kept reports delivered" to cluster.loopback.keptDelivered,
            "close questions" to cluster.users.pressing.looks,
            "jobs called off at the worst moments" to cluster.users.pressing.calledOff,
            "starts after a cancellation" to cluster.loopback.watch.startedCancelled,
            "looks at a team at its limit" to cluster.loopback.watch.atLimit,
        )

    /** What the leader knows of a job that it should have served. */
    private fun describe(cluster: LocalCluster, id: String): String {
        val leader = cluster.controllers.nodes.firstNotNullOfOrNull { it.driverWithLease } ?: return ", no leader"
        val state = leader.leader.state
        val job = state.job(id) ?: return ", not known to the leader"
        val machines =
            state.machines.filter { it.usable }.joinToString {
                val room = "${it.name} in ${it.zone} ${state.freeCapacity(it).gpus} free"
                "$room, takes more: ${it.acceptsTasks}, held for ${it.reservedForAt(state.now)}"
            }
        return ": ${job.spec.kind} of ${job.spec.tasks}, needs ${job.spec.need}, waiting ${job.waiting.cardinality()}, placed " +
            "${job.placements.size}, startable ${job.startable}, not before ${job.notBefore - state.now} ms; $machines"
    }

    private companion object {
        const val STEP_MS = 1_000L

        /** Accelerators of each team where all are at their limits. */
        const val LIMIT = 8.0
        const val SETTLE_MS = 5_000L
        const val QUERY_MS = 8_000L

        /** By then all that was accepted has run, long after the faults. */
        const val AFTER_MS = 240_000L
    }
}
