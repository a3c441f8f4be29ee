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

/** A page of the journal as the state service has it; [done] are the numbers of finished tasks, by job. */
data class JournalPageRecord(val page: Int, val version: Long, val starts: List<RecordedStart>, val done: Map<String, BitSet>)

/** That task [number] of [job] may have been started on [machine]; [attempt] tells its starts apart. */
data class RecordedStart(val job: String, val number: Int, val attempt: Long, val machine: String)

/**
 * What must be durable of starts and results, packed into a few pages, since each write to the state service counts.
 *
 * Every start that may have been sent, and every result that a worker may have been told to forget, is in a page. Entries
 * that are no longer needed are dropped whenever their page is written again. A page's write is a compare-and-swap on its
 * last known version, so a write that is applied late cannot bring back an older page.
 *
 * An array may have tens of thousands of tasks that take seconds. Its results are recorded as sets of numbers, window by
 * window, and its starts by machine and attempt, so that what a task adds is a few bytes; see [TaskNumberSet].
 */
class PlacementJournal(private val state: ClusterState) {
    private val pages = ArrayList<JournalPage>()

    /** Reservations that no page has yet. */
    private val startsDue = LinkedHashSet<Placement>()

    /** By job, then by the first number of the window. */
    private val results = HashMap<Job, HashMap<Int, ResultWindow>>()

    /** Those with numbers that no page has yet. */
    private val resultsDue = LinkedHashSet<ResultWindow>()
    private var nextWriteAt = Long.MIN_VALUE
    private val capacity get() = state.cluster.pageBytes

    /** Takes over a page of an earlier term; [placements] and [done] are its entries that are still needed. */
    fun restore(number: Int, version: Long, placements: List<Placement>, done: List<Task>) {
        while (pages.size <= number) pages += JournalPage(pages.size, 0)
        val page = pages[number]
        page.version = version
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

    /** A reservation that must be recorded before its start is sent. */
    fun add(start: Placement) {
        startsDue += start
    }

    /** A result that must be recorded before its attempt is reaped. */
    fun add(result: Task) {
        val window = windowOf(result)
        window.add(result.number)
        resultsDue += window
    }

    fun statistics() =
        "placement journal: ${startsDue.size} starts and ${resultsDue.sumOf { it.unwritten }} results to write, " +
            "${pages.size} pages, ${pages.count { it.busy }} busy"

    /** Writes one page, if anything is due and the rate of writes allows it. */
    fun flush(now: Long) {
        startsDue.removeIf { it.removed || it.phase != Phase.RESERVED }
        resultsDue.removeIf { it.job.terminalRecord.state != TerminalRecord.State.OPEN }
        if (startsDue.isEmpty() && resultsDue.isEmpty()) return
        if (now < nextWriteAt || pages.count { it.busy } >= MAX_BUSY) return
        nextWriteAt = now + state.cluster.pageWriteIntervalMs
        results.keys.removeIf { it.stage != JobStage.ACTIVE }
        write(emptiestPage())
    }

    /** The page with the least that is still needed: so pages are emptied, and their number stays small. */
    private fun emptiestPage(): JournalPage {
        val emptiest = pages.filter { !it.busy }.map { it to it.compact() }.minByOrNull { it.second }
        if (emptiest != null && emptiest.second <= capacity / 2) return emptiest.first
        return JournalPage(pages.size, 0).also(pages::add)
    }

    private fun write(page: JournalPage) {
        val room = capacity - page.compact()
        val newResults = takeResults(page, if (startsDue.isEmpty()) room else room / 2)
        val newStarts = takeStarts(room - newResults.sumOf { addedBytes(it, page) })
        val written = (page.results + newResults).associateWith { it.known.clone() as BitSet }
        val record = JournalPageRecord(page.number, page.version, (page.starts + newStarts).map(::recorded), numbersByJob(written))
        page.busy = true
        state.commit(listOf(Change.JournalPage(record, state.nextSequence()))) { outcome ->
            page.busy = false
            when (outcome) {
                is CommitOutcome.Applied -> {
                    page.version = outcome.version
                    page.starts += newStarts
                    newStarts.forEach { if (!it.removed && it.phase == Phase.RESERVED) it.enter(Phase.RECORDED, state.now) }
                    written.forEach { (window, numbers) -> markDurable(window, numbers, page) }
                }
                // Either content may be the durable one: what was there before is in both, the rest is written again.
                is CommitOutcome.Failed -> {
                    outcome.version?.let { page.version = it }
                    startsDue += newStarts
                    resultsDue += newResults
                }
            }
        }
    }

    /**
     * Takes what fits into [bytes] from the results that are due. They go before starts, which keep half of the room: they
     * are short, and until they are durable their workers go on reporting them.
     */
    private fun takeResults(page: JournalPage, bytes: Int): List<ResultWindow> {
        var left = bytes
        val taken =
            resultsDue.takeWhile { window ->
                val added = addedBytes(window, page)
                (left >= added).also { fits -> if (fits) left -= added }
            }
        resultsDue.removeAll(taken.toSet())
        return taken
    }

    /** What is in the page already is counted with the page. */
    private fun addedBytes(window: ResultWindow, page: JournalPage) = if (window in page.results) 0 else window.bytes

    /** Takes what fits into [bytes] from the starts that are due; when hundreds wait after a mass failure, the most urgent first. */
    private fun takeStarts(bytes: Int): List<Placement> {
        val size = StartsSize()
        val taken =
            startsDue.sortedByDescending { it.task.job.spec.priority }.takeWhile { start ->
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

    /** [page] has [numbers] of [window] now: all that was durable of it before, so other pages need it no longer. */
    private fun markDurable(window: ResultWindow, numbers: BitSet, page: JournalPage) {
        val added = numbers.clone() as BitSet
        added.andNot(window.durable)
        window.durable.or(numbers)
        added.stream().forEach { window.job.tasks[it].doneDurable = true }
        pages.forEach { if (it !== page && !it.busy) it.results -= window }
        page.results += window
    }

    private companion object {
        /** Writes on their way at once. */
        const val MAX_BUSY = 3
    }
}
