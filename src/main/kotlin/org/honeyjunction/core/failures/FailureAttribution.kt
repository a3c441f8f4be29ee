package org.honeyjunction.core.failures

/** The health of a job, derived from how its tasks ended. */
enum class JobHealth {
    /** No task of the job has ended yet. */
    UNTRIED,

    /** A task of the job has finished, so that failures of its other tasks are attributed to the machines. */
    HEALTHY,

    /** Tasks of the job failed on one or two machines, which are quarantined until the job has been tried elsewhere. */
    SUSPECTED,

    /** The job crash-loops on every machine. It is retried one task at a time, with backoff, until its user cancels it. */
    FAILING,
}

/** The health of a machine, derived from how tasks end there. */
enum class MachineHealth {
    /** No unattributed failure is known. */
    HEALTHY,

    /** A job failed on the machine and has not been tried elsewhere yet: the machine takes no new tasks until then. */
    QUARANTINED,

    /** A healthy job failed on the machine, or several jobs that are not known to fail elsewhere: the machine is to be released. */
    FAULTY,
}

/** The result of attributing a failure: the changed health of [machines], and the job's backoff [backoffMs] in milliseconds. */
class Attribution(val backoffMs: Long, val machines: Map<Int, MachineHealth>)

/** The failures of a job: the number of [machines] it failed on, and [since] when in monotonic milliseconds. */
data class JobFailures(val machines: Int, val since: Long)

/** A suspected or failing job, as checkpointed for the next leader; [sinceWall] is wall-clock time in milliseconds. */
data class JobFailureCheckpoint(val job: String, val failing: Boolean, val retries: Int, val machines: Int, val sinceWall: Long)

/**
 * Attributes task failures to jobs or to machines. A single failure shows only that either the job or the machine is at fault;
 * retrying the job elsewhere and running other jobs on the machine shows which. A job that fails on [FAILING_JOB_MIN_MACHINES]
 * machines is failing, and these machines are cleared. A machine on which a healthy job fails, or two jobs that are not known to
 * fail elsewhere, is faulty. So one bad job cannot make a fleet of machines faulty, since at most two machines are quarantined for
 * that job at a time, and one bad machine cannot make a job failing, since repeated failures on one machine count once.
 *
 * Jobs and machines are given by their dense indices, times in monotonic milliseconds. Only [failed], [succeeded], [retainMachines],
 * [jobEnded] and [restore] change the state; all changes of health go through [enter], except those of [restore].
 */
class FailureAttribution(private val maxBackoffMs: Long = 300_000) {
    private class JobRecord {
        var health = JobHealth.UNTRIED
        val failedOn = LinkedHashSet<Int>()
        val lastFailedOn = HashMap<Int, Int>()

        /** The number of retries since the job was found failing; failures within [SAME_RETRY_MS] count as one retry. */
        var retries = 0
        var failingSince = 0L
        var retriedAt = Long.MIN_VALUE / 2

        /** The number of machines that the job had failed on under an earlier leader. */
        var restoredMachines = 0

        val unhealthy get() = health == JobHealth.SUSPECTED || health == JobHealth.FAILING
        val machineCount get() = maxOf(failedOn.size, restoredMachines)
    }

    private class MachineRecord {
        var health = MachineHealth.HEALTHY

        /** The jobs whose failures on this machine are not attributed yet. */
        val unattributedJobs = LinkedHashSet<Int>()
        var quarantinedUntil = 0L
    }

    private val jobs = HashMap<Int, JobRecord>()
    private val machines = HashMap<Int, MachineRecord>()

    /** Incremented by each change that is to be checkpointed for the next leader. */
    var version = 0L
        private set

    /** The health of [job]. */
    fun jobHealth(job: Int): JobHealth = jobs[job]?.health ?: JobHealth.UNTRIED

    /** The health of [machine]. A quarantine expires, since the retry on another machine that would end it may never happen. */
    fun machineHealth(machine: Int, now: Long): MachineHealth {
        val record = machines[machine] ?: return MachineHealth.HEALTHY
        val expired = record.health == MachineHealth.QUARANTINED && now >= record.quarantinedUntil
        return if (expired) MachineHealth.HEALTHY else record.health
    }

    /** Whether [job] is known to fail on every machine. */
    fun failing(job: Int): Boolean = jobs[job]?.health == JobHealth.FAILING

    /** The failures of [job]; null if the job is neither suspected nor failing. */
    fun failures(job: Int): JobFailures? {
        val record = jobs[job]?.takeIf { it.unhealthy } ?: return null
        return JobFailures(record.machineCount, record.failingSince)
    }

    /** The number of jobs and of machines by health, without the healthy ones, for the statistics in the log. */
    fun statistics(now: Long): String {
        val jobCounts =
            jobs.values
                .groupingBy { it.health }
                .eachCount()
                .filterKeys { it != JobHealth.HEALTHY }
        val machineCounts =
            machines.keys
                .map { machineHealth(it, now) }
                .filter { it != MachineHealth.HEALTHY }
                .groupingBy { it }
                .eachCount()
        return "jobs $jobCounts, machines $machineCounts"
    }

    /**
     * Records that [task] of [job] failed on [machine], and attributes the failure if possible. A quarantine of [machine] lasts
     * [quarantineMs], which allows for a retry elsewhere.
     */
    fun failed(job: Int, task: Int, machine: Int, now: Long, quarantineMs: Long): Attribution {
        val record = jobs.getOrPut(job, ::JobRecord)
        val previousFailureOn = record.lastFailedOn.put(task, machine)
        if (record.failedOn.isEmpty()) record.failingSince = now
        record.failedOn += machine
        return when (record.health) {
            JobHealth.HEALTHY ->
                if (previousFailureOn != null && previousFailureOn != machine) {
                    // A task that fails on several machines is itself at fault, even if its job is healthy.
                    Attribution(INITIAL_BACKOFF_MS, emptyMap())
                } else {
                    Attribution(0, enter(machine, MachineHealth.FAULTY, now))
                }
            JobHealth.FAILING -> Attribution(nextBackoffMs(record, now), emptyMap())
            JobHealth.UNTRIED, JobHealth.SUSPECTED ->
                if (record.failedOn.size >= FAILING_JOB_MIN_MACHINES) {
                    enter(record, JobHealth.FAILING)
                    Attribution(nextBackoffMs(record, now), clearUnattributed(job, now))
                } else {
                    enter(record, JobHealth.SUSPECTED)
                    Attribution(INITIAL_BACKOFF_MS, recordUnattributed(job, machine, now, quarantineMs))
                }
        }
    }

    /**
     * Records that a task of [job] finished on [machine], so that both are healthy. Machines that are quarantined for earlier
     * failures of the job are faulty. Returns the changed health of machines.
     */
    fun succeeded(job: Int, machine: Int, now: Long): Map<Int, MachineHealth> {
        val record = jobs.getOrPut(job, ::JobRecord)
        val machineRecord = machines[machine]
        val quarantined = machineRecord != null && machineRecord.health == MachineHealth.QUARANTINED
        val cleared = if (quarantined) enter(machine, MachineHealth.HEALTHY, now) else emptyMap()
        machineRecord?.unattributedJobs?.clear()
        if (record.health == JobHealth.HEALTHY) return cleared
        val suspected = record.health == JobHealth.SUSPECTED
        enter(record, JobHealth.HEALTHY)
        // The job was not at fault: the machines that are still quarantined for its failures are faulty.
        val faulty =
            if (suspected) {
                record.failedOn.filter { it != machine && quarantinedFor(job, it, now) }
            } else {
                emptyList()
            }
        record.failedOn.clear()
        return cleared + faulty.flatMap { enter(it, MachineHealth.FAULTY, now).entries }.associate { it.key to it.value }
    }

    private fun quarantinedFor(job: Int, machine: Int, now: Long): Boolean =
        machineHealth(machine, now) == MachineHealth.QUARANTINED && job in machines.getValue(machine).unattributedJobs

    /** Forgets all machines for which [present] returns false. */
    fun retainMachines(present: (Int) -> Boolean) {
        machines.keys.retainAll(present)
    }

    /** Forgets [job], which was cancelled or is done, and clears the machines that are quarantined for this job alone. */
    fun jobEnded(job: Int, now: Long): Map<Int, MachineHealth> {
        val record = jobs[job] ?: return emptyMap()
        val cleared = if (record.health == JobHealth.SUSPECTED) clearUnattributed(job, now) else emptyMap()
        if (record.unhealthy) version++
        jobs -= job
        return cleared
    }

    /** Records an unattributed failure of [job] on [machine]: the machine is quarantined, or faulty if several jobs failed there. */
    private fun recordUnattributed(job: Int, machine: Int, now: Long, quarantineMs: Long): Map<Int, MachineHealth> {
        val record = machines.getOrPut(machine, ::MachineRecord)
        record.unattributedJobs += job
        record.quarantinedUntil = maxOf(record.quarantinedUntil, now + quarantineMs)
        val faulty = record.unattributedJobs.count { !failing(it) } >= FAULTY_MACHINE_MIN_JOBS
        return enter(machine, if (faulty) MachineHealth.FAULTY else MachineHealth.QUARANTINED, now)
    }

    /** Clears the machines that are suspected for the failures of [job] alone, since the job is at fault or has ended. */
    private fun clearUnattributed(job: Int, now: Long): Map<Int, MachineHealth> {
        val cleared = HashMap<Int, MachineHealth>()
        for ((index, record) in machines) {
            if (!record.unattributedJobs.remove(job)) continue
            if (record.health != MachineHealth.QUARANTINED || record.unattributedJobs.isNotEmpty()) continue
            cleared += enter(index, MachineHealth.HEALTHY, now)
        }
        return cleared
    }

    /** Changes a machine's health; no other function does. A faulty machine never recovers. Returns the change, if there is one. */
    private fun enter(machine: Int, next: MachineHealth, now: Long): Map<Int, MachineHealth> {
        val record = machines.getOrPut(machine, ::MachineRecord)
        if (record.health == MachineHealth.FAULTY) return emptyMap()
        if (machineHealth(machine, now) == next && next != MachineHealth.QUARANTINED) return emptyMap()
        record.health = next
        return mapOf(machine to next)
    }

    /** Changes a job's health; besides this function, only [restore] does. */
    private fun enter(record: JobRecord, next: JobHealth) {
        if (record.health == next) return
        record.health = next
        record.retries = 0
        record.restoredMachines = 0
        version++
    }

    /** The next backoff in milliseconds. It doubles with each retry, not with each of the tasks that were retried together. */
    private fun nextBackoffMs(record: JobRecord, now: Long): Long {
        if (now - record.retriedAt > SAME_RETRY_MS) {
            record.retries++
            version++
        }
        record.retriedAt = now
        return backoffMs(record.retries)
    }

    /** The backoff in milliseconds after the given number of [retries]. */
    private fun backoffMs(retries: Int): Long = minOf(INITIAL_BACKOFF_MS shl retries.coerceAtMost(MAX_DOUBLINGS), maxBackoffMs)

    /**
     * The checkpoint for the next leader: failing jobs before suspected ones. [nameOf] gives a job's name, or null if the job has
     * ended; [wallOffset] converts monotonic to wall-clock milliseconds.
     */
    fun checkpoint(wallOffset: Long, nameOf: (Int) -> String?): List<JobFailureCheckpoint> =
        jobs.entries
            .filter { it.value.unhealthy }
            .sortedByDescending { it.value.health }
            .take(MAX_CHECKPOINT_JOBS)
            .mapNotNull { (index, record) ->
                val name = nameOf(index) ?: return@mapNotNull null
                val failing = record.health == JobHealth.FAILING
                JobFailureCheckpoint(name, failing, record.retries, record.machineCount, record.failingSince + wallOffset)
            }

    /** Restores the health that an earlier leader recorded for [job]. Returns the job's backoff in milliseconds. */
    fun restore(job: Int, checkpoint: JobFailureCheckpoint, wallOffset: Long): Long {
        val record = jobs.getOrPut(job, ::JobRecord)
        record.health = if (checkpoint.failing) JobHealth.FAILING else JobHealth.SUSPECTED
        record.retries = checkpoint.retries
        record.restoredMachines = checkpoint.machines
        record.failingSince = checkpoint.sinceWall - wallOffset
        return if (checkpoint.failing) backoffMs(record.retries) else 0
    }

    companion object {
        /** The number of machines on which a job has to fail to be failing: two machines that are faulty at once are rare. */
        const val FAILING_JOB_MIN_MACHINES = 3

        /** The number of jobs, not known to fail elsewhere, that have to fail on a machine for the machine to be faulty. */
        const val FAULTY_MACHINE_MIN_JOBS = 2

        /** The most jobs in a checkpoint, whose stored value is bounded in size. */
        const val MAX_CHECKPOINT_JOBS = 20

        private const val INITIAL_BACKOFF_MS = 500L

        /** Bounds the shift by which the backoff grows. */
        private const val MAX_DOUBLINGS = 10

        /** Failures within this time belong to one retry. */
        private const val SAME_RETRY_MS = 400L
    }
}
