package org.honeyjunction.app.local

import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobSpec
import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.model.Resources
import org.honeyjunction.fake.PlannedJob
import org.honeyjunction.fake.Work
import java.util.Random

/** Draws the jobs of a [ShortScenario]; the order of the draws decides what a seed gives. */
class ScenarioJobs(private val random: Random, private val teams: List<String>) {
    fun of(kind: ShortScenario.Kind): List<PlannedJob> =
        when (kind) {
            ShortScenario.Kind.SHORT -> List(JOBS) { mixed(it, cancelsServices = false) }
            ShortScenario.Kind.AT_LIMITS -> List(JOBS * 2) { mixed(it, cancelsServices = true) }
            ShortScenario.Kind.LONG -> List(LONG_JOBS) { small(it) }
        }

    /** A service, a gang or an array within the first 20 s; some are cancelled. */
    private fun mixed(index: Int, cancelsServices: Boolean): PlannedJob {
        val kind =
            when (index % 5) {
                0 -> JobKind.SERVICE
                1 -> JobKind.GANG
                else -> JobKind.ARRAY
            }
        val runS = if (index % 4 == 3) 40.0 + random.nextInt(40) else 2.0 + random.nextInt(14)
        val atMs = random.nextInt(20_000).toLong()
        val tasks = if (kind == JobKind.ARRAY && index % 3 == 0) 6 + random.nextInt(8) else 1 + random.nextInt(3)
        val cancels = kind == JobKind.SERVICE && cancelsServices || index % 4 == 3 || random.nextInt(5) == 0
        val cancelAtMs = if (cancels) atMs + 3_000 + random.nextInt(40_000) else null
        val need = Resources(2.0, if (index % 2 == 0) 1.0 else 2.0, 4.0)
        val checkpointS = if (index % 2 == 0) 3.0 else 0.0
        return PlannedJob(Work(spec(index, kind, tasks, need, runS, checkpointS), runS), atMs, cancelAtMs)
    }

    /** One task of a few seconds; a quarter is cancelled, of those some at once and some as they end. */
    private fun small(index: Int): PlannedJob {
        val runS = 1.0 + random.nextInt(5)
        val atMs = index * 250L + random.nextInt(250)
        val afterMs = listOf(0L, (runS * 1_000).toLong(), 500L + random.nextInt(6_000))[random.nextInt(3)]
        val cancelAtMs = if (random.nextInt(4) == 0) atMs + afterMs else null
        return PlannedJob(Work(spec(index, JobKind.ARRAY, 1, Resources(2.0, 1.0, 4.0), runS, 0.0), runS), atMs, cancelAtMs)
    }

    private fun spec(index: Int, kind: JobKind, tasks: Int, need: Resources, runS: Double, checkpointS: Double): JobSpec {
        val priority = if (kind == JobKind.SERVICE) Priority.PRODUCTION else Priority.NORMAL
        return JobSpec(
            "j-%06d".format(index + 1),
            kind.name.lowercase(),
            teams[index % teams.size],
            kind,
            priority,
            tasks,
            need,
            "i${index % 3}",
            2.0,
            null,
            null,
            kind == JobKind.GANG,
            kind == JobKind.SERVICE,
            kind == JobKind.ARRAY,
            runS,
            checkpointS,
            1.0,
            null,
        )
    }

    private companion object {
        const val JOBS = 10
        const val LONG_JOBS = 480
    }
}
