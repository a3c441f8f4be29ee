package org.honeyjunction.core.admission

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.util.Random

class QuotaAllocatorTest {
    @Property(tries = 500)
    fun `an allocation never exceeds its demand, leaves nothing unused while demand is unmet, and is max-min fair by weight`(
        @ForAll seed: Long,
        @ForAll @IntRange(min = 1, max = 7) n: Int,
    ) {
        val random = Random(seed)
        val demands = DoubleArray(n) { random.nextInt(20) * 1.0 }
        val weights = DoubleArray(n) { 0.05 + random.nextInt(5) }
        val total = random.nextInt(60) * 1.0
        val shares = MaxMinFairness.allocate(total, demands, weights)
        assertEquals(minOf(total, demands.sum()), shares.sum(), 1e-6)
        for (i in 0 until n) {
            assertTrue(shares[i] <= demands[i] + 1e-9)
            if (shares[i] < demands[i] - 1e-6) for (j in 0 until n) assertTrue(shares[j] / weights[j] <= shares[i] / weights[i] + 1e-6)
        }
    }

    private val weights = QuotaAllocator.weights(mapOf("a" to 100.0, "b" to 100.0))

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        delimiter = '|',
        value = [
            // case | demand by team and class, * for urgent | fair rates of 10 jobs a second
            "a small demand is met, and a flood gets the rest except half of the other team's share | a/x 1, b/y 500 | a/x 1.0, a/* 1.5, " +
                "b/y 7.5, b/* 0.0",
            "two floods share by their weights                  | a/x 500, b/y 500           | a/x 5.0, b/y 5.0",
            "urgent classes go first within their team          | a/x* 20, a/z 20, b/y 20    | a/x 3.75, a/z 1.25, b/y 5.0",
            "other classes get what urgent ones leave           | a/x* 1, a/z 20, b/y 20     | a/x 1.0, a/z 4.0, b/y 5.0",
            "two classes share the rate of their team           | a/x 20, a/z 20, b/y 20     | a/x 2.5, a/z 2.5, b/y 5.0",
            "a team without a guarantee is admitted too         | a/x 50, b/y 50, v/s 50     | a/x 4.76, b/y 4.76, v/s 0.48",
            "and gets the rate that no team uses or reserves    | a/x 1, v/s 50              | a/x 1.0, a/* 1.38, b/* 2.38, v/s 5.24",
            "unused rate is kept in the pools of the teams      | a/x 1, b/y 1               | a/x 1.0, a/* 4.0, b/y 1.0, b/* 4.0",
        ],
    )
    fun `fair rates of teams and classes`(case: String, demand: String, expected: String) {
        val allocator = QuotaAllocator(weights, 3, 1, 0)

        fun rounded(d: Double) = Math.round(d * 100) / 100.0
        val all =
            demand.split(", ").map { entry ->
                val (name, perS) = entry.split(' ')
                Demand(TrafficClass(name.substringBefore('/'), name.substringAfter('/').trimEnd('*')), name.endsWith("*"), perS.toDouble())
            }
        // Half of the demand arrives at each of two nodes.
        val half = all.map { it.copy(jobsPerS = it.jobsPerS / 2) }
        listOf("n0", "n1").forEach { allocator.reportDemand(it, half, PlanEpoch.NONE, 0.0, 0) }
        val rates = allocator.fairRates(10.0, 0)
        for (expectedEntry in expected.split(", ")) {
            val (name, perS) = expectedEntry.split(' ')
            assertEquals(
                perS.toDouble(),
                rounded(rates.getValue(TrafficClass(name.substringBefore('/'), name.substringAfter('/')))),
                "$case: $name in $rates",
            )
        }
        assertEquals(10.0, rates.values.sum(), 1e-6)
    }

    /**
     * Three nodes and a changing leader, with lost and delayed plan requests and responses. The valid grants of all nodes together
     * must never exceed the capacity. With [ignoresOutstandingGrants], the leader wrongly ignores the grants of other nodes.
     */
    private inner class Model(private val ignoresOutstandingGrants: Boolean = false) {
        private val nodes = listOf("n0", "n1", "n2")
        private val controllers = nodes.associateWith { AdmissionController(weights, 0) }
        private val delayedPlans = ArrayList<Triple<String, QuotaPlan, Long>>()
        private var term = 1L
        private var allocator = QuotaAllocator(weights, 3, term, -10_000)
        private var now = 0L

        private fun requestPlan(node: String, fate: Int) {
            val controller = controllers.getValue(node)
            val requestedAt = controller.beginPlanRequest(now)
            // The leader does not know whether a response is lost or delayed.
            allocator.reportDemand(
                node,
                listOf(Demand(TrafficClass("a", "x"), false, 100.0), Demand(TrafficClass("b", "y"), true, 5.0)),
                controller.epoch,
                controller.grantedPerS(now),
                now,
            )
            val plan =
                if (ignoresOutstandingGrants) {
                    QuotaAllocator(weights, 1, term, -10_000).let {
                        it.reportDemand(node, listOf(Demand(TrafficClass("a", "x"), false, 100.0)), PlanEpoch.NONE, 0.0, now)
                        it.allocate(node, TOTAL / 2, emptySet(), now).copy(epoch = PlanEpoch(term, now + 1))
                    }
                } else {
                    allocator.allocate(node, TOTAL, emptySet(), now)
                }
            if (fate == 0) {
                controller.installPlan(plan, requestedAt, now)
            } else if (fate == 1) {
                delayedPlans += Triple(node, plan, requestedAt)
            }
        }

        fun step(event: Int) {
            when {
                event < 9 -> requestPlan(nodes[event % 3], event / 3)
                event == 9 ->
                    delayedPlans.removeFirstOrNull()?.let { (node, plan, requestedAt) ->
                        controllers.getValue(node).installPlan(plan, requestedAt, now)
                    }
                event == 10 -> now += 1_600
                // The next leader does not know the outstanding grants.
                else -> allocator = QuotaAllocator(weights, 3, ++term, now)
            }
            now += 1
        }

        fun totalGrantedPerS() = controllers.values.sumOf { it.grantedPerS(now) }
    }

    private fun explore(depth: Int, ignoresOutstandingGrants: Boolean): Pair<Int, List<Int>?> {
        var pathsTried = 0
        val path = IntArray(depth)
        while (true) {
            val model = Model(ignoresOutstandingGrants)
            pathsTried++
            for (i in 0 until depth) {
                model.step(path[i])
                if (model.totalGrantedPerS() > TOTAL * (1 - QuotaAllocator.UNPLANNED_SHARE) + 1e-6) return pathsTried to path.take(i + 1)
            }
            var i = depth - 1
            while (i >= 0 && ++path[i] == EVENTS) path[i--] = 0
            if (i < 0) return pathsTried to null
        }
    }

    @Test
    fun `grants never exceed the capacity when plans are lost or delayed or the leader changes`() {
        assertEquals(248_832 to null, explore(5, ignoresOutstandingGrants = false))
        assertTrue(
            explore(5, ignoresOutstandingGrants = true).second != null,
            "the search detects a leader that ignores outstanding grants",
        )
    }

    @Test
    fun `a node gets the default rate while other nodes hold all grants, and its fair rate once they release them`() {
        val allocator = QuotaAllocator(weights, 3, 1, -10_000)
        val flood = listOf(Demand(TrafficClass("a", "x"), false, 100.0))
        allocator.reportDemand("n0", flood, PlanEpoch.NONE, 0.0, 0)
        val first = allocator.allocate("n0", TOTAL, emptySet(), 0)
        allocator.reportDemand("n1", listOf(Demand(TrafficClass("b", "y"), false, 2.0)), PlanEpoch.NONE, 0.0, 1)
        val second = allocator.allocate("n1", TOTAL, emptySet(), 1)
        assertTrue(first.totalPerS + second.totalPerS <= TOTAL + 1e-6)
        assertTrue(second.defaultPerS > 0)
        // The second node gets its share when the first one has reported its smaller plan, or at the latest when the larger plan expires.
        allocator.reportDemand("n0", flood, first.epoch, first.totalPerS, 500)
        val smaller = allocator.allocate("n0", TOTAL, emptySet(), 500)
        allocator.reportDemand("n0", flood, smaller.epoch, smaller.totalPerS, 1_000)
        allocator.reportDemand("n1", listOf(Demand(TrafficClass("b", "y"), false, 2.0)), second.epoch, second.totalPerS, 1_001)
        val grantedAfterwards = allocator.allocate("n1", TOTAL, emptySet(), 1_001)
        assertTrue(grantedAfterwards.grants.getValue(TrafficClass("b", "y")) >= 1.6, "$grantedAfterwards")
    }

    @Test
    fun `a delayed plan of an earlier leader is ignored, and a plan expires by the clock of its node`() {
        val controller = AdmissionController(weights, 0)
        val plan = QuotaPlan(PlanEpoch(3, 7), 3_000, mapOf(TrafficClass("a", "x") to 4.0), 0.1)
        assertTrue(controller.installPlan(plan, controller.beginPlanRequest(1_000), 1_200))
        assertFalse(controller.installPlan(plan.copy(epoch = PlanEpoch(2, 99)), controller.beginPlanRequest(1_300), 1_300))
        assertEquals(4.0, controller.grantedPerS(3_999), 1e-9)
        assertEquals(0.0, controller.grantedPerS(4_000))
        assertFalse(controller.installPlan(plan.copy(epoch = PlanEpoch(3, 8)), 1_000, 4_100), "the response to an earlier request")
    }

    private companion object {
        const val TOTAL = 10.0
        const val EVENTS = 12
    }
}
