package org.honeyjunction.simulation

import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.rules.RuleSet
import org.honeyjunction.core.rules.Topology
import org.honeyjunction.rules.RulesReader
import org.honeyjunction.rules.TopologyReader
import org.honeyjunction.wire.Json
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Placement rules in a simulated cluster with complete leaders, in virtual time. */
class RulesSimulationTest {
    private fun ruleSet(version: Long, text: String, topology: String? = null): RuleSet {
        val labels = topology?.let { TopologyReader.parse(Json.read(it.toByteArray())) } ?: Topology.EMPTY
        val document = RulesReader(labels.labels).read(text)
        assertEquals(emptyList<Any>(), document.errors)
        return RuleSet(version, document.rules, labels)
    }

    private fun SimulatedCluster.assertDone(jobs: List<String>) {
        assertEquals(emptyList<String>(), broken)
        assertEquals(emptyList<String>(), jobs.filter { state.terminalRecords[it]?.stage != JobStage.DONE }, "unfinished jobs")
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3])
    fun `must rules hold under faults, and all jobs complete`(seed: Long) {
        val cluster =
            SimulatedCluster(
                seed,
                rules =
                    ruleSet(
                        1,
                        """rule "north" for class "x" { must machine.zone = "x" }
                rule "apart" for class "q" { must not machine runs class "b" }
                rule "spare" for class "b" { prefer machine.spot weight 3 }
                rule "together" for kind gang { prefer same zone weight 20 }""",
                    ),
            )
        cluster.elect()
        val jobs =
            listOf(
                cluster.submit(1, JobKind.ARRAY, 6, "a", jobClass = "x"),
                cluster.submit(2, JobKind.ARRAY, 8, "a", spot = true, jobClass = "b"),
                cluster.submit(3, JobKind.ARRAY, 8, "b", jobClass = "q"),
                cluster.submit(4, JobKind.GANG, 3, "b", gpus = 4, jobClass = "g"),
            )
        cluster.run(9_000)
        cluster.workers.values.first().dead = true
        cluster.leader?.alive = false
        cluster.after(SimulatedCluster.LEADER_LEASE_MS) { cluster.elect() }
        cluster.run(9_000)
        cluster.workers.values.filter { !it.dead }.last().cutUntil = cluster.now + 14_000
        cluster.run(260_000)
        cluster.assertDone(jobs)
    }

    @Test
    fun `a rule that no rentable machine is certain to meet causes no scale-out and blocks no other job`() {
        val cluster =
            SimulatedCluster(
                4,
                rules =
                    ruleSet(
                        1,
                        "rule \"z\" for class \"q\" { must machine.rack = \"z\" }",
                        """{"machines":[{"name":"vm-9*","labels":{"rack":"z"}}]}""",
                    ),
            )
        cluster.elect()
        cluster.submit(1, JobKind.ARRAY, 9, "b", jobClass = "q")
        val other = cluster.submit(2, JobKind.ARRAY, 4, "a")
        cluster.run(120_000)
        cluster.assertDone(listOf(other))
        assertTrue(cluster.cloud.totalRented <= 4, "rented ${cluster.cloud.totalRented}")
        val reasons = cluster.leader!!.leader.explain("j-1", 0, 1, cluster.now)!!.single().pendingReasons
        assertTrue(reasons.any { "no machine is rented" in it && "\"z\"" in it }, reasons.toString())
    }

    @Test
    fun `tasks that a rule keeps apart get a machine each`() {
        val cluster = SimulatedCluster(5, rules = ruleSet(1, "rule \"own machine\" for class \"q\" { must not machine runs class \"q\" }"))
        cluster.elect()
        val job = cluster.submit(1, JobKind.ARRAY, 6, "a", jobClass = "q")
        cluster.run(60_000)
        cluster.assertDone(listOf(job))
        assertTrue(cluster.cloud.totalRented in 5..8, "rented ${cluster.cloud.totalRented}")
    }

    @Test
    fun `changed rules stop no running task and apply to later starts`() {
        val cluster = SimulatedCluster(6)
        cluster.elect()
        cluster.submit(1, JobKind.SERVICE, 2, "a", spread = true)
        cluster.run(20_000)

        fun liveTasks() =
            cluster.workers.values.flatMap { worker -> worker.tasks.values.filter { it.live }.map { "${it.id} on ${worker.name}" } }
        val tasksBefore = liveTasks()
        assertEquals(2, tasksBefore.size)
        cluster.apply(ruleSet(1, "rule \"x only\" for all { must machine.zone = \"x\" }"))
        val laterJob = cluster.submit(2, JobKind.ARRAY, 4, "a", seconds = 1e6)
        cluster.run(40_000)
        assertEquals(tasksBefore, liveTasks().filter { "j-1/" in it }, "running tasks stay where they are")
        val zones =
            cluster.workers.values
                .filter { worker ->
                    worker.tasks.values.any { it.spec.id == laterJob && it.live }
                }.map { it.box.zone }
                .toSet()
        assertEquals(setOf("x"), zones)
        assertEquals(emptyList<String>(), cluster.broken)
    }

    @Test
    fun `tasks that a rule keeps apart from a job of higher priority are preempted for it`() {
        val cluster =
            SimulatedCluster(8, capacity = 1, rules = ruleSet(1, "rule \"apart\" for class \"q\" { must not machine runs class \"b\" }"))
        cluster.elect()
        cluster.submit(1, JobKind.ARRAY, 2, "a", jobClass = "b", seconds = 1e6, checkpoint = 2.0)
        cluster.run(20_000)
        val urgent = cluster.submit(2, JobKind.ARRAY, 1, "b", jobClass = "q", priority = org.honeyjunction.core.model.Priority.HIGH)
        cluster.run(40_000)
        cluster.assertDone(listOf(urgent))
    }

    @Test
    fun `explanations are bounded in number and time`() {
        val cluster = SimulatedCluster(9, rules = ruleSet(1, "rule \"r\" for all { prefer machine.spot weight 2 }"))
        cluster.elect()
        val job = cluster.submit(1, JobKind.ARRAY, 6, "a")
        cluster.run(40_000)
        val explanations = cluster.leader!!.leader.explain(job, 0, 6, cluster.now)!!
        assertEquals(6, explanations.size)
        explanations.forEach { explanation -> assertEquals(listOf(false to 2.0), explanation.rules.map { it.met to it.costGb }) }
        assertEquals(null, cluster.leader!!.leader.explain(job, 0, 6, cluster.now + 1_200_000)?.ifEmpty { null })
    }
}
