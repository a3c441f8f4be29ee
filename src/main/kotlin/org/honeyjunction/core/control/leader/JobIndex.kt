package org.honeyjunction.core.control.leader

import org.honeyjunction.core.model.Job
import org.honeyjunction.core.model.NameTable

/** The jobs that the leader knows, by identifier and by dense index, and the active ones among them. */
internal class JobIndex {
    private val slots = ArrayList<Job?>()
    private val names = NameTable()

    /** The active jobs by identifier, in the order in which they were added. */
    val active = LinkedHashMap<String, Job>()

    /** The number of tasks of all active jobs. */
    var activeTasks = 0
        private set

    /** The job with the identifier [id]; null if it is not known. */
    fun find(id: String): Job? = at(names.find(id))

    /** The job with the dense index [index]; null if it is not known. */
    fun at(index: Int): Job? = slots.getOrNull(index)

    /** The dense index that the job with the identifier [id] has or will have. */
    fun indexOf(id: String): Int = names.index(id)

    /** Adds [job], whose index [indexOf] has returned last. */
    fun add(job: Job) {
        slots += job
    }

    /** Adds [job] to the active jobs. */
    fun activate(job: Job) {
        active[job.spec.id] = job
        activeTasks += job.spec.tasks
    }

    /** Takes [job] off the active jobs. Returns whether it was one of them. */
    fun deactivate(job: Job): Boolean {
        if (active.remove(job.spec.id) == null) return false
        activeTasks -= job.spec.tasks
        return true
    }

    /** Removes [job]. Its index is not used again. */
    fun forget(job: Job) {
        slots[job.index] = null
        names.forget(job.spec.id)
    }

    /** Calls [action] for each known job. */
    fun forEach(action: (Job) -> Unit) = slots.forEach { job -> job?.let(action) }
}
