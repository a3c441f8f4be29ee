package org.honeyjunction.core.control.messages

import org.honeyjunction.core.control.journal.JournalPageRecord
import org.honeyjunction.core.control.leader.StoredJob
import org.honeyjunction.core.model.JobStage

/** A change of the stored state. The codecs of the key-value store define its stored form. */
sealed interface Change {
    /** Writes a page of the placement journal, provided that its stored version is the record's; [writeId] identifies the write. */
    data class JournalPage(val record: JournalPageRecord, val writeId: Long) : Change

    /** Writes a page of machine checkpoints. They speed up the recovery of a new leader; correctness does not depend on them. */
    data class MachineCheckpoints(val page: Int, val machines: List<MachineCheckpoint>) : Change

    /** Writes what the leader has learned, so that a later leader need not learn it again. */
    data class Checkpoint(val checkpoint: LeaderCheckpoint) : Change

    /** Moves the record of the job to the terminal records, provided that its stored version is [version]. */
    data class JobFinished(val job: String, val version: Long, val cancelled: Boolean) : Change
}

/** The outcome of the compare-and-swap that an [Effect.Commit] requested. */
sealed interface CommitOutcome {
    /** The changes were applied at the revision [version]. */
    data class Applied(val version: Long) : CommitOutcome

    /** The changes were not applied. They may still be applied later unless a condition prevents it. [version]: the page's current one. */
    data class Failed(val version: Long? = null) : CommitOutcome
}

/** The stored record of a job that is known to have been accepted. */
sealed interface JobRecord {
    /** The job has not ended; [version] is the revision of its record. */
    data class Active(val version: Long) : JobRecord

    /** The job has ended. Its terminal [record] stands in place of the active one or among the terminal records. */
    data class Finished(val record: StoredJob) : JobRecord {
        val cancelled get() = record.stage == JobStage.CANCELLED
    }

    /** There is neither an active nor a terminal record. */
    data object Absent : JobRecord

    /** The key-value store did not answer. */
    data object Unread : JobRecord
}
