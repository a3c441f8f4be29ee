package org.honeyjunction.core.admission

import org.honeyjunction.core.control.writes.WriteRateAllocator
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.util.PriorityQueue
import java.util.Random

/**
 * Simulates the admission controllers of several nodes, the quota plans of their leader and the rate limit of the state service in
 * virtual time. Users retry for a minute and then give up. Each accepted job takes one change at once, and two more by the leader
 * twenty seconds later.
 */
class AdmissionOverloadTest {
    private class Submission(val trafficClass: TrafficClass, val urgent: Boolean, val firstSubmittedAt: Long, val id: Int)

    /** A queued write: a new job ([submission]), or a write of the leader that completes a job (null). */
    private class QueuedWrite(val submission: Submission?)

    private inner class ClusterSimulation(seed: Long, private val capacityPerS: Double, private val floodNode: (Random) -> Int) {
        val random = Random(seed)
        val weights = QuotaAllocator.weights((0 until TEAMS).associate { "t$it" to 10.0 })
        val controllers = List(NODES) { AdmissionController(weights, 0) }
        val queues = List(NODES) { List(3) { ArrayDeque<QueuedWrite>() } }
        val tokens = DoubleArray(NODES)
        val down = BooleanArray(NODES)
        var leader = 0
        var term = 1L
        var allocator = QuotaAllocator(weights, NODES, 1, 0)
        var writeRates = WriteRateAllocator(capacityPerS, NODES)
        var outage = false
        var plansAreLost = false
        val submitted = HashMap<TrafficClass, Int>()
        val accepted = HashMap<TrafficClass, Int>()
        val acceptedWithinASecond = HashMap<TrafficClass, Int>()
        val abandoned = HashMap<TrafficClass, Int>()
        val completionTimes = PriorityQueue<Long>()
        val retries = PriorityQueue<Pair<Long, Submission>>(compareBy<Pair<Long, Submission>> { it.first }.thenBy { it.second.id })
        var completionWritesPerS = 0.0
        var nextId = 0
        var now = 0L

        fun queueDelayS(node: Int, rank: Int) = queues[node].take(rank + 1).sumOf { it.size } / maxOf(0.1, share(node))

        private fun requiredWritesPerS() = completionWritesPerS + queues[leader][1].size / 5.0

        private fun queuedJobs(node: Int) = queues[node][0].size + queues[node][2].size

        fun share(node: Int) =
            if (node == leader) {
                writeRates.leaderShare(queuedJobs(node), requiredWritesPerS(), now)
            } else {
                writeRates.followerShare("n$node", queuedJobs(node), queuedJobs(leader), requiredWritesPerS(), now)
            }

        private fun load(node: Int) = AdmissionController.WriteLoad(queueDelayS(node, 2), queueDelayS(node, 0), share(node))

        fun submit(submission: Submission, node: Int) {
            if (down[node]) {
                retries += now + 1_000 to submission
                return
            }
            when (
                val decision =
                    controllers[node].decide(
                        submission.trafficClass,
                        submission.urgent,
                        load(node),
                        submission.id * 31,
                        now,
                    )
            ) {
                is AdmissionController.Decision.Admitted -> queues[node][if (decision.withinQuota) 0 else 2] += QueuedWrite(submission)
                is AdmissionController.Decision.Rejected ->
                    if (now - submission.firstSubmittedAt >
                        60_000
                    ) {
                        abandoned.merge(submission.trafficClass, 1, Int::plus)
                    } else {
                        retries += now + decision.retryAfterS * 1000L to submission
                    }
            }
        }

        fun step(teams: Double, flood: Double) {
            now += 20
            if (now % 500 == 0L && !plansAreLost && !down[leader]) {
                for (node in 0 until NODES) {
                    if (!down[node]) {
                        val controller = controllers[node]
                        val requestedAt = controller.beginPlanRequest(now)
                        allocator.reportDemand(
                            "n$node",
                            controller.demandMeter.demand(now),
                            controller.epoch,
                            controller.grantedPerS(now),
                            now,
                        )
                        controller.installPlan(
                            allocator.allocate(
                                "n$node",
                                maxOf(
                                    capacityPerS * 0.09,
                                    capacityPerS * 0.9 - requiredWritesPerS(),
                                ),
                                emptySet(),
                                now,
                            ),
                            requestedAt,
                            now,
                        )
                    }
                }
            }
            while (retries.isNotEmpty() && retries.peek().first <= now) retries.poll().let { (_, s) -> submit(s, random.nextInt(NODES)) }
            for (t in 0 until TEAMS) {
                for ((jobClass, urgent) in listOf("serve" to true, "batch" to false)) {
                    if (random.nextDouble() <
                        teams * 0.02
                    ) {
                        submitNew(TrafficClass("t$t", jobClass), urgent, random.nextInt(NODES))
                    }
                }
            }
            if (random.nextDouble() < flood * 0.02) submitNew(TrafficClass("visitors", "swarm"), false, floodNode(random))
            while (completionTimes.isNotEmpty() && completionTimes.peek() <= now) {
                completionTimes.poll()
                repeat(2) { queues[leader][1] += QueuedWrite(null) }
            }
            completionWritesPerS *= 1 - 0.02 / 5
            if (!outage) {
                for (node in 0 until NODES) {
                    if (!down[node]) {
                        tokens[node] = minOf(share(node) * 0.4 + 1, tokens[node] + share(node) * 0.02)
                        while (tokens[node] >= 1) {
                            val write = queues[node].firstOrNull { it.isNotEmpty() }?.removeFirst() ?: break
                            tokens[node] -= 1.0
                            if (write.submission == null) completionWritesPerS += 0.2 else recordAcceptance(write.submission)
                        }
                    }
                }
            }
        }

        private fun submitNew(trafficClass: TrafficClass, urgent: Boolean, node: Int) {
            submitted.merge(trafficClass, 1, Int::plus)
            submit(Submission(trafficClass, urgent, now, nextId++), node)
        }

        private fun recordAcceptance(submission: Submission) {
            // A user who waits for longer than a second submits again; the first response counts.
            accepted.merge(submission.trafficClass, 1, Int::plus)
            if (now - submission.firstSubmittedAt <= 1_000) acceptedWithinASecond.merge(submission.trafficClass, 1, Int::plus)
            completionTimes += now + 20_000
        }

        /** Stops [node] and drops its queued writes, whose users retry; returns the time of the restart. */
        fun kill(node: Int, forMs: Long): Long {
            down[node] = true
            queues[node].forEach { queue -> queue.forEach { write -> write.submission?.let { retries += now + 5_000 to it } } }
            queues[node].forEach { it.clear() }
            return now + forMs
        }

        fun electNewLeader() {
            leader = (0 until NODES).first { !down[it] }
            allocator = QuotaAllocator(weights, NODES, ++term, now)
            writeRates = WriteRateAllocator(capacityPerS, NODES)
        }
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        delimiter = '|',
        value = [
            // case | flood in jobs a second | node that receives it (-1: any) | fault
            "a flood through a follower                      | 14 | 1  | none",
            "a flood through the leader                      | 14 | 0  | none",
            "a flood through all nodes                       | 14 | -1 | none",
            "a flood of fifty times the share of its team    | 60 | -1 | none",
            "the leader fails, later a second node           | 14 | -1 | deaths",
            "the state service is out for 15 s               | 14 | -1 | outage",
            "no plan arrives for 20 s                        | 14 | -1 | silence",
            "no flood at all                                 | 0  | -1 | deaths",
        ],
    )
    fun `jobs of teams with little demand are accepted promptly during a flood, which gets the remaining capacity`(
        case: String,
        flood: Double,
        floodNode: Int,
        fault: String,
    ) {
        val simulation = ClusterSimulation(7, 30.0) { r -> if (floodNode < 0) r.nextInt(NODES) else floodNode }
        var restartAt = Long.MAX_VALUE
        repeat(15_000) {
            simulation.step(teams = 0.06, flood = flood)
            if (fault == "deaths" && simulation.now == 100_000L) restartAt = simulation.kill(0, 8_000)
            if (fault == "deaths" && simulation.now == 103_000L) simulation.electNewLeader()
            if (fault == "deaths" && simulation.now == 160_000L) restartAt = simulation.kill(2, 8_000)
            if (simulation.now >= restartAt) {
                simulation.down.fill(false)
                restartAt = Long.MAX_VALUE
            }
            simulation.outage = fault == "outage" && simulation.now in 100_000..115_000
            simulation.plansAreLost = fault == "silence" && simulation.now in 100_000..120_000
        }
        val teams = simulation.submitted.keys.filter { it.team != "visitors" }
        val submittedByTeams = teams.sumOf { simulation.submitted.getValue(it) }
        val abandoned = teams.sumOf { simulation.abandoned[it] ?: 0 }
        val acceptedWithinASecond = teams.sumOf { simulation.acceptedWithinASecond[it] ?: 0 } / submittedByTeams.toDouble()
        assertTrue(submittedByTeams > 200, "$submittedByTeams")
        assertEquals(0, abandoned, "$case: jobs of the other teams abandoned, of $submittedByTeams")
        // Each fault keeps all nodes from accepting jobs for part of the 300 s.
        assertTrue(acceptedWithinASecond > if (fault == "none") 0.93 else 0.85, "$case: accepted within a second: $acceptedWithinASecond")
        val floodClass = TrafficClass("visitors", "swarm")
        if (flood == 0.0) return
        val totalAccepted = simulation.accepted.values.sum()
        assertTrue(totalAccepted > 300 * 30 * 0.9 / 3 * 0.75, "$case: $totalAccepted accepted in total")
        assertTrue(
            (simulation.accepted[floodClass] ?: 0) > totalAccepted * 0.5,
            "$case: visitors ${simulation.accepted[floodClass]} of $totalAccepted",
        )
    }

    private companion object {
        const val NODES = 3
        const val TEAMS = 12
    }
}
