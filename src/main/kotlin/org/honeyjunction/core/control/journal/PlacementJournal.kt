package org.honeyjunction.core.control.journal

import org.honeyjunction.core.control.leader.ClusterState
import org.honeyjunction.core.control.messages.Change
import org.honeyjunction.core.control.messages.CommitOutcome
import org.honeyjunction.core.model.Job
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Phase
import org.honeyjunction.core.model.Placement
import org.honeyjunction.core.model.Task
import org.honeyjunction.core.model.TerminalRecord
import org.honeyjunction.core.results.TaskNumberSet
import java.util.BitSet

/**
 * A page of the journal as stored in the state service; [done] has the numbers of finished tasks by job. [complete] is false if a task that
 * no page names may have been on a machine when the page was written: earlier versions, whose pages lack this field, dropped the starts of
 * some running tasks.
 */
data class JournalPageRecord(
    val page: Int,
    val version: Long,
    val starts: List<RecordedStart>,
    val done: Map<String, BitSet>,
    val complete: Boolean = true,
)

/** Task [number] of [job] may have been started on [machine]; [attempt] distinguishes the starts of one task. */
data class RecordedStart(val job: String, val number: Int, val attempt: Long, val machine: String)

/**
 * Makes starts and results of tasks durable. Entries are packed into a few pages, since the rate of writes to the state
 * service is limited.
 *
 * Every start that may have been sent to a worker, and every result that a worker may have been told to forget, is in a page.
 * Entries that are no longer needed are dropped when their page is written again. A page that names many jobs that have ended is
 * written again for that reason alone: a new leader reads the record of each job that a page names, and without it the pages would
 * name as many jobs as ever ran at the same time. Each write of a page is a compare-and-swap on the page's last known version, so a
 * write that is applied late can't restore an older page.
 *
 * An array may have tens of thousands of tasks that take seconds each. Its results are recorded as sets of task numbers,
 * window by window, and its starts by machine and attempt, so that each task adds only a few bytes; see [TaskNumberSet].
 */
class PlacementJournal(private val state: ClusterState) {
    private val pages = ArrayList<JournalPage>()

    /** Reservations, and placements that workers reported, that are not in any page yet. */
    private val startsDue = LinkedHashSet<Placement>()

    /** Windows of results by job, then by the first task number of the window. */
    private val results = HashMap<Job, HashMap<Int, ResultWindow>>()

    /** The windows with results that are not in any page yet. */
    private val resultsDue = LinkedHashSet<ResultWindow>()

    /** Whether the journal names every task that may be on a machine; see [JournalPageRecord.complete]. */
    var complete = true

    private var nextWriteAt = Long.MIN_VALUE
    private var nextCompactionAt = Long.MIN_VALUE
    private val pageCapacity get() = state.cluster.pageBytes

    /**
     * Takes over the page [stored] of an earlier term, which names starts of [storedJobs]; [placements] and [done] are those of its entries
     * that are still needed.
     */
    fun restore(stored: JournalPageRecord, placements: List<Placement>, done: List<Task>, storedJobs: Set<String>) {
        while (pages.size <= stored.page) pages += JournalPage(pages.size, 0)
        val page = pages[stored.page]
        page.version = stored.version
        page.complete = stored.complete
        page.storedJobs = storedJobs
        page.starts += placements
        for (task in done) {
            val window = windowOf(task)
            window.add(task.number)
            window.durable.set(task.number)
            page.results += window
        }
    }

    private fun windowOf(task: Task): ResultWindow {
        val first = task.number / TaskNumberSet.WINDOW * TaskNumberSet.WINDOW
        return results.getOrPut(task.job, ::HashMap).getOrPut(first) { ResultWindow(task.job, first) }
    }

    /** Adds a reservation, which must be recorded before its start is sent. */
    fun add(start: Placement) {
        startsDue += start
    }

    /**
     * Adds [placement], which its worker reported and which no page names in this attempt. A page that names the task on the same machine
     * in another attempt goes on doing so until it is next written, and then names this one: a new leader learns from either that the
     * task may be on the machine.
     */
    fun adopt(placement: Placement) {
        for (page in pages) {
            val recorded = page.starts.find { it.task === placement.task && it.machine === placement.machine } ?: continue
            page.starts -= recorded
            page.starts += placement
            return
        }
        startsDue += placement
    }

    /** Adds a result, which must be recorded before its attempt is reaped. */
    fun add(result: Task) {
        val window = windowOf(result)
        window.add(result.number)
        resultsDue += window
    }

    /** A line of statistics: unwritten entries and pages. */
    fun statistics() =
        "placement journal: ${startsDue.size} starts and ${resultsDue.sumOf { it.unwritten }} results to write, " +
            "${pages.size} pages, ${pages.count { it.busy }} busy"

    /** Writes one page, if entries are due or a page names many jobs that have ended, and if the write rate allows it. */
    fun flush(now: Long) {
        startsDue.removeIf { it.removed }
        resultsDue.removeIf { it.job.terminalRecord.state != TerminalRecord.State.OPEN }
        val entriesDue = startsDue.isNotEmpty() || resultsDue.isNotEmpty()
        if (!entriesDue && now < nextCompactionAt) return
        if (now < nextWriteAt || pages.count { it.busy } >= MAX_BUSY_PAGES) return
        val outdated = if (now < nextCompactionAt) null else outdatedPage(entriesDue, now)
        if (!entriesDue && outdated == null) return
        nextWriteAt = now + state.cluster.pageWriteIntervalMs
        results.keys.removeIf { it.stage != JobStage.ACTIVE }
        write(outdated ?: emptiestPage())
    }

    /**
     * The page that names the most ended jobs, if it is worth a write, or one that is stored as incomplete although the journal no longer
     * is. If [entriesDue], the page must have room for new entries; otherwise nothing else may be on its way.
     */
    private fun outdatedPage(entriesDue: Boolean, now: Long): JournalPage? {
        nextCompactionAt = now + COMPACTION_INTERVAL_MS
        if (now >= state.leaseValidUntil || !entriesDue && pages.any { it.busy }) return null
        val outdated = pages.filter { !it.busy && (endedJobs(it) >= MIN_ENDED_JOBS || complete && !it.complete) }
        return outdated.filter { !entriesDue || it.compact() <= pageCapacity / 2 }.maxByOrNull(::endedJobs)
    }

    /** The number of ended jobs that the stored [page] names although none of their starts in it is needed; 0 if it is small. */
    private fun endedJobs(page: JournalPage): Int {
        if (page.storedJobs.count { it !in state.active } < MIN_ENDED_JOBS) return 0
        val needed = page.starts.filterNot { it.removed }.mapTo(HashSet()) { it.task.job.spec.id }
        return page.storedJobs.count { it !in state.active && it !in needed }
    }

    /** The page with the fewest bytes still needed, or a new one if all are more than half full. Reuse keeps the number of pages small. */
    private fun emptiestPage(): JournalPage {
        val emptiest = pages.filter { !it.busy }.map { it to it.compact() }.minByOrNull { it.second }
        if (emptiest != null && emptiest.second <= pageCapacity / 2) return emptiest.first
        return JournalPage(pages.size, 0).also(pages::add)
    }

    private fun write(page: JournalPage) {
        val room = pageCapacity - page.compact()
        val newResults = takeResults(page, if (startsDue.isEmpty()) room else room / 2)
        val newStarts = takeStarts(room - newResults.sumOf { addedBytes(it, page) })
        val written = (page.results + newResults).associateWith { it.finished.clone() as BitSet }
        val starts = (page.starts + newStarts).map(::recorded)
        val record = JournalPageRecord(page.number, page.version, starts, numbersByJob(written), complete)
        page.busy = true
        state.commit(listOf(Change.JournalPage(record, state.nextSequence()))) { outcome ->
            page.busy = false
            when (outcome) {
                is CommitOutcome.Applied -> {
                    page.version = outcome.version
                    page.complete = record.complete
                    page.storedJobs = record.starts.mapTo(HashSet()) { it.job }
                    page.starts += newStarts
                    newStarts.forEach { if (!it.removed && it.phase == Phase.RESERVED) it.enter(Phase.RECORDED, state.now) }
                    written.forEach { (window, numbers) -> markDurable(window, numbers, page) }
                }
                // The page may be durable with the old or the new content. Both have the old entries; the new ones are
                // written again.
                is CommitOutcome.Failed -> {
                    page.storedJobs += record.starts.map { it.job }
                    outcome.version?.let { page.version = it }
                    startsDue += newStarts
                    resultsDue += newResults
                }
            }
        }
    }

    /**
     * Takes those of the due results that fit into [bytes]. Results have precedence over starts, for which half of the page is
     * left: results are short, and workers repeat their reports until the results are durable.
     */
    private fun takeResults(page: JournalPage, bytes: Int): List<ResultWindow> {
        var bytesLeft = bytes
        val taken =
            resultsDue.takeWhile { window ->
                val added = addedBytes(window, page)
                (bytesLeft >= added).also { fits -> if (fits) bytesLeft -= added }
            }
        resultsDue.removeAll(taken.toSet())
        return taken
    }

    /** The bytes that [window] adds to [page]; a window that the page already has is counted in the page's size. */
    private fun addedBytes(window: ResultWindow, page: JournalPage) = if (window in page.results) 0 else window.bytes

    /**
     * Takes those of the due starts that fit into [bytes]: first the attempts that run already, then by priority, since after a mass
     * failure hundreds of starts may be due.
     */
    private fun takeStarts(bytes: Int): List<Placement> {
        val size = StartsSize()
        val taken =
            startsDue.sortedWith(RUNNING_THEN_PRIORITY).takeWhile { start ->
                size.add(start)
                bytes >= size.bytes
            }
        startsDue.removeAll(taken.toSet())
        return taken
    }

    private fun recorded(start: Placement) = RecordedStart(start.task.job.spec.id, start.task.number, start.attempt, start.machine.name)

    private fun numbersByJob(windows: Map<ResultWindow, BitSet>): Map<String, BitSet> {
        val done = LinkedHashMap<String, BitSet>()
        windows.forEach { (window, numbers) -> done.getOrPut(window.job.spec.id, ::BitSet).or(numbers) }
        return done
    }

    /** [page] now has [numbers] of [window], which include all that were durable before: other pages may drop the window. */
    private fun markDurable(window: ResultWindow, numbers: BitSet, page: JournalPage) {
        val added = numbers.clone() as BitSet
        added.andNot(window.durable)
        window.durable.or(numbers)
        added.stream().forEach { window.job.tasks[it].doneDurable = true }
        pages.forEach { if (it !== page && !it.busy) it.results -= window }
        page.results += window
    }

    private companion object {
        val RUNNING_THEN_PRIORITY =
            compareByDescending<Placement> { it.phase.reported }.thenByDescending { it.task.job.spec.priority }

        /** Pages that are being written at the same time, at most. */
        const val MAX_BUSY_PAGES = 3

        /** The minimum time between two writes that only drop entries. */
        const val COMPACTION_INTERVAL_MS = 1_000L

        /** The number of ended jobs in a page that is worth a write. Each of them has needed several writes before. */
        const val MIN_ENDED_JOBS = 8
    }
}
