package org.honeyjunction.simulation

import org.honeyjunction.core.control.journal.JournalPageRecord
import org.honeyjunction.core.control.leader.RecoveredState
import org.honeyjunction.core.control.leader.StoredJob
import org.honeyjunction.core.control.messages.Change
import org.honeyjunction.core.control.messages.CommitOutcome
import org.honeyjunction.core.control.messages.JobRecord
import org.honeyjunction.core.control.messages.LeaderCheckpoint
import org.honeyjunction.core.control.messages.MachineCheckpoint
import org.honeyjunction.core.model.JobStage

/**
 * The durable state as the core sees it, without keys, bytes or leases: typed changes, applied if the term and the versions
 * still match. `fake.FakeKeyValueStore` is the other fake: the key-value protocol itself, below the driver and its codecs,
 * which the simulation of the core does without.
 */
class FakeStateService {
    /** The latest term; writes of earlier terms are refused. */
    var term = 0L

    /** Whether the service is unavailable: writes and reads of job records fail. */
    var down = false
    private var revision = 0L

    /** Active jobs by id. */
    val jobs = LinkedHashMap<String, StoredJob>()

    /** Terminal records of jobs. */
    val terminalRecords = HashMap<String, StoredJob>()
    private var leaderCheckpoint = LeaderCheckpoint()
    private val machineCheckpoints = HashMap<Int, List<MachineCheckpoint>>()

    /** The pages of the placement journal, each with the id of the write that produced it. */
    val pages = LinkedHashMap<Int, Pair<JournalPageRecord, Long>>()

    /** Number of writes of pages so far. */
    var pageWrites = 0
        private set

    /** Stores [job] as active and returns it with its version. */
    fun submit(job: StoredJob): StoredJob = job.copy(version = ++revision).also { jobs[job.spec.id] = it }

    /** Applies [changes] as one transaction. Returns the new revision, or null if a condition failed or the service is down. */
    fun commit(byTerm: Long, changes: List<Change>): Long? {
        if (down || byTerm != term || !changes.all(::conditionHolds)) return null
        revision++
        changes.forEach(::apply)
        return revision
    }

    private fun conditionHolds(change: Change) =
        when (change) {
            is Change.JournalPage -> (pages[change.record.page]?.first?.version ?: 0L) == change.record.version
            is Change.JobFinished -> jobs[change.job]?.version == change.version
            is Change.MachineCheckpoints, is Change.Checkpoint -> true
        }

    private fun apply(change: Change) {
        when (change) {
            is Change.JournalPage -> {
                pages[change.record.page] = change.record.copy(version = revision) to change.writeId
                pageWrites++
            }
            is Change.MachineCheckpoints -> machineCheckpoints[change.page] = change.machines
            is Change.Checkpoint -> leaderCheckpoint = change.checkpoint
            is Change.JobFinished -> {
                val stage = if (change.cancelled) JobStage.CANCELLED else JobStage.DONE
                terminalRecords[change.job] = jobs.remove(change.job)!!.copy(stage = stage)
            }
        }
    }

    /** Reads a written page to learn whether the write was applied, as the driver does after a write without a response. */
    fun reread(changes: List<Change>): CommitOutcome {
        val change = changes.filterIsInstance<Change.JournalPage>().firstOrNull() ?: return CommitOutcome.Failed()
        val (record, write) = pages[change.record.page] ?: return CommitOutcome.Failed(0)
        return if (write == change.writeId) CommitOutcome.Applied(record.version) else CommitOutcome.Failed(record.version)
    }

    /** Reads the record of job [id]. */
    fun record(id: String): JobRecord {
        if (down) return JobRecord.Unread
        jobs[id]?.let { return JobRecord.Active(it.version) }
        return terminalRecords[id]?.let { JobRecord.Finished(it) } ?: JobRecord.Absent
    }

    /** The state that a new leader reads; it includes the terminal records only of jobs that a journal page still names. */
    fun recovered(): RecoveredState {
        val records = pages.values.map { it.first }
        val namedByPages = records.flatMap { record -> record.starts.map { it.job } }.toSet()
        val ended = (namedByPages - jobs.keys).mapNotNull(terminalRecords::get)
        return RecoveredState(jobs.values + ended, records, machineCheckpoints.values.flatten(), leaderCheckpoint)
    }
}
