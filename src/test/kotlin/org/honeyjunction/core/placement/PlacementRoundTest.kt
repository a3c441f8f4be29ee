package org.honeyjunction.core.placement

import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.model.Resources
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

private fun gpus(n: Int) = Resources(n * 4.0, n.toDouble(), n * 16.0)

private fun row(
    job: Int,
    task: Int = 0,
    team: Int = 0,
    image: Int = job,
    gpus: Int = 1,
    priority: Priority = Priority.NORMAL,
    zones: Long = -1,
    spot: Boolean = false,
    oneZone: Boolean = false,
    gangSize: Int = 0,
    guaranteed: Boolean = true,
    waitingMs: Long = 0,
    remainingPerZone: List<Int>? = null,
    types: Long = -1,
) = TaskRow(
    job,
    task,
    team,
    priority,
    waitingMs,
    gpus(gpus),
    image,
    5.0,
    zones,
    types,
    spot,
    oneZone,
    gangSize,
    guaranteed,
    remainingPerZone,
)

private fun capacity(machine: Int, gpus: Int = 1, zone: Int = 0, spot: Boolean = false, vararg images: Int) =
    FreeCapacity(machine, gpus(gpus), 0, zone, spot, images)

private fun summary(capacities: List<FreeCapacity>, vararg rows: TaskRow, running: Int = 0) =
    Summary(capacities, listOf(TeamShare(1.0, running), TeamShare(3.0, 0)), capacities.size, rows.asList())

class PlacementRoundTest {
    private val round = PlacementRound()

    private fun placed(summary: Summary) = round.place(summary).associate { (it.job to it.task) to it.machine }

    @Test
    fun `figure 1 of the paper - both tasks run on nodes that have their data`() {
        // The data of T1 is on both nodes, that of T2 only on the first; a greedy scheduler would give the first node to T1.
        val t1 = row(1, image = 1)
        val t2 = row(2, image = 2)
        val both = summary(listOf(capacity(10, 1, 0, false, 1, 2), capacity(11, 1, 0, false, 1)), t1, t2)
        assertEquals(mapOf((1 to 0) to 11, (2 to 0) to 10), placed(both))
    }

    @Test
    fun `two teams of weights 1 and 3 share the slots in proportion`() {
        val rows = (0 until 8).map { row(1, it, team = 0) } + (0 until 8).map { row(2, it, team = 1) }
        val capacities = (0 until 8).map { capacity(it) }
        assertEquals(mapOf(1 to 2, 2 to 6), round.place(summary(capacities, *rows.toTypedArray())).groupingBy { it.job }.eachCount())
    }

    @Test
    fun `group cost and slots to occupy follow formulas 6 and 9 of the paper`() {
        val summary = Summary(List(8) { capacity(it) }, listOf(TeamShare(1.0, 3), TeamShare(3.0, 1)), 8, emptyList())
        val matrix = CostMatrix(summary, CostSettings())
        assertEquals(300.0, matrix.groupCost(0), 1e-9)
        assertEquals(100.0 / 3, matrix.groupCost(1), 1e-9)
        assertEquals(0, matrix.slotsToOccupy(0, 9))
        assertEquals(5, matrix.slotsToOccupy(1, 9))
        assertEquals(2, matrix.slotsToOccupy(1, 2))
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "a gang that fits starts whole,           gang,2,2",
        "a gang that does not fit does not start, gang,3,0",
        "an array starts the tasks that fit,      array,3,2",
        "a one-zone job stays in one zone,        zone,2,1",
        "a spread job keeps its limit per zone,   spread,3,2",
        "a spot machine is used only if allowed,  spot,1,0",
        "no task starts in a forbidden zone,      barred,1,0",
        "no task starts on a forbidden type,      type,1,0",
        "a task too large for any machine waits,  large,1,0",
    )
    fun `as many tasks start as the free machines and the limits of their job allow`(
        name: String,
        kind: String,
        tasks: Int,
        expected: Int,
    ) {
        val capacities =
            when (kind) {
                "spot" -> listOf(capacity(0, spot = true))
                "zone" -> listOf(capacity(0, zone = 0), capacity(1, zone = 1))
                "spread" -> listOf(capacity(0, 4, zone = 0))
                else -> listOf(capacity(0), capacity(1))
            }
        val rows =
            (0 until tasks).map {
                when (kind) {
                    "gang" -> row(1, it, gangSize = tasks)
                    "zone" -> row(1, it, oneZone = true)
                    "spread" -> row(1, it, remainingPerZone = listOf(2, 2))
                    "barred" -> row(1, it, zones = 2)
                    "type" -> row(1, it, types = 2)
                    "large" -> row(1, it, gpus = 2)
                    else -> row(1, it)
                }
            }
        assertEquals(expected, round.place(summary(capacities, *rows.toTypedArray())).size, name)
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "waits for a machine with the image that is free before a fetch ends, 20, 0, 0, false",
        "starts elsewhere if a fetch ends first,                              60, 0, 0, true",
        "starts elsewhere after waiting for as long as a fetch,               20, 51000, 0, true",
        "a gang does not wait,                                                20, 0, 1, true",
    )
    fun `a task outside gangs waits for a busy machine with its image for no longer than a fetch takes`(
        name: String,
        freeInS: Double,
        waitingMs: Long,
        gangSize: Int,
        starts: Boolean,
    ) {
        val busy =
            FreeCapacity(
                0,
                Resources.NONE,
                0,
                0,
                false,
                intArrayOf(1),
                fetchGbPerS = 0.1,
                upcoming = listOf(UpcomingCapacity(freeInS, gpus(1))),
            )
        val free = FreeCapacity(1, gpus(1), 0, 0, false, intArrayOf(), fetchGbPerS = 0.1)
        val placed = placed(summary(listOf(busy, free), row(1, image = 1, gangSize = gangSize, waitingMs = waitingMs)))
        assertEquals(if (starts) mapOf((1 to 0) to 1) else emptyMap(), placed, name)
    }

    @Test
    fun `a machine that fetches an image starts no second fetch but accepts tasks of that image`() {
        val fetching = FreeCapacity(0, gpus(3), 0, 0, false, intArrayOf(1), fetchingGb = 4.0, fetchGbPerS = 0.1)
        assertEquals(mapOf((1 to 0) to 0), placed(summary(listOf(fetching), row(1, image = 1), row(2, image = 2))))
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "waits for a fetch that ends soon,                       4.0,  0,     false",
        "does not wait for a fetch of over twice its own length, 10.5, 0,     true",
        "does not wait beyond the expected end of the fetch,     4.0,  41000, true",
    )
    fun `a production task waits for a fetch of another image that ends soon, but not beyond its expected end`(
        name: String,
        leftGb: Double,
        waitingMs: Long,
        placed: Boolean,
    ) {
        val fetching = FreeCapacity(0, gpus(3), 0, 0, false, intArrayOf(1), fetchingGb = leftGb, fetchGbPerS = 0.1)
        assertEquals(
            placed,
            (2 to 0) in placed(summary(listOf(fetching), row(2, image = 2, priority = Priority.PRODUCTION, waitingMs = waitingMs))),
            name,
        )
    }

    @Test
    fun `tasks of one image are placed on one machine and share one fetch`() {
        val rows = (0 until 8).map { row(it % 2 + 1, it, image = it % 2) }
        val byMachine = round.place(summary(listOf(capacity(0, 4), capacity(1, 4)), *rows.toTypedArray())).groupBy { it.machine }
        assertEquals(listOf(1, 1), byMachine.values.map { proposals -> proposals.distinctBy { it.job }.size })
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "the reserving job may use the machine, 5, NORMAL, 1",
        "another job of the same priority may not, 6, NORMAL, 0",
        "a job of higher priority may, 6, HIGH, 1",
    )
    fun `a machine reserved for a gang accepts only the gang's job and jobs of higher priority`(
        name: String,
        job: Int,
        priority: Priority,
        starts: Int,
    ) {
        val reserved = FreeCapacity(0, gpus(4), 0, 0, false, intArrayOf(), reservedFor = 5, reservedPriority = Priority.NORMAL)
        assertEquals(starts, placed(summary(listOf(reserved), row(job, gpus = 4, priority = priority))).size, name)
    }

    @Test
    fun `one task waits for a busy slot and the others start elsewhere`() {
        val busy =
            FreeCapacity(
                0,
                Resources.NONE,
                0,
                0,
                false,
                intArrayOf(1),
                fetchGbPerS = 0.1,
                upcoming = listOf(UpcomingCapacity(9.0, gpus(1))),
            )
        val free = List(4) { FreeCapacity(it + 1, gpus(1), 0, 0, false, intArrayOf(), fetchGbPerS = 0.1) }
        assertEquals(3, placed(summary(free + busy, *Array(4) { row(1, it, image = 1) })).size)
    }

    @Test
    fun `a task of higher priority starts first and others use the remaining capacity`() {
        val capacities = listOf(capacity(0, 4))
        val low = (0 until 4).map { row(1, it, image = 2, priority = Priority.LOW) }
        val high = row(2, gpus = 3, priority = Priority.PRODUCTION)
        val jobs = round.place(summary(capacities, high, *low.toTypedArray())).map { it.job }.sorted()
        assertEquals(listOf(1, 2), jobs)
    }

    @Test
    fun `a task that has waited long starts before a newer one whose image is cached`() {
        val capacities = listOf(capacity(0, 1, 0, false, 2))
        val old = row(1, waitingMs = 600_000)
        assertEquals(listOf(1), round.place(summary(capacities, row(2, image = 2), old)).map { it.job })
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "a lower priority is preempted,            HIGH,true,NORMAL,0,true,true",
        "an equal priority is not,                 HIGH,true,HIGH,0,false,false",
        "another team's work beyond its guarantee, NORMAL,true,HIGH,1,false,true",
        "not another team's guaranteed work,       NORMAL,true,HIGH,1,true,false",
        "not for a task beyond its own guarantee,  NORMAL,false,HIGH,1,false,false",
    )
    fun `a waiting task preempts only tasks of lower priority or, if guaranteed, other teams' tasks that are not`(
        name: String,
        priority: Priority,
        guaranteed: Boolean,
        victimPriority: Priority,
        team: Int,
        victimGuaranteed: Boolean,
        preempts: Boolean,
    ) {
        val waiting = row(1, priority = priority, guaranteed = guaranteed)
        val victim = PreemptibleTask("v", 0, team, victimPriority, victimGuaranteed, gpus(1), 5.0)
        assertEquals(if (preempts) listOf(victim) else null, Preemption.victims(waiting, Resources.NONE, listOf(victim)), name)
    }

    @Test
    fun `the fewest tasks are preempted, those that lose the least work first`() {
        val running = listOf(90.0, 3.0, 5.0).map { PreemptibleTask(it, 0, 0, Priority.LOW, true, gpus(1), it) }
        assertEquals(listOf(3.0), Preemption.victims(row(1), Resources.NONE, running)?.map { it.task })
        assertEquals(listOf(3.0, 5.0), Preemption.victims(row(1, gpus = 3), gpus(1), running)?.map { it.task })
        assertNull(Preemption.victims(row(1, gpus = 4), Resources.NONE, running))
    }
}
