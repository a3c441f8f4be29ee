package org.honeyjunction.app.leader

import kotlinx.coroutines.delay
import org.honeyjunction.app.Keys
import org.honeyjunction.core.admission.TerminalRecordPlacement
import org.honeyjunction.core.control.messages.Change
import org.honeyjunction.core.control.messages.CommitOutcome
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.io.CompareAndSwapOutcome
import org.honeyjunction.io.KeyValueClient
import org.honeyjunction.io.WritePriority
import org.honeyjunction.wire.JournalPageCodec
import org.slf4j.LoggerFactory
import java.io.IOException

/**
 * Commits a leader's changes to the key-value store by compare-and-swap, fenced by the leader's term, and reports the outcomes to
 * the leader.
 *
 * [recordPlacement] is null if terminal records are always written to the keys of terminal records.
 */
internal class CommitExecutor(
    private val context: TermContext,
    private val store: KeyValueClient,
    private val recordPlacement: TerminalRecordPlacement?,
    private val demandExceedsCapacity: () -> Boolean,
) {
    private val log = LoggerFactory.getLogger(CommitExecutor::class.java)
    private val encoder = ChangeEncoder(context.leader, context.clock)

    /** Commits the changes of [effect] in one transaction, and reports the outcome to the leader. */
    suspend fun commit(effect: Effect.Commit) {
        val changes = effect.changes
        val inPlace = shouldWriteInPlace(changes)
        val outcome =
            when (val writeOutcome = write(changes, inPlace)) {
                is CompareAndSwapOutcome.Applied -> CommitOutcome.Applied(writeOutcome.revision)
                CompareAndSwapOutcome.Conflict -> resolveConflict(changes)
                CompareAndSwapOutcome.Unknown -> journalPageOutcome(changes) ?: CommitOutcome.Failed()
            }
        if (inPlace && outcome is CommitOutcome.Applied) recordPlacement!!.addInPlace((changes.single() as Change.JobFinished).job)
        // A failed terminal record needs no delay here, because the job's record is read before the write is retried.
        if (outcome is CommitOutcome.Failed && changes.none { it is Change.JobFinished }) delay(RETRY_MS)
        context.leader.committed(effect.id, outcome, context.clock.steady())
        context.executeEffects()
    }

    private fun shouldWriteInPlace(changes: List<Change>): Boolean =
        recordPlacement != null &&
            changes.singleOrNull() is Change.JobFinished &&
            recordPlacement.shouldWriteInPlace(store.queueingDelayS(WritePriority.OTHER), demandExceedsCapacity())

    /** Journal pages are written before other changes: task starts wait for their page, and the leader limits the rate of the pages. */
    private suspend fun write(changes: List<Change>, inPlace: Boolean): CompareAndSwapOutcome {
        val conditions = listOf(context.fence) + changes.mapNotNull(encoder::condition)
        val writes = changes.flatMap { encoder.writes(it, inPlace) }
        val priority = if (changes.any { it is Change.JournalPage }) WritePriority.JOURNAL else WritePriority.OTHER
        return store.commit(conditions, writes, priority, fairnessLane(changes))
    }

    /** The write queue's lane for [changes]: terminal records of different teams take turns; all other changes share one lane. */
    private fun fairnessLane(changes: List<Change>): String {
        val job = changes.firstNotNullOfOrNull { (it as? Change.JobFinished)?.let { finished -> context.leader.state.job(finished.job) } }
        return job?.spec?.team.orEmpty()
    }

    /** Finds out whether a conflict means that the term is lost, or that an earlier attempt of the same write was applied. */
    private suspend fun resolveConflict(changes: List<Change>): CommitOutcome =
        try {
            when {
                store.get(Keys.LEADER_RECORD).version != context.term.leaderRecordVersion -> termLost("another term has begun")
                changes.any { it is Change.JournalPage } -> checkNotNull(journalPageOutcome(changes))
                // The outcome is unknown until the leader has the job's record read.
                changes.any { it is Change.JobFinished } -> CommitOutcome.Failed()
                else -> termLost("a record differs from what this term wrote")
            }
        } catch (e: IOException) {
            log.debug("failed to read the stored state after a conflict: {}", e.message)
            journalPageOutcome(changes) ?: CommitOutcome.Failed()
        }

    private fun termLost(reason: String): CommitOutcome {
        context.onTermLost(reason)
        return CommitOutcome.Failed()
    }

    /**
     * Reads whether the journal page among [changes] was written; returns null if there is no page among them. The next write of the
     * page needs the page's version, so the read is retried until it succeeds.
     */
    private suspend fun journalPageOutcome(changes: List<Change>): CommitOutcome? {
        val page = changes.firstNotNullOfOrNull { it as? Change.JournalPage } ?: return null
        while (true) {
            try {
                val entry = store.get(Keys.journalPage(page.record.page))
                val applied = JournalPageCodec.writeNumber(entry.value) == page.writeId
                return if (applied) CommitOutcome.Applied(entry.version) else CommitOutcome.Failed(entry.version)
            } catch (e: IOException) {
                log.debug("failed to read a journal page: {}", e.message)
                delay(RETRY_MS)
            }
        }
    }

    private companion object {
        const val RETRY_MS = 300L
    }
}
