package org.honeyjunction.core.control.machines

import org.honeyjunction.core.control.leader.ClusterState
import org.honeyjunction.core.control.leader.Tuning
import org.honeyjunction.core.model.MachinePhase
import org.honeyjunction.simulation.ClusterSetup
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

class ZoneHealthMonitorTest {
    private val state = ClusterState(ClusterSetup().cluster(), Tuning(), term = 3)
    private val zones = ZoneHealthMonitor(state, startedAt = 0)
    private var now = 0L

    private fun machine(name: String) =
        state.addMachine(name, now).also {
            state.describe(it, "10.1.0.1:1", "t4", "x", spot = false)
            it.enter(MachinePhase.UP)
        }

    private fun pass(ms: Long) {
        val end = now + ms
        while (now < end) {
            now += 250
            zones.step(now)
        }
    }

    /**
     * Guards against a zone that counts as cut off for good, so that nothing is rented in it: its unresponsive machines were released, and
     * the others had reported all the time, so that none ever reported again.
     */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "all unresponsive machines are released,  3, HEALTHY",
        "one of them is still unresponsive,       2, PARTITIONED",
    )
    fun `a partition ends when no unresponsive machine is left`(name: String, releasedMachines: Int, expected: ZoneHealth) {
        val silent = listOf("vm-1", "vm-2", "vm-3").map(::machine)
        listOf("vm-4", "vm-5").forEach { machine(it) }
        silent.forEach { it.enter(MachinePhase.SUSPECTED) }
        pass(1_000)
        assertEquals(ZoneHealth.PARTITIONED, zones[0])
        silent.take(releasedMachines).forEach { state.removeMachine(it, now) }
        pass(10_000)
        assertEquals(expected, zones[0], name)
    }
}
