package org.honeyjunction.core.control.machines

import org.honeyjunction.core.model.JobKind
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import java.util.Random

/**
 * Draws orders of what may happen while tasks are stopped and started again and again on a machine that reports seldom, over several
 * leaders. Guards against a leader that loses the record of a running attempt, so that a later one starts the task a second time.
 */
class RestartExplorationTest {
    /**
     * The job whose tasks are restarted; reports list live attempts before ended ones, after them, or in a drawn order. With
     * [earlierVersions], some leaders are of a version that drops records of running tasks.
     */
    enum class Case(val kind: JobKind, val tasks: Int, val order: Order, val earlierVersions: Boolean = false) {
        ARRAY_LIVE_FIRST(JobKind.ARRAY, 1, Order.LIVE_FIRST),
        ARRAY_ENDED_FIRST(JobKind.ARRAY, 1, Order.ENDED_FIRST),
        ARRAY_DRAWN(JobKind.ARRAY, 3, Order.DRAWN),
        SERVICE_DRAWN(JobKind.SERVICE, 2, Order.DRAWN),
        GANG_DRAWN(JobKind.GANG, 2, Order.DRAWN),
        ARRAY_AFTER_EARLIER_VERSIONS(JobKind.ARRAY, 3, Order.DRAWN, earlierVersions = true),
        GANG_AFTER_EARLIER_VERSIONS(JobKind.GANG, 2, Order.DRAWN, earlierVersions = true),
    }

    enum class Order { LIVE_FIRST, ENDED_FIRST, DRAWN }

    /** What happens on or to the first machine, or to the leader. */
    enum class Action {
        EVICT,
        REPORT,
        REPORT_UNANSWERED,
        COPY_OF_EARLIER_REPORT,
        COMMAND,
        COMMAND_UNANSWERED,
        COMMAND_HELD_UP,
        HELD_UP_COMMAND_ARRIVES,
        COPY_OF_EXECUTED_COMMAND,
        OTHER_JOB,
        WRITE_UNANSWERED,
        WRITE_LATE,
        TASK_FAILS,
        NEXT_LEADER,
        LEADER_ISOLATED,
        LEADER_OF_EARLIER_VERSION,
        REPORT_TO_FORMER_LEADER,
        LEASE,
    }

    @ParameterizedTest
    @EnumSource
    fun `no order of restarts, reports, late messages, writes and leaders loses a record or runs a task twice`(case: Case) {
        val failures = ArrayList<String>()
        var restarts = 0
        var leaderChanges = 0
        for (seed in 1L..WALKS) {
            val random = Random(seed)
            val path = List(2 + random.nextInt(MAX_ACTIONS)) { DRAWN_FROM[random.nextInt(DRAWN_FROM.size)] }
            val walk = RestartWalk(case, random)
            for (action in path) if (walk.broken.isEmpty()) walk.act(action)
            if (walk.broken.isEmpty()) walk.recover()
            if (walk.broken.isNotEmpty()) failures += "seed $seed $path: ${walk.broken.take(2)}"
            restarts += walk.startMessages - 1
            leaderChanges += walk.leaders - 1
        }
        assertEquals(emptyList<String>(), failures.take(3), "${failures.size} of $WALKS")
        // The walks must bring about what they are for.
        assertTrue(restarts > WALKS / 2 && leaderChanges > WALKS / 2, "$restarts restarts, $leaderChanges changes of the leader")
    }

    private companion object {
        const val WALKS = 1_000L
        const val MAX_ACTIONS = 24

        /** Restarts, and writes of pages between them, are drawn more often than the rest. */
        val DRAWN_FROM = Action.entries + List(4) { listOf(Action.EVICT, Action.COMMAND, Action.COMMAND, Action.OTHER_JOB) }.flatten()
    }
}
