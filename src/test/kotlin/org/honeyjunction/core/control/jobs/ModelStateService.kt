package org.honeyjunction.core.control.jobs

import org.honeyjunction.core.control.journal.JournalPageRecord
import org.honeyjunction.core.control.messages.Change
import org.honeyjunction.core.control.messages.CommitOutcome
import org.honeyjunction.core.model.JobStage

/**
 * The state service, as far as [JobTerminationModel] needs it: the job's record, the journal's pages and whose term it is.
 * [comparesVersions] and [comparesTerm]: which conditions of a write it checks.
 */
internal class ModelStateService(private val comparesVersions: Boolean, private val comparesTerm: Boolean, firstPage: JournalPageRecord) {
    var term = 3L

    /** The job's record: its stage and the revision of its last change. */
    var stage = JobStage.ACTIVE
        private set
    var version = 9L
        private set
    private var revision = 9L

    /** Pages as they stand, each with the number of its write. */
    private val pages = HashMap<Int, Pair<JournalPageRecord, Long>>().also { it[0] = firstPage to 0L }

    val pageRecords: List<JournalPageRecord> get() = pages.values.map { it.first }

    /** One change, if its conditions hold. */
    fun apply(change: Change, writerTerm: Long): CommitOutcome {
        if (comparesTerm && writerTerm != term) return CommitOutcome.Failed()
        when (change) {
            is Change.JobFinished -> {
                val conditionsHold = stage == JobStage.ACTIVE && change.version == version
                if (comparesVersions && !conditionsHold) return CommitOutcome.Failed()
                stage = if (change.cancelled) JobStage.CANCELLED else JobStage.DONE
                version = ++revision
            }
            is Change.JournalPage -> {
                if (comparesVersions && versionOf(change) != change.record.version) return CommitOutcome.Failed()
                pages[change.record.page] = change.record.copy(version = ++revision) to change.writeId
            }
            is Change.MachineCheckpoints, is Change.Checkpoint -> revision++
        }
        return CommitOutcome.Applied(revision)
    }

    fun versionOf(page: Change.JournalPage): Long = pages[page.record.page]?.first?.version ?: 0L

    /** Whether the page stands as [page] has it. */
    fun has(page: Change.JournalPage): Boolean = pages[page.record.page]?.second == page.writeId
}
