package org.honeyjunction.core.fairness

/** Jobs whose served share is counted together: the jobs of a class, of a team, or of a class with about the same number of tasks. */
data class FairnessGroup(val kind: Kind, val name: String) {
    /** What the jobs of a group have in common. The names are stored in checkpoints. */
    enum class Kind { CLASS, TEAM, SIZE }

    override fun toString() =
        if (kind == Kind.SIZE) "class $sizeClass's largest, of $minTasks tasks and more" else "${kind.name.lowercase()} $name"

    /** The job class of a group by [Kind.SIZE]. */
    private val sizeClass get() = name.substringBeforeLast(SIZE_SEPARATOR)

    /** The lower bound on the number of tasks of the jobs in a group by [Kind.SIZE]. */
    private val minTasks get() = name.substringAfterLast(SIZE_SEPARATOR)

    companion object {
        private const val SIZE_SEPARATOR = '/'

        /** The group of the jobs of [jobClass] with about as many [tasks]: sizes are grouped by powers of two. */
        fun ofSize(jobClass: String, tasks: Int) = FairnessGroup(Kind.SIZE, "$jobClass$SIZE_SEPARATOR${tasks.takeHighestOneBit()}")

        /** The group of the largest size of each class that has several sizes; for a class with one size, the class group suffices. */
        fun largest(all: Set<FairnessGroup>): Set<FairnessGroup> =
            all
                .filter { it.kind == Kind.SIZE }
                .groupBy { it.sizeClass }
                .values
                .filter { it.size > 1 }
                .mapTo(HashSet()) { sizes -> sizes.maxBy { it.minTasks.toInt() } }
    }
}

/** The job counts of one group: jobs [accepted] that have had time to start, how many of them [started], and how many are [done]. */
data class ServedCount(val accepted: Int, val started: Int, val done: Int) {
    /** The sum of both counts. */
    operator fun plus(other: ServedCount) = ServedCount(accepted + other.accepted, started + other.started, done + other.done)

    /** Whether the group is starved: fewer than half of at least [MIN_ACCEPTED] jobs were started. */
    val starved get() = accepted >= MIN_ACCEPTED && started * 2 < accepted

    companion object {
        /** The count of a group without jobs. */
        val NONE = ServedCount(0, 0, 0)

        /** With fewer accepted jobs, the sample is too small for a group to count as starved. */
        const val MIN_ACCEPTED = 4
    }
}

/** A job as counted by [FairnessMonitor]: its groups, whether any of its tasks has run, and the milliseconds since its acceptance. */
class CountedJob(jobClass: String, team: String, val started: Boolean, val ageMs: Long, tasks: Int = 1) {
    /** The groups that the job counts in. */
    val groups =
        listOf(
            FairnessGroup(FairnessGroup.Kind.CLASS, jobClass),
            FairnessGroup(FairnessGroup.Kind.TEAM, team),
            FairnessGroup.ofSize(jobClass, tasks),
        )
}

/**
 * Monitors the share of jobs served in each class and each team: how many of the jobs accepted at least [graceMs] ago have started.
 * The counts of ended jobs are accumulated and checkpointed for later leaders; active jobs are counted on each query, so that a
 * failover counts no job twice. A job that its user cancelled before it started and within [graceMs] does not count.
 */
class FairnessMonitor(private val graceMs: Long) {
    private val endedCounts = HashMap<FairnessGroup, ServedCount>()

    /** Records that [job] has ended: it is [done], or was cancelled. */
    fun recordEnded(job: CountedJob, done: Boolean) {
        if (!done && !job.started && job.ageMs < graceMs) return
        val count = ServedCount(1, if (job.started || done) 1 else 0, if (done) 1 else 0)
        job.groups.forEach { endedCounts.merge(it, count, ServedCount::plus) }
    }

    /** The counts of ended jobs and of the [active] ones. */
    fun counts(active: Sequence<CountedJob>): Map<FairnessGroup, ServedCount> {
        val all = HashMap(endedCounts)
        for (job in active) {
            if (!job.started && job.ageMs < graceMs) continue
            val count = ServedCount(1, if (job.started) 1 else 0, 0)
            job.groups.forEach { all.merge(it, count, ServedCount::plus) }
        }
        return withoutSmallerSizes(all)
    }

    /** Removes the size groups from [all] that are not the largest of their class. */
    private fun withoutSmallerSizes(all: Map<FairnessGroup, ServedCount>): Map<FairnessGroup, ServedCount> {
        val largest = FairnessGroup.largest(all.keys)
        return all.filterKeys { it.kind != FairnessGroup.Kind.SIZE || it in largest }
    }

    /** The checkpoint for the next leader: the counts of ended jobs, limited to the groups with most jobs. */
    fun checkpoint(): Map<FairnessGroup, ServedCount> =
        withoutSmallerSizes(endedCounts)
            .entries
            .sortedByDescending { it.value.accepted }
            .take(MAX_CHECKPOINT_GROUPS)
            .associate { it.key to it.value }

    /** Adds the counts in the [checkpoint] of an earlier leader. */
    fun restore(checkpoint: Map<FairnessGroup, ServedCount>) =
        checkpoint.forEach { (group, count) -> endedCounts.merge(group, count, ServedCount::plus) }

    private companion object {
        const val MAX_CHECKPOINT_GROUPS = 30
    }
}
