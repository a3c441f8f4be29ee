package org.honeyjunction.core.lease

import org.honeyjunction.core.lease.WorkerLease.Event
import org.honeyjunction.core.lease.WorkerLease.Finding
import org.honeyjunction.core.lease.WorkerLease.State
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/** Checks the expiry of the lease of a worker's session, for every short sequence of events that PROTOCOL allows. */
class WorkerLeaseTest {
    private val token = 3L shl 24

    /**
     * Events: `h` a message is received (session, sequence, 1 if it carries this term's token, now); `a` a heartbeat of a session is
     * answered (session, now); `w` time passes.
     */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        delimiter = '|',
        value = [
            "no message yet: elapsed time proves nothing       |                                  | 99999 | UNFENCED",
            "a message without this term's token               | h 1 1 0 10                       | 99999 | UNFENCED",
            "answered at 500: the lease counts from then       | h 1 1 1 10, a 1 500              | 12500 | ACTIVE",
            "answered at 500: expired after lease and margin   | h 1 1 1 10, a 1 500              | 12900 | EXPIRED",
            // Tasks ran twice when the lease counted from the last response to any session: the first message of session 2 was the
            // answer to a command, long after the last heartbeat.
            "a new session counts from its first message       | h 1 1 1 10, h 2 9 1 11000        | 12900 | ACTIVE",
            "a response to an earlier session does not count   | h 2 1 1 10, a 1 9000             | 12900 | EXPIRED",
            "a message of an expired session does not count    | h 1 1 1 10, w 13000, h 1 2 1 13100 | 13200 | EXPIRED",
            "the next session after an expiry is active        | h 1 1 1 10, w 13000, h 2 1 1 20000 | 30000 | ACTIVE",
            "the next session expires if it is never answered  | h 1 1 1 10, w 13000, h 2 1 1 20000 | 33000 | EXPIRED",
            "an older message does not count                   | h 1 5 1 10, h 1 4 1 9000         | 12900 | EXPIRED",
            "the first message with this term's token counts   | h 1 1 0 10, h 1 2 1 9000         | 12900 | ACTIVE",
        ],
    )
    fun `the state of a lease after messages and responses`(case: String, events: String?, checkedAt: Long, state: State) {
        val lease = WorkerLease(12_000, token)
        for (event in events.orEmpty().split(',').map { it.trim().split(' ') }.filter { it.size > 1 }) {
            val numbers = event.drop(1).map { it.toLong() }
            lease.on(
                when (event[0]) {
                    "h" -> Event.MessageReceived(numbers[0], numbers[1], numbers[2] * token, numbers[3])
                    "a" -> Event.HeartbeatAnswered(numbers[0], numbers[1])
                    else -> Event.TimePassed(numbers[0])
                },
            )
        }
        lease.on(Event.TimePassed(checkedAt))
        assertEquals(state, lease.state, case)
    }

    /** Decides whether a lease has expired: by [WorkerLease], or by the faulty formula that preceded it. */
    private interface LeaseRule {
        val session: Long

        /** A message is received. Returns whether it is newer than all earlier ones. */
        fun received(session: Long, sequence: Long, token: Long, now: Long): Boolean

        fun answered(session: Long, now: Long)

        /** Whether the lease has just expired, which proves that all started tasks are gone. */
        fun expired(now: Long): Boolean

        /** Whether tasks may be started. */
        val active: Boolean
    }

    private fun workerLeaseRule(term: Long, session: Long): LeaseRule = WorkerLeaseRule(WorkerLease(LEASE, term, session))

    private class WorkerLeaseRule(private val lease: WorkerLease) : LeaseRule {
        override val session get() = lease.session

        override fun received(session: Long, sequence: Long, token: Long, now: Long) =
            lease.on(Event.MessageReceived(session, sequence, token, now)) in setOf(Finding.NEWER, Finding.NEW_SESSION)

        override fun answered(session: Long, now: Long) {
            lease.on(Event.HeartbeatAnswered(session, now))
        }

        override fun expired(now: Long) = lease.on(Event.TimePassed(now)) == Finding.EXPIRED

        override val active get() = lease.state == State.ACTIVE
    }

    /** The faulty formula, with which tasks ran twice: the lease counts from the last response to a heartbeat of any session. */
    private class FaultyRule(private val term: Long, override var session: Long) : LeaseRule {
        private var sequence = -1L
        private var acked = -1L
        private var answeredAt = Long.MIN_VALUE / 2
        private var expiredAt = Long.MIN_VALUE / 2
        override var active = false

        override fun received(session: Long, sequence: Long, token: Long, now: Long): Boolean {
            if (session < this.session || session == this.session && sequence <= this.sequence) return false
            this.session = session
            this.sequence = sequence
            if (acked < term && token >= term) answeredAt = now
            acked = maxOf(acked, token)
            active = acked >= term
            return true
        }

        override fun answered(session: Long, now: Long) {
            answeredAt = now
        }

        override fun expired(now: Long): Boolean {
            if (acked < term ||
                now <= answeredAt + LEASE * WorkerLease.DRIFT + WorkerLease.MARGIN_MS ||
                answeredAt <= expiredAt
            ) {
                return false
            }
            expiredAt = now
            session++
            sequence = -1
            active = false
            return true
        }
    }

    /** A worker that follows PROTOCOL, with one task that may be started on it. */
    private class Worker {
        var session = 1L
        var sequence = 0L
        var token = 0L
        var renewedAt = 0L
        var task = false

        fun advance(now: Long) {
            if (now - renewedAt <= LEASE) return
            task = false
            session++
            renewedAt = now
        }
    }

    private class Message(val session: Long, val sequence: Long, val token: Long, val task: Boolean)

    /** Simulates successive leaders and one worker. PROTOCOL allows every action. */
    private class Simulation(private val rule: (Long, Long) -> LeaseRule) {
        private var now = 0L
        private var term = 1L
        private val worker = Worker()
        private var leader = rule(term, 0)

        /** Whether the leader believes that the task may be on the worker. */
        private var placed = false
        private val delayed = ArrayDeque<Message>()

        /** The violation that was found; null if there is none. */
        var violation: String? = null
            private set

        private fun send() = Message(worker.session, ++worker.sequence, worker.token, worker.task)

        private fun process(message: Message) {
            // A report with this term's token that does not list the task proves that it is gone, as in HeartbeatProcessor.
            val accepted = leader.received(message.session, message.sequence, message.token, now)
            if (accepted && message.token >= term) placed = message.task
        }

        private fun answer(message: Message, sentAt: Long, arrives: Boolean) {
            leader.answered(message.session, now)
            if (!arrives || term < worker.token || message.session != worker.session) return
            worker.token = maxOf(worker.token, term)
            worker.renewedAt = maxOf(worker.renewedAt, sentAt)
        }

        private fun command(start: Boolean, answered: Boolean) {
            if (start && (!leader.active || placed)) return
            val matches = leader.session == worker.session && term >= worker.token
            if (start) placed = true
            if (matches) {
                worker.token = term
                if (start) worker.task = true
            }
            val report = send()
            if (answered) {
                if (start && !matches) placed = false
                process(report)
            }
        }

        private fun pass(ms: Long) {
            now += ms
            worker.advance(now)
            if (leader.expired(now)) {
                if (worker.task) violation = "the task counts as gone at $now, but runs in session ${worker.session}"
                placed = false
            }
        }

        fun act(action: Int) {
            val sentAt = now
            when (ACTIONS[action]) {
                "report, answered" ->
                    send().let {
                        process(it)
                        answer(it, sentAt, true)
                    }
                "report, the answer is lost" ->
                    send().let {
                        process(it)
                        answer(it, sentAt, false)
                    }
                "report that is delayed" -> delayed += send()
                "the delayed report arrives" ->
                    delayed.removeFirstOrNull()?.let {
                        process(it)
                        answer(it, sentAt, false)
                    }
                "a command, answered" -> command(start = false, answered = true)
                "a start, answered" -> command(start = true, answered = true)
                "a start, the answer is lost" -> command(start = true, answered = false)
                "half a lease passes" -> pass(LEASE / 2 + 10)
                "half the margin passes" -> pass(WorkerLease.MARGIN_MS / 2)
                else -> {
                    term++
                    // The new leader knows the durable record of the start, and may know the session.
                    leader = rule(term, leader.session)
                    placed = placed || worker.task
                }
            }
        }
    }

    private fun explore(depth: Int, rule: (Long, Long) -> LeaseRule): List<String> {
        val found = ArrayList<String>()
        val path = IntArray(depth)

        fun go(length: Int) {
            val simulation = Simulation(rule)
            repeat(length) { simulation.act(path[it]) }
            simulation.violation?.let { violation ->
                found += path.take(length).joinToString { ACTIONS[it] } + ": " + violation
                return
            }
            if (length == depth) return
            for (action in ACTIONS.indices) {
                path[length] = action
                go(length + 1)
            }
        }
        // Every path begins with a worker that knows the term, so that the depth is spent on what follows.
        path[0] = ACTIONS.indexOf("report, answered")
        path[1] = ACTIONS.indexOf("report, answered")
        go(2)
        return found
    }

    @Test
    fun `no sequence of six messages, losses, failovers and delays makes a running task count as gone`() {
        assertEquals(emptyList<String>(), explore(8, ::workerLeaseRule).take(3))
    }

    /** Checks the exploration itself: it must find the violation by the faulty formula. */
    @Test
    fun `the exploration finds the violation by the faulty formula`() {
        val found = explore(8, ::FaultyRule)
        assertTrue(found.isNotEmpty())
        assertTrue(found.any { "a start, answered" in it && "a command, answered" in it }, found.take(3).toString())
    }

    private companion object {
        const val LEASE = 12_000L
        val ACTIONS =
            listOf(
                "report, answered",
                "report, the answer is lost",
                "report that is delayed",
                "the delayed report arrives",
                "a command, answered",
                "a start, answered",
                "a start, the answer is lost",
                "half a lease passes",
                "half the margin passes",
                "the leader fails",
            )
    }
}
