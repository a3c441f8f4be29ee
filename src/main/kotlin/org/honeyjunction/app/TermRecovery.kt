package org.honeyjunction.app

import org.honeyjunction.app.nomad.NomadRegistry
import org.honeyjunction.core.admission.TerminalRecordPlacement
import org.honeyjunction.core.control.journal.JournalPageRecord
import org.honeyjunction.core.control.leader.RecoveredState
import org.honeyjunction.core.control.leader.StoredJob
import org.honeyjunction.core.control.messages.LeaderCheckpoint
import org.honeyjunction.core.control.messages.MachineCheckpoint
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.io.Clock
import org.honeyjunction.wire.CheckpointCodec
import org.honeyjunction.wire.Entry
import org.honeyjunction.wire.JobCodec
import org.honeyjunction.wire.JournalPageCodec
import org.honeyjunction.wire.MalformedException
import org.slf4j.LoggerFactory
import java.io.IOException

/** The recovered [state] at the start of a term, and the revision from which changes of job records are followed. */
internal class RecoveredTerm(val state: RecoveredState, val jobsRevision: Long)

/**
 * Reads what a new leader has to know before it starts any task: the rules in force, registered jobs, and the state that the leaders of
 * earlier terms stored. [reader] decides whether a failed read of that state is repeated. [rules] and [registry] are null if disabled.
 */
internal class TermRecovery(
    private val reader: StateReader,
    private val clock: Clock,
    private val rules: RulesStore?,
    private val registry: NomadRegistry?,
) {
    private val log = LoggerFactory.getLogger(Node::class.java)

    /**
     * Reads everything for [term], and adds to [terminalRecords] the terminal records that are still stored among the records of active
     * jobs. The result is null, and a line is logged, if something can't be read.
     */
    suspend fun recover(term: Long, terminalRecords: TerminalRecordPlacement?): RecoveredTerm? {
        try {
            rules?.refresh()
            registry?.readAll()
            return readState(terminalRecords)
        } catch (e: IOException) {
            log.warn("election-refused: term {}: the stored state can't be read: {}", term, e.message)
        } catch (e: MalformedException) {
            // An unreadable journal page may name a running task; starting tasks without knowing it could start that task twice.
            log.error("term {}: malformed stored state: {}", term, e.message)
        }
        return null
    }

    private suspend fun readState(terminalRecords: TerminalRecordPlacement?): RecoveredTerm {
        val progress = RecoveryProgress(clock)
        val stored = ArrayList<StoredJob>()
        val revision = reader.scan(Keys.JOBS) { page -> page.mapNotNullTo(stored, ::storedJob) }
        progress.completed("records of jobs", stored.size)
        val pages = ArrayList<JournalPageRecord>()
        reader.scan(Keys.JOURNAL_PAGES) { page -> page.mapNotNullTo(pages, ::journalPage) }
        progress.completed("journal pages", pages.size)
        val machines = ArrayList<MachineCheckpoint>()
        reader.scan(Keys.MACHINE_CHECKPOINTS) { page -> page.flatMapTo(machines, ::machineCheckpoints) }
        progress.completed("checkpoints of machines", machines.size)
        val (active, terminated) = stored.partition { it.stage == JobStage.ACTIVE }
        terminated.forEach { terminalRecords?.addInPlace(it.spec.id) }
        val jobs = withStartedJobs(active, terminated, pages)
        progress.completed("started jobs that have ended", jobs.size - active.size)
        val checkpoint = leaderCheckpoint()
        log.info("state-read: {}", progress)
        return RecoveredTerm(RecoveredState(jobs, pages, machines, checkpoint), revision)
    }

    private suspend fun leaderCheckpoint(): LeaderCheckpoint =
        reader.get(Keys.LEADER_CHECKPOINT).value?.let { value -> readOrNull { CheckpointCodec.readLeader(value) } } ?: LeaderCheckpoint()

    /**
     * The [active] jobs and those [terminated] jobs that [pages] name: tasks of a terminated job may still be on a machine, and
     * count towards the usage of the job's team.
     */
    private suspend fun withStartedJobs(
        active: List<StoredJob>,
        terminated: List<StoredJob>,
        pages: List<JournalPageRecord>,
    ): List<StoredJob> {
        val started = pages.flatMapTo(HashSet()) { page -> page.starts.map { it.job } }
        val jobs = (active + terminated.filter { it.spec.id in started }).toMutableList()
        val missing = started - jobs.mapTo(HashSet()) { it.spec.id }
        reader.readAll(Keys.TERMINAL_RECORDS, missing.map(Keys::terminalRecord)) { page -> page.mapNotNullTo(jobs, ::storedJob) }
        return jobs
    }

    private fun storedJob(entry: Entry): StoredJob? = entry.value?.let { value -> readOrNull { JobCodec.stored(value, entry.version) } }

    private fun machineCheckpoints(entry: Entry): List<MachineCheckpoint> =
        readOrNull { entry.value?.let(CheckpointCodec::readMachines) }.orEmpty()

    private fun journalPage(entry: Entry): JournalPageRecord? {
        val number = entry.key.removePrefix(Keys.JOURNAL_PAGES).toIntOrNull() ?: return null
        return entry.value?.let { JournalPageCodec.read(number, entry.version, it) }
    }

    /** The result of [read], or null if the record is malformed: such a record is logged and skipped, so that the term can start. */
    private inline fun <T> readOrNull(read: () -> T): T? =
        try {
            read()
        } catch (e: MalformedException) {
            log.error("skipped a malformed record: {}", e.message)
            null
        }
}
