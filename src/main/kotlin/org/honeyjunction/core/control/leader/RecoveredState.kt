package org.honeyjunction.core.control.leader

import org.honeyjunction.core.control.journal.JournalPageRecord
import org.honeyjunction.core.control.messages.LeaderCheckpoint
import org.honeyjunction.core.control.messages.MachineCheckpoint
import org.honeyjunction.core.model.JobSpec
import org.honeyjunction.core.model.JobStage

/** The stored record of a job with its revision, [version]; [createdAtWall] is in wall-clock milliseconds. */
data class StoredJob(val spec: JobSpec, val owner: String, val createdAtWall: Long, val version: Long, val stage: JobStage)

/** The contents of the key-value store when the term began, from which [LeaderRecovery] rebuilds the state. */
class RecoveredState(
    val jobs: List<StoredJob>,
    val pages: List<JournalPageRecord>,
    val machines: List<MachineCheckpoint>,
    val checkpoint: LeaderCheckpoint = LeaderCheckpoint(),
)
