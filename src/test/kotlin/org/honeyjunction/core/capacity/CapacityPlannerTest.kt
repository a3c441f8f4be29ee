package org.honeyjunction.core.capacity

import org.honeyjunction.core.model.MachineType
import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.model.Resources
import org.honeyjunction.core.placement.TaskRow
import org.honeyjunction.core.placement.UpcomingCapacity
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

class CapacityPlannerTest {
    private val size = Resources(4.0, 4.0, 4.0)
    private val types = mapOf(0 to MachineType("t", size, 50.0, 0.5, 8.0, 3.0, 20.0, listOf(0, 1)))
    private val spot = Offer(0, 0, true)
    private val ordinary = Offer(0, 0, false)

    private fun row(task: Int, spot: Boolean) =
        TaskRow(1, task, 0, Priority.NORMAL, 0, Resources(1.0, 1.0, 1.0), 0, 5.0, -1, -1, spot, false, 0, true)

    @Test
    fun `an empty machine is reserved for a gang although an array arrived first`() {
        val gang = row(0, false).copy(job = 2, need = size, gangSize = 1)
        val waiting = listOf(TaskDemand(row(0, false), 4), TaskDemand(gang, 1))
        val plan = CapacityPlanner(types) { false }.plan(waiting, emptyList(), listOf(Bin(7, ordinary, size, true)), emptyMap())
        assertEquals(mapOf(7 to 2), plan.reservedForJob)
        assertEquals(1, plan.instancesToRent.values.sum())
    }

    /** Guards against a gang that runs for less time than a boot waiting forever for the capacity that its own first task would free. */
    @ParameterizedTest(name = "a gang of {0} that runs {1} s, one task on each of {2} machines: {3} rented")
    @CsvSource("2, 2, 1, 1", "2, 200, 1, 1", "2, 2, 2, 0", "4, 5, 2, 2")
    fun `the tasks of a gang run at the same time`(tasks: Int, runS: Double, machines: Int, rented: Int) {
        val gang = row(0, false).copy(need = Resources(3.0, 3.0, 3.0), gangSize = tasks)
        val bins = List(machines) { Bin(it, ordinary, size, false) }
        val array = row(0, false).copy(job = 2, need = Resources(3.0, 3.0, 3.0))
        val arrayTasks = if (runS < 100) machines else 0
        val waiting = listOf(TaskDemand(gang, tasks, runS), TaskDemand(array, arrayTasks, 50.0))
        val plan = CapacityPlanner(types) { false }.plan(waiting, emptyList(), bins, emptyMap())
        assertEquals(rented, plan.instancesToRent.values.sum(), "other jobs may use the capacity that the gang frees soon")
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "tasks that fit into free capacity rent nothing,     4, 0, true,  4,  0, false, 0,",
        "four more fit one machine,                          5, 0, true,  4,  0, false, 1,",
        "expected tasks are rented for,                      0, 8, true,  4,  0, false, 1,",
        "capacity freed before a new instance would be up,   8, 0, true,  4, 25, false, 0,",
        "capacity freed too late,                            8, 0, true,  4, 31, false, 1,",
        "refused offers leave the task unmet,                8, 0, true,  4,  0, true,  0,",
        "a bin serves short tasks one after the other,       12, 0, true,  4, 15, false, 0, 12",
        "but not longer ones,                                12, 0, true,  4, 15, false, 1, 31",
        "no spot instance for tasks that may not use one,    4, 0, false, 0,  0, false, 1,",
    )
    fun `instances are rented only for tasks without other capacity`(
        name: String,
        waiting: Int,
        expected: Int,
        spotAllowed: Boolean,
        free: Int,
        freedInS: Double,
        refused: Boolean,
        machines: Int,
        runS: Double?,
    ) {
        val upcoming = if (freedInS > 0) listOf(UpcomingCapacity(freedInS, size)) else emptyList()
        val bin = Bin(7, spot, Resources(free * 1.0, free * 1.0, free * 1.0), true, upcoming)
        val plan =
            CapacityPlanner(types) { refused }.plan(
                listOf(TaskDemand(row(0, spotAllowed), waiting, runS)).filter { it.count > 0 },
                listOf(ExpectedDemand(TaskDemand(row(0, spotAllowed), expected), hasStartObjective = true)),
                listOf(bin),
                emptyMap(),
            )
        assertEquals(machines, plan.instancesToRent.values.sum(), name)
        assertEquals(if (machines == 0) emptySet() else setOf(spotAllowed), plan.instancesToRent.keys.mapTo(HashSet()) { it.spot })
        assertEquals(if (refused) 1 else 0, plan.unmet.size)
        assertEquals(spotAllowed, 7 in plan.machinesToKeep, "the present machine is kept if the tasks may run on it")
        assertEquals(false, ordinary in plan.instancesToRent && spotAllowed)
    }

    @ParameterizedTest(name = "scale-out too slow: {0}")
    @CsvSource("true, '[7]'", "false, '[]'")
    fun `capacity for expected tasks is reserved only if scaling out on arrival would be too slow`(tooSlow: Boolean, reserved: String) {
        val plan =
            CapacityPlanner(types) { false }.plan(
                emptyList(),
                listOf(ExpectedDemand(TaskDemand(row(0, true), 2), hasStartObjective = true, tooSlow)),
                listOf(Bin(7, spot, size, true)),
                emptyMap(),
            )
        assertEquals(reserved, plan.reservedForArrivals.toString())
    }

    /**
     * Work of the lowest priority that is planned on a machine must be able to start there: the priority floor of a reserved machine
     * would keep this work waiting.
     */
    @ParameterizedTest(name = "{0} waits: reserved {1}")
    @CsvSource("LOW, '[]'", "NORMAL, '[7]'")
    fun `a machine that the plan uses for work of the lowest priority is not reserved`(priority: Priority, reserved: String) {
        val waiting = TaskDemand(row(0, true).copy(priority = priority), 1)
        val plan =
            CapacityPlanner(types) { false }.plan(
                listOf(waiting),
                listOf(ExpectedDemand(TaskDemand(row(0, true), 2), hasStartObjective = true, scaleOutTooSlow = true)),
                listOf(Bin(7, spot, size, true)),
                emptyMap(),
            )
        assertEquals(reserved, plan.reservedForArrivals.toString())
    }
}
