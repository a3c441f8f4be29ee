package org.honeyjunction.simulation

import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobSpec
import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.model.Resources
import org.honeyjunction.fake.PlannedJob
import org.honeyjunction.fake.Work

/** The jobs of a [Scenario]: services, gangs of whole machines, and arrays, for a fleet of some size. */
class FleetJobs(setup: ClusterSetup) {
    private val machine = setup.type.size
    private val oneGpu = Resources(machine.cpus / machine.gpus, 1.0, machine.memoryGb / machine.gpus)
    private val teams = setup.limits.keys.toList()

    /** Jobs for [machines] machines: a third are submitted at the start, the rest within a minute and a half. */
    fun jobsFor(machines: Int): List<PlannedJob> {
        var number = 0
        val services = List(machines / 8) { job(++number, JobKind.SERVICE, 4, oneGpu, Priority.PRODUCTION, FOREVER_S) }
        val gangs = List(machines / 12) { job(++number, JobKind.GANG, 1 + it % 3, machine, Priority.HIGH, 60.0 + it % 40) }
        val arrays = List(machines / 10) { job(++number, JobKind.ARRAY, 12, oneGpu, Priority.NORMAL, 40.0 + it % 30) }
        return services + gangs + arrays
    }

    private fun job(number: Int, kind: JobKind, tasks: Int, need: Resources, priority: Priority, runS: Double): PlannedJob {
        val checkpointS = if (kind == JobKind.SERVICE) 0.0 else 15.0
        val spec =
            JobSpec(
                "j-%06d".format(number),
                kind.name.lowercase(),
                teams[number % teams.size],
                kind,
                priority,
                tasks,
                need,
                "i${number % 7}",
                4.0,
                null,
                null,
                kind == JobKind.GANG,
                kind == JobKind.SERVICE,
                kind == JobKind.ARRAY,
                runS,
                checkpointS,
                3.0,
                null,
            )
        val atMs = if (number % 3 == 0) 0L else number % 90 * 1_000L
        return PlannedJob(Work(spec, runS), atMs, null)
    }

    private companion object {
        const val FOREVER_S = 1e7
    }
}
