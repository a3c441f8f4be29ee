package org.honeyjunction.core.control.jobs

import org.honeyjunction.core.control.journal.JournalPageRecord
import org.honeyjunction.core.control.messages.Change
import org.honeyjunction.core.control.messages.CommitOutcome
import org.honeyjunction.core.model.JobStage

/**
 * The part of the state service that [JobTerminationModel] needs: the job's record, the journal's pages and the current term.
 * [comparesVersions] and [comparesTerm] say which conditions of a write are checked.
 */
internal class ModelStateService(private val comparesVersions: Boolean, private val comparesTerm: Boolean, firstPage: JournalPageRecord) {
    /** The current term. */
    var term = 3L

    /** The stage in the job's record. */
    var stage = JobStage.ACTIVE
        private set

    /** The revision of the last change of the job's record. */
    var version = 9L
        private set
    private var revision = 9L

    /** The stored pages by page number, each with the number of its latest write. */
    private val pages = HashMap<Int, Pair<JournalPageRecord, Long>>().also { it[0] = firstPage to 0L }

    /** The stored pages. */
    val pageRecords: List<JournalPageRecord> get() = pages.values.map { it.first }

    /** Applies [change] of the leader of [writerTerm], if the conditions of the write hold. */
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

    /** The stored version of the page that [page] writes; 0 if there is none. */
    fun versionOf(page: Change.JournalPage): Long = pages[page.record.page]?.first?.version ?: 0L

    /** Whether [page] is the latest write of its page. */
    fun has(page: Change.JournalPage): Boolean = pages[page.record.page]?.second == page.writeId
}
