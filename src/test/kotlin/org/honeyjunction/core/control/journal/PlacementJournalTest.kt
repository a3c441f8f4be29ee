package org.honeyjunction.core.control.journal

import org.honeyjunction.core.control.leader.ClusterState
import org.honeyjunction.core.control.leader.StoredJob
import org.honeyjunction.core.control.leader.Tuning
import org.honeyjunction.core.control.messages.Change
import org.honeyjunction.core.control.messages.CommitOutcome
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.core.control.testJob
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Phase
import org.honeyjunction.core.model.Placement
import org.honeyjunction.core.model.Resources
import org.honeyjunction.core.results.TaskNumberSet
import org.honeyjunction.simulation.ClusterSetup
import org.honeyjunction.wire.JournalPageCodec
import org.honeyjunction.wire.Json
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

class PlacementJournalTest {
    private val state = ClusterState(ClusterSetup().cluster(), Tuning(), 3)
    private val journal = PlacementJournal(state)
    private var now = 0L
    private val spec = testJob("j-000001", tasks = 200, imageGb = 5.0)
    private val job = state.addJob(StoredJob(spec, "n", 0, 9, JobStage.ACTIVE), 0, 0)

    private fun reserve(count: Int): List<Placement> =
        List(count) {
            val task = job.tasks[job.waiting.nextSetBit(0)]
            val machine = state.addMachine("vm-%06d".format(task.number), 0)
            state.place(task, machine, state.nextSequence(), Phase.RESERVED, now).also(journal::add)
        }

    /** Flushes the journal; returns the pages that it writes, each with the identifier of its commit. */
    private fun flushedPages(): List<Pair<Long, JournalPageRecord>> {
        now += 1_000
        journal.flush(now)
        val commits = state.effects.filterIsInstance<Effect.Commit>()
        val pages = commits.map { it.id to (it.changes.single() as Change.JournalPage).record }
        state.effects.clear()
        return pages
    }

    private fun JournalPageRecord.startedTasks() = starts.map { it.number }

    @Test
    fun `one page write records all starts that became due, once it is applied`() {
        val starts = reserve(5)
        val (id, page) = flushedPages().single()
        assertEquals(listOf(0, 1, 2, 3, 4), page.startedTasks())
        assertEquals(setOf(Phase.RESERVED), starts.map { it.phase }.toSet())
        state.committed(id, CommitOutcome.Applied(10))
        assertEquals(setOf(Phase.RECORDED), starts.map { it.phase }.toSet())
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource("the version read afterwards is the next condition, 7, 7", "an unknown version leaves the old condition, , 0")
    fun `a failed write records nothing and is retried`(name: String, version: Long?, condition: Long) {
        val starts = reserve(2)
        state.committed(flushedPages().single().first, CommitOutcome.Failed(version))
        assertEquals(setOf(Phase.RESERVED), starts.map { it.phase }.toSet())
        val (_, retried) = flushedPages().single()
        assertEquals(listOf(0, 1), retried.startedTasks(), name)
        assertEquals(condition, retried.version, name)
    }

    @Test
    fun `a rewritten page keeps the entries that are still needed and drops the others`() {
        val starts = reserve(3)
        val result = job.tasks[9]
        job.markDone(result)
        journal.add(result)
        state.committed(flushedPages().single().first, CommitOutcome.Applied(10))
        assertTrue(result.doneDurable)
        state.remove(starts[1], now)
        reserve(1)
        val (_, page) = flushedPages().single()
        assertEquals(listOf(0, 2, 1), page.startedTasks())
        assertEquals(mapOf("j-000001" to "9"), page.done.mapValues { TaskNumberSet.text(it.value) })
        assertEquals(10L, page.version)
    }

    @Test
    fun `a start of an earlier term stays recorded until it is gone`() {
        val recovered = state.place(job.tasks[50], state.addMachine("vm-old", 0), 77, Phase.UNCONFIRMED, 0)
        journal.restore(JournalPageRecord(0, 8, emptyList(), emptyMap()), listOf(recovered), listOf(job.tasks[60]), emptySet())
        reserve(1)
        val (id, page) = flushedPages().single()
        assertEquals(listOf(50, 0), page.startedTasks())
        assertEquals(8L, page.version)
        state.committed(id, CommitOutcome.Applied(11))
        state.remove(recovered, now)
        reserve(1)
        assertEquals(listOf(0, 1), flushedPages().single().second.startedTasks().filter { it < 50 })
    }

    @Test
    fun `no page exceeds its size limit, and what does not fit is written later`() {
        reserve(150)
        val recorded = HashSet<Int>()
        repeat(30) {
            for ((id, page) in flushedPages()) {
                val bytes = Json.write(JournalPageCodec.write(page, Long.MAX_VALUE)).size
                assertTrue(bytes <= state.cluster.pageBytes + 60, "page of $bytes bytes")
                recorded += page.startedTasks()
                state.committed(id, CommitOutcome.Applied(100L + it))
            }
        }
        assertEquals((0 until 150).toSet(), recorded)
        assertEquals(setOf(Phase.RECORDED), job.placements.map { it.phase }.toSet())
    }

    /** Guards against a backlog of results, which once reached 18,000: one page write must record thousands of results. */
    @ParameterizedTest(name = "{0}")
    @CsvSource("in order, 1, 3", "every second first, 2, 10", "scattered, 7919, 26")
    fun `twenty thousand results are recorded in a few writes, whatever their order`(name: String, step: Int, writes: Int) {
        val largeJob = state.addJob(StoredJob(spec.copy(id = "j-000002", tasks = 20_000), "n", 0, 9, JobStage.ACTIVE), 0, 0)
        val order =
            if (step == 2) {
                (0 until 20_000 step 2) + (1 until 20_000 step 2)
            } else {
                (0 until 20_000).map { (it.toLong() * step % 20_000).toInt() }
            }
        var count = 0
        for (chunk in order.chunked(7_000)) {
            chunk.forEach { number -> largeJob.tasks[number].let { if (largeJob.markDone(it)) journal.add(it) } }
            repeat(20) {
                for ((id, page) in flushedPages()) {
                    count++
                    assertTrue(
                        Json.write(JournalPageCodec.write(page, Long.MAX_VALUE)).size <= state.cluster.pageBytes + 60,
                        "page of ${page.done}",
                    )
                    state.committed(id, CommitOutcome.Applied(100L + count))
                }
            }
        }
        assertTrue(largeJob.tasks.all { it.doneDurable })
        assertTrue(count <= writes, "$name: $count writes")
    }

    @Test
    fun `starts of one array on one machine are recorded together in a few bytes`() {
        val largeJob =
            state.addJob(
                StoredJob(spec.copy(id = "j-000003", tasks = 96, need = Resources(0.01, 0.01, 0.01)), "n", 0, 9, JobStage.ACTIVE),
                0,
                0,
            )
        largeJob.tasks.forEach { state.place(it, state.addMachine("vm-000001", 0), 77, Phase.RESERVED, now).also(journal::add) }
        val (_, page) = flushedPages().single()
        assertEquals(79, page.startedTasks().size, "as many starts as certainly fit into a page of 600 bytes")
        val json = JournalPageCodec.write(page, 4)
        assertTrue(Json.write(json).size < 120, "$json")
        assertEquals(page, JournalPageCodec.read(page.page, page.version, Json.read(Json.write(json))))
    }

    private fun reserveJobs(count: Int): List<Placement> =
        List(count) {
            val oneTask = spec.copy(id = "j-%06d".format(100 + it), tasks = 1)
            val started = state.addJob(StoredJob(oneTask, "n", 0, 9, JobStage.ACTIVE), 0, 0)
            val machine = state.addMachine("vm-000001", 0)
            state.place(started.tasks[0], machine, state.nextSequence(), Phase.RESERVED, now).also(journal::add)
        }

    /** Flushes the journal for [seconds], with all writes applied; notes in [stored] which jobs each page names. Returns the number of writes. */
    private fun flushFor(seconds: Int, stored: MutableMap<Int, Set<String>>): Int {
        var writes = 0
        repeat(seconds) {
            for ((id, page) in flushedPages()) {
                stored[page.page] = page.starts.map { it.job }.toSet()
                state.committed(id, CommitOutcome.Applied(100L + writes++))
            }
        }
        return writes
    }

    private fun end(start: Placement, removed: Boolean = true) {
        start.task.job.enter(JobStage.DONE)
        state.finishJob(start.task.job, now)
        if (removed) state.remove(start, now)
    }

    /** Guards against pages that go on naming the ended jobs of the past's largest peak, whose records each new leader reads. */
    @Test
    fun `after many jobs ran at the same time and ended, the pages soon name few of them`() {
        state.leaseGuard.renewed(Long.MAX_VALUE, 0)
        val stored = HashMap<Int, Set<String>>()
        val starts = reserveJobs(500)
        flushFor(100, stored)
        assertEquals(500, stored.values.flatten().toSet().size)
        starts.drop(1).forEach(::end)
        val writes = flushFor(stored.size * 2, stored)
        val named = stored.values.flatten().toSet()
        assertTrue("j-000100" in named, "the job that goes on is still recorded")
        assertTrue(named.size <= stored.size * 8, "${named.size} jobs in ${stored.size} pages")
        assertTrue(writes <= stored.size, "$writes writes for ${stored.size} pages")
        assertEquals(0, flushFor(10, stored), "nothing is written any more")
    }

    @Test
    fun `ended jobs whose tasks may still be on machines are not written again and again`() {
        state.leaseGuard.renewed(Long.MAX_VALUE, 0)
        val stored = HashMap<Int, Set<String>>()
        val starts = reserveJobs(50)
        flushFor(20, stored)
        starts.forEach { end(it, removed = false) }
        assertEquals(0, flushFor(10, stored))
    }
}
