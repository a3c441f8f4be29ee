package org.honeyjunction.simulation

import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.MachineType
import org.honeyjunction.core.model.Resources
import org.honeyjunction.fake.Fault
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource

/** Runs of [Scenario] with planned faults, and the text form of [Fault]. */
class ScenarioTest {
    private val setup =
        ClusterSetup(
            listOf("a", "b", "c"),
            MachineType("m", Resources(16.0, 4.0, 64.0), 50.0, 2.0, 8.0, 3.0, 4.0, listOf(0, 1, 2)),
            mapOf("t" to 1_200.0, "u" to 1_200.0),
            400.0,
            pageBytes = 3_600,
        )

    private fun play(seed: Long, vararg faults: String): Scenario =
        Scenario(setup, 300, seed, Scenario.jobs(300, setup), faults.map(Fault::parse)) { _, _ -> }.also { it.run(600_000) }

    @Test
    fun `all jobs complete after a zone partition and the loss of machines, and the same seed repeats the run`() {
        val faults = arrayOf("at 60s cut zone b for 20s", "at 63s kill leader", "at 110s kill 50 machines", "at 112s state outage for 6s")
        val scenario = play(3, *faults)
        assertEquals(emptyList<String>(), scenario.cluster.broken)
        assertEquals(emptyList<String>(), scenario.unfinished())
        assertTrue(
            scenario.serviceLevels.availability() in 0.85..0.999,
            "availability of replicas: ${scenario.serviceLevels.availability()}",
        )
        assertTrue(scenario.serviceLevels.worstAvailability(30) < scenario.serviceLevels.availability())
        assertTrue(scenario.serviceLevels.waitQuantiles(JobKind.GANG).all { it != null })
        val repeated = play(3, *faults)
        assertEquals(
            listOf(scenario.status(), scenario.serviceLevels.availability(), scenario.serviceLevels.spent),
            listOf(repeated.status(), repeated.serviceLevels.availability(), repeated.serviceLevels.spent),
        )
    }

    @Test
    fun `all jobs complete after slow and failed boots, suspended and killed leaders and the loss of machines`() {
        val scenario =
            play(
                5,
                "at 0s slow boots for 40s",
                "at 50s lose boots for 60s",
                "at 55s hang leader for 14s",
                "at 80s kill leader",
                "at 85s kill 60 machines",
                "at 95s hang leader for 3s",
            )
        assertEquals(emptyList<String>(), scenario.cluster.broken)
        assertEquals(emptyList<String>(), scenario.unfinished())
        assertTrue(scenario.cluster.cloud.failedBoots > 0)
        // Once no new machines are rented, a boot is abandoned by age alone: at six times the late threshold of boot times.
        scenario.cluster.run(200_000)
        assertEquals(0, scenario.cluster.cloud.bootingCount, "machines that never boot are released")
    }

    @ParameterizedTest
    @CsvSource(
        "at 60s cut zone meseta for 47s, 60000, CUT, 47000",
        "at 1.5s hang 200 machines for 30s, 1500, HANG, 30000",
        "at 2s kill 5 machines, 2000, KILL, 4000",
        "at 2s notice zone x for 9s, 2000, NOTICE, 9000",
        "at 3s isolate leader for 8s, 3000, ISOLATE, 8000",
        "at 3s refuse holder for 8s, 3000, REFUSE, 8000",
        "at 3s deafen zone x for 9s, 3000, DEAFEN, 9000",
        "at 3s delay writes for 9s, 3000, DELAY, 9000",
        "at 3s repeat reports for 9s, 3000, REPEAT, 9000",
        "at 3s slow boots for 60s, 3000, SLOW, 60000",
        "at 3s lose boots, 3000, LOSE, 4000",
        "at 0.5s storm polls for 20s, 500, STORM, 20000",
        "at 3s lose answers for 9s, 3000, LOSE, 9000",
        "at 3s on term keep reports for 9s, 3000, KEEP, 9000",
        "at 3s on write kill leader for 9s, 3000, KILL, 9000",
        "at 3s close looks for 9s, 3000, CLOSE, 9000",
        "at 3s on end cancel 4 jobs for 9s, 3000, CANCEL, 9000",
        "at 3s cancel ends for 9s, 3000, CANCEL, 9000",
        "at 3s cancel accepted for 9s, 3000, CANCEL, 9000",
        "at 3s mute zone x for 9s, 3000, MUTE, 9000",
        "at 3s mute 4 machines for 9s, 3000, MUTE, 9000",
        "at 3s hurry boots for 9s, 3000, HURRY, 9000",
        "at 3s lag lists for 9s, 3000, LAG, 9000",
        "at 3s odd requests for 9s, 3000, ODD, 9000",
    )
    fun `a fault is parsed, and its text form parses to the same fault`(text: String, atMs: Long, what: Fault.What, forMs: Long) {
        val fault = Fault.parse(text)
        assertEquals(listOf(atMs, what, forMs), listOf(fault.atMs, fault.what, fault.forMs))
        assertEquals(fault, Fault.parse(fault.toString()), "the text form parses to the same fault")
    }

    @ParameterizedTest
    @ValueSource(
        strings = [
            "at 2s refuse zone x",
            "at 2s cut leader",
            "at 2s kill machines",
            "at 2s kill 1000000 machines",
            "at 2s hang zone",
            "2s kill machine",
            "at 2s kill boots",
            "at 2s slow polls",
            "at 2s storm machine",
            "at 2s refuse polls",
            "at 2s isolate machine",
            "at 2s deafen leader",
            "at 2s delay reports",
            "at 2s lose reports",
            "at 2s keep writes",
            "at 2s cancel machines",
            "at 2s close ends",
            "at 2s on start kill leader",
            "at 2s on end 4 jobs",
        ],
    )
    fun `a text that names no valid fault is rejected`(text: String) {
        assertThrows(IllegalArgumentException::class.java) { Fault.parse(text) }
    }
}
