package org.honeyjunction.app

import org.honeyjunction.core.admission.TerminalRecordPlacement
import org.honeyjunction.core.control.journal.JournalPageRecord
import org.honeyjunction.core.control.leader.RecoveredState
import org.honeyjunction.core.control.leader.StoredJob
import org.honeyjunction.core.control.messages.LeaderCheckpoint
import org.honeyjunction.core.control.messages.MachineCheckpoint
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.io.KeyValueClient
import org.honeyjunction.wire.CheckpointCodec
import org.honeyjunction.wire.Entry
import org.honeyjunction.wire.JobCodec
import org.honeyjunction.wire.JournalPageCodec
import org.honeyjunction.wire.MalformedException
import org.slf4j.LoggerFactory

/** What a term begins with: [state], and the revision from which the changes of jobs are to be followed. */
internal class RecoveredTerm(val state: RecoveredState, val jobsRevision: Long)

/** Reads what earlier terms stored. */
internal class TermRecovery(private val state: KeyValueClient) {
    private val log = LoggerFactory.getLogger(Node::class.java)

    /**
     * Reads jobs, journal pages and checkpoints; [terminalRecords] learns which terminal records are still among the active ones.
     * Throws [MalformedException] for a journal page that can't be read, since it may name a running task.
     */
    suspend fun recover(terminalRecords: TerminalRecordPlacement?): RecoveredTerm {
        val (jobEntries, revision) = state.scan(Keys.JOBS)
        val pages = state.scan(Keys.JOURNAL_PAGES).entries.mapNotNull(::journalPage)
        val machines = state.scan(Keys.MACHINE_CHECKPOINTS).entries.flatMap(::machineCheckpoints)
        val (active, over) = jobEntries.mapNotNull(::storedJob).partition { it.stage == JobStage.ACTIVE }
        over.forEach { terminalRecords?.addInPlace(it.spec.id) }
        val jobs = withStartedJobs(active, over, pages)
        val checkpoint =
            state.get(Keys.LEADER_CHECKPOINT).value?.let { value -> orNull { CheckpointCodec.readLeader(value) } } ?: LeaderCheckpoint()
        return RecoveredTerm(RecoveredState(jobs, pages, machines, checkpoint), revision)
    }

    /** Tasks of finished and cancelled jobs may still be on a machine, and count for their team: jobs that [pages] name are kept. */
    private suspend fun withStartedJobs(active: List<StoredJob>, over: List<StoredJob>, pages: List<JournalPageRecord>): List<StoredJob> {
        val started = pages.flatMapTo(HashSet()) { page -> page.starts.map { it.job } }
        val jobs = (active + over.filter { it.spec.id in started }).toMutableList()
        val missing = started - jobs.mapTo(HashSet()) { it.spec.id }
        return missing.mapNotNullTo(jobs) { terminalRecord(it) }
    }

    private suspend fun terminalRecord(id: String): StoredJob? = storedJob(state.get(Keys.terminalRecord(id)))

    private fun storedJob(entry: Entry): StoredJob? = entry.value?.let { value -> orNull { JobCodec.stored(value, entry.version) } }

    private fun machineCheckpoints(entry: Entry): List<MachineCheckpoint> =
        orNull { entry.value?.let(CheckpointCodec::readMachines) }.orEmpty()

    private fun journalPage(entry: Entry): JournalPageRecord? {
        val number = entry.key.removePrefix(Keys.JOURNAL_PAGES).toIntOrNull() ?: return null
        return entry.value?.let { JournalPageCodec.read(number, entry.version, it) }
    }

    /** A record that can't be read must not keep the service from starting: it is logged once and left out. */
    private inline fun <T> orNull(read: () -> T): T? =
        try {
            read()
        } catch (e: MalformedException) {
            log.error("a record can't be read: {}", e.message)
            null
        }
}
