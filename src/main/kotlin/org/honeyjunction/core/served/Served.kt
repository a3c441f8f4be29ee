package org.honeyjunction.core.served

/** Whose share is counted: all jobs of a class, or of a team. */
data class Group(val of: Of, val name: String) {
    enum class Of { CLASS, TEAM }

    override fun toString() = "${of.name.lowercase()} $name"
}

/** Jobs of one group: [accepted] ones that have had time to start, how many of those [started], and how many are [done]. */
data class Tally(val accepted: Int, val started: Int, val done: Int) {
    operator fun plus(o: Tally) = Tally(accepted + o.accepted, started + o.started, done + o.done)

    /** Whether so few were started that the group counts as not served. A few jobs say nothing. */
    val starved get() = accepted >= FEWEST && started * 2 < accepted

    companion object {
        val NONE = Tally(0, 0, 0)
        const val FEWEST = 4
    }
}

/** A job as it counts: its groups, whether a task of it has ever run, and how long it has been accepted, in milliseconds. */
class Counted(val jobClass: String, val team: String, val started: Boolean, val ageMs: Long)

/**
 * The served share of each class and each team, as users count: of the jobs that were accepted and have had [graceMs] to start, how many
 * have. Jobs that are over are summed up and handed to later holders; the others are counted anew each time, so that nothing is
 * counted twice over a takeover. A job that its user cancelled before it had its time does not count.
 */
class Served(private val graceMs: Long) {
    private val over = HashMap<Group, Tally>()

    fun over(job: Counted, done: Boolean) {
        if (!done && !job.started && job.ageMs < graceMs) return
        val tally = Tally(1, if (job.started || done) 1 else 0, if (done) 1 else 0)
        groups(job).forEach { over.merge(it, tally, Tally::plus) }
    }

    /** With the jobs that are not over yet. */
    fun tallies(active: Sequence<Counted>): Map<Group, Tally> {
        val all = HashMap(over)
        for (job in active) {
            if (!job.started && job.ageMs < graceMs) continue
            val tally = Tally(1, if (job.started) 1 else 0, 0)
            groups(job).forEach { all.merge(it, tally, Tally::plus) }
        }
        return all
    }

    private fun groups(job: Counted) = listOf(Group(Group.Of.CLASS, job.jobClass), Group(Group.Of.TEAM, job.team))

    /** What a later holder is told; the largest groups, where there are very many. */
    fun marks(): Map<Group, Tally> = over.entries.sortedByDescending { it.value.accepted }.take(MOST_MARKS).associate { it.key to it.value }

    fun restore(marks: Map<Group, Tally>) = marks.forEach { (group, tally) -> over.merge(group, tally, Tally::plus) }

    private companion object {
        const val MOST_MARKS = 30
    }
}
