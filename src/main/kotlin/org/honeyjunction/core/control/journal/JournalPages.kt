package org.honeyjunction.core.control.journal

import org.honeyjunction.core.model.Job
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Machine
import org.honeyjunction.core.model.Placement
import org.honeyjunction.core.results.TaskNumberSet
import java.util.BitSet

// The entries of a page of the journal, and an upper bound of their size in bytes.

/** The results of up to [TaskNumberSet.WINDOW] tasks of [job] from number [first] on. */
internal class ResultWindow(val job: Job, val first: Int) {
    /** The numbers of all finished tasks of the window. */
    val finished = BitSet()

    /** The numbers of the [finished] tasks whose results are known to be written to a page. */
    val durable = BitSet()

    /** An upper bound of the window's size in a page, in bytes, including the job's identifier. */
    var bytes = 0
        private set

    /** The number of finished tasks that no page is known to have. */
    val unwritten get() = finished.cardinality() - durable.cardinality()

    /** Adds the finished task with this number. */
    fun add(number: Int) {
        finished.set(number)
        bytes = TaskNumberSet.length(finished, first) + job.spec.id.length + JOB_PUNCTUATION_BYTES
    }

    private companion object {
        const val JOB_PUNCTUATION_BYTES = 8
    }
}

/** A page as this leader knows it; the next write of the page is conditional on [version]. */
internal class JournalPage(val number: Int, var version: Long) {
    val starts = LinkedHashSet<Placement>()
    val results = LinkedHashSet<ResultWindow>()

    /** The identifiers of the jobs whose starts the stored page names, needed or not; a new leader reads the records of all of them. */
    var storedJobs = emptySet<String>()

    /** Whether the page is stored as [JournalPageRecord.complete]. */
    var complete = true

    /** Whether a write of this page is on its way. */
    var busy = false

    /** Drops the entries that are no longer needed, and returns an upper bound of the remaining entries' size in bytes. */
    fun compact(): Int {
        starts.removeIf { it.removed }
        results.removeIf { it.job.stage != JobStage.ACTIVE }
        val size = StartsSize()
        starts.forEach(size::add)
        return size.bytes + results.sumOf { it.bytes }
    }
}

/**
 * An upper bound of the size, in bytes, of starts that are recorded together. Starts of one attempt on one machine share all
 * but their task numbers.
 */
internal class StartsSize {
    private val groups = HashSet<Triple<Job, Long, Machine>>()
    var bytes = 0
        private set

    /** Adds the size of [start]. */
    fun add(start: Placement) {
        val job = start.task.job
        val newGroup = groups.add(Triple(job, start.attempt, start.machine))
        if (newGroup) bytes += job.spec.id.length + start.machine.name.length + GROUP_PUNCTUATION_BYTES
        bytes += NUMBER_BYTES
    }

    private companion object {
        /** An upper bound of the quotes, the commas and the attempt number that each group of starts adds to a page. */
        const val GROUP_PUNCTUATION_BYTES = 30

        /** A task number of six digits and a comma. */
        const val NUMBER_BYTES = 7
    }
}
