package org.honeyjunction.core.control.journal

import org.honeyjunction.core.model.Job
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Machine
import org.honeyjunction.core.model.Placement
import org.honeyjunction.core.results.TaskNumberSet
import java.util.BitSet

// What a page of the journal holds, and an upper bound of the bytes that it takes.

/** The results of up to [TaskNumberSet.WINDOW] tasks of [job] from number [first] on. */
internal class ResultWindow(val job: Job, val first: Int) {
    /** The numbers of all finished tasks. */
    val known = BitSet()

    /** Of those, the ones that a page is known to have. */
    val durable = BitSet()

    /** An upper bound of the bytes that it takes, its job's name included. */
    var bytes = 0
        private set

    val unwritten get() = known.cardinality() - durable.cardinality()

    fun add(number: Int) {
        known.set(number)
        bytes = TaskNumberSet.length(known, first) + job.spec.id.length + JOB_PUNCTUATION_BYTES
    }

    private companion object {
        const val JOB_PUNCTUATION_BYTES = 8
    }
}

/** A page as this leader knows it; [version] is the condition of its next write. */
internal class JournalPage(val number: Int, var version: Long) {
    val starts = LinkedHashSet<Placement>()
    val results = LinkedHashSet<ResultWindow>()

    /** A write of it is on its way. */
    var busy = false

    /** Drops the entries that are not needed any more, and returns an upper bound of the bytes that the others take. */
    fun compact(): Int {
        starts.removeIf { it.removed }
        results.removeIf { it.job.stage != JobStage.ACTIVE }
        val size = StartsSize()
        starts.forEach(size::add)
        return size.bytes + results.sumOf { it.bytes }
    }
}

/** An upper bound of the bytes of starts that are recorded together: those of one attempt on one machine share all but their numbers. */
internal class StartsSize {
    private val groups = HashSet<Triple<Job, Long, Machine>>()
    var bytes = 0
        private set

    fun add(start: Placement) {
        val job = start.task.job
        val newGroup = groups.add(Triple(job, start.attempt, start.machine))
        if (newGroup) bytes += job.spec.id.length + start.machine.name.length + GROUP_PUNCTUATION_BYTES
        bytes += NUMBER_BYTES
    }

    private companion object {
        /** Quotes, commas and the attempt. */
        const val GROUP_PUNCTUATION_BYTES = 30

        /** A task's number of six digits and its comma. */
        const val NUMBER_BYTES = 7
    }
}
