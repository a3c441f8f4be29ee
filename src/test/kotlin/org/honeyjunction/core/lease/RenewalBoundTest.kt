package org.honeyjunction.core.lease

import org.honeyjunction.core.lease.RenewalBound.Event
import org.honeyjunction.core.lease.RenewalBound.State
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/** Until when a leader may renew worker leases, against every short sequence of refusals, outages, partitions and failovers. */
class RenewalBoundTest {
    /**
     * `l` leased until, now; `v` confirmed: by, asked at, up for, now; `s` superseded; `w` time passes. The grace period is 20 s,
     * the peers are b and c.
     */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        delimiter = '|',
        value = [
            "nothing known yet                                | s0 0                                       | 10    | EXPIRED",
            "within the lease                                 | l 5000 0                                   | 4999  | LEASED",
            "past it, for as long as cancellations leave room | l 5000 0                                   | 24999 | GRACE_PERIOD",
            "and no longer                                    | l 5000 0                                   | 25000 | EXPIRED",
            "confirmations by all peers extend it             | l 5000 0, v b 9000 60000 9100, v c 8000 60000 9100 | 27999 | GRACE_PERIOD",
            "to the oldest of them, counted from the request  | l 5000 0, v b 9000 60000 9100, v c 8000 60000 9100 | 28000 | EXPIRED",
            "a confirmation by one peer does not              | l 5000 0, v b 20000 60000 20100            | 25000 | EXPIRED",
            "nor one by a peer that may have won before it restarted | l 5000 0, v b 9000 1000 9100, v c 9000 60000 9100 | 25000 | EXPIRED",
            "one that restarted within the lease counts       | l 5000 0, v b 9000 5000 9100, v c 9000 60000 9100 | 28999 | GRACE_PERIOD",
            "one that restarted since it last confirmed does not | l 5000 0, v b 9000 60000 9100, v c 9000 60000 9100, v b 20000 2000 " +
                "20100, v c 20000 70000 20100 | 29000 | EXPIRED",
            "a confirmation by an unknown node does not count | l 5000 0, v x 9000 60000 9100, v c 9000 60000 9100 | 25000 | EXPIRED",
            "a delayed confirmation does not shorten it       | l 5000 0, v b 9000 60000 9100, v c 9000 60000 9100, v b 7000 60000 " +
                "9200 | 28999 | GRACE_PERIOD",
            "a proof after the expiry renews it               | l 5000 0, w 26000, v b 26000 90000 26100, v c 26000 90000 26100 | " +
                "30000 | GRACE_PERIOD",
            "so does the leader lease                         | l 5000 0, w 90000, l 95000 90000           | 90001 | LEASED",
            "a later term ends it for good                    | l 5000 0, s 1000, l 9000 2000              | 2001  | SUPERSEDED",
        ],
    )
    fun `until when heartbeats are answered`(case: String, events: String, now: Long, state: State) {
        val bound = RenewalBound(listOf("b", "c"), 20_000)
        for (event in events.split(',').map { it.trim().split(' ') }) {
            val at = event.last().toLong()
            when (event[0]) {
                "l" -> bound.on(Event.LeaderLeaseRenewed(event[1].toLong(), at))
                "v" -> bound.on(Event.PeerConfirmed(event[1], event[2].toLong(), event[3].toLong(), at))
                "s" -> bound.on(Event.LaterTermObserved(at))
                "w" -> bound.on(Event.TimePassed(at))
            }
        }
        assertEquals(state, bound.on(Event.TimePassed(now)), case)
        assertEquals(state == State.LEASED || state == State.GRACE_PERIOD, bound.mayRenew, case)
    }

    @Test
    fun `a controller without peers needs no confirmation`() {
        val bound = RenewalBound(emptyList(), 20_000)
        bound.on(Event.LeaderLeaseRenewed(5_000, 0))
        assertEquals(State.GRACE_PERIOD, bound.on(Event.TimePassed(900_000)))
    }

    @ParameterizedTest
    @CsvSource("37,12,23402", "47,22,23362", "53,28,23338", "20,19,-578", "10,12,-3543")
    fun `the time that settings leave after a cancellation`(cancelS: Long, leaseS: Long, budgetMs: Long) {
        assertEquals(budgetMs, RenewalBound.cancellationBudgetMs(cancelS * 1000, leaseS * 1000))
        assertEquals(maxOf(0, 9_980 + budgetMs), RenewalBound.gracePeriodMs(cancelS * 1000, leaseS * 1000, 10_000))
    }

    /** How a leader decides: by [RenewalBound], by the rule before it, or by one with a part left out. */
    private interface Rule {
        fun leased(until: Long, now: Long)

        fun confirmed(by: String, askedAt: Long, upMs: Long, now: Long)

        fun superseded(now: Long)

        fun renews(now: Long): Boolean

        fun key(now: Long): List<Any>
    }

    private class Current(
        peers: List<String> = listOf("b", "c"),
        gracePeriodMs: Long = GRACE_PERIOD_MS,
        private val checksUptime: Boolean = true,
    ) : Rule {
        private val bound = RenewalBound(peers, gracePeriodMs)

        override fun leased(until: Long, now: Long) {
            bound.on(Event.LeaderLeaseRenewed(until, now))
        }

        override fun confirmed(by: String, askedAt: Long, upMs: Long, now: Long) {
            bound.on(Event.PeerConfirmed(by, askedAt, if (checksUptime) upMs else LONG_UPTIME, now))
        }

        override fun superseded(now: Long) {
            bound.on(Event.LaterTermObserved(now))
        }

        override fun renews(now: Long) = bound.on(Event.TimePassed(now)).let { bound.mayRenew }

        override fun key(now: Long) = listOf(bound.state, (bound.noLaterTermUntil - now).coerceAtLeast(-CANCEL))
    }

    /** The rule before: heartbeats are answered until a later term is observed. */
    private class Former : Rule {
        private var over = false

        override fun leased(until: Long, now: Long) = Unit

        override fun confirmed(by: String, askedAt: Long, upMs: Long, now: Long) = Unit

        override fun superseded(now: Long) {
            over = true
        }

        override fun renews(now: Long) = !over

        override fun key(now: Long) = listOf(over)
    }

    /**
     * A leads term 1 and has a worker with a task that goes on reporting to it. B may win the next term and confirm that the
     * task's job is cancelled, at once if the worker has acknowledged its token, else after [confirmAfterMs]. C never campaigns.
     * All act as PROTOCOL says.
     */
    private class Run(private val rule: Rule, private val confirmAfterMs: Long) {
        private class Controller(var startedAt: Long) {
            var known = 0L
            var leads = 0L
            var wonAt = 0L
            var leasedUntil = Long.MIN_VALUE / 2
        }

        private var now = 0L
        private var term = 1L
        private var leader: Char? = 'a'
        private var leaseEndsAt = TERM_LEASE
        private var refusesA = false
        private var outage = false
        private var partitionedA = false
        private val b = Controller(-60_000)
        private val c = Controller(-60_000)
        private var renewedAt = 0L
        private var fenced = false
        private var confirmedAt: Long? = null

        private class Answer(val askedAt: Long, val upMs: Long, val known: Long)

        private var late: Answer? = null

        init {
            rule.leased(TERM_LEASE - MARGIN, now)
        }

        var broken: String? = null
            private set

        private fun step() {
            now += STEP
            if (outage) leaseEndsAt += STEP
            if (now >= leaseEndsAt) leader = null
            if (!outage) {
                // Every node that the key-value store answers reads the term; its leader renews the lease.
                b.known = term
                c.known = term
                if (leader == 'b' && b.leads == term) renew(b)
                if (leader == 'a' && !refusesA) {
                    leaseEndsAt = now + TERM_LEASE
                    rule.leased(now + TERM_LEASE - MARGIN, now)
                }
                if (!refusesA && term > 1) rule.superseded(now)
            }
            if (!partitionedA) {
                for ((name, peer) in listOf("b" to b, "c" to c)) receive(name, Answer(now, now - peer.startedAt, peer.known))
            }
            if (rule.renews(now) && !fenced) renewedAt = now
            val since = confirmedAt
            if (since != null && now - since > CANCEL && now - renewedAt <= WORKER_LEASE) {
                broken = "the task is there ${now - since} ms after the cancellation"
            }
        }

        private fun renew(controller: Controller) {
            leaseEndsAt = now + TERM_LEASE
            controller.leasedUntil = now + TERM_LEASE - MARGIN
        }

        private fun receive(name: String, answer: Answer) {
            if (answer.known > 1) rule.superseded(now) else rule.confirmed(name, answer.askedAt, answer.upMs, now)
        }

        fun act(action: String): Run {
            when (action) {
                "2 s pass", "5 s pass", "40 s pass" -> repeat(action.substringBefore(' ').toInt() * (1_000 / STEP).toInt()) { step() }
                "the store refuses A" -> refusesA = !refusesA
                "an outage" -> {
                    // After it every lease has its full time again.
                    if (outage && leader != null) leaseEndsAt = now + TERM_LEASE
                    outage = !outage
                }
                "A is partitioned" -> partitionedA = !partitionedA
                "B wins the term" ->
                    if (!outage && leader == null) {
                        leader = 'b'
                        b.leads = ++term
                        b.known = term
                        b.wonAt = now
                        renew(b)
                    }
                "B's token reaches the worker" -> if (b.leads == term) fenced = true
                "B confirms" ->
                    if (b.leads == term &&
                        now < b.leasedUntil &&
                        confirmedAt == null &&
                        (fenced || now - b.wonAt >= confirmAfterMs)
                    ) {
                        confirmedAt = now
                    }
                "B restarts" -> {
                    b.startedAt = now
                    b.known = 0
                    b.leads = 0
                    b.leasedUntil = Long.MIN_VALUE / 2
                }
                "B's answer is delayed" -> if (!partitionedA && late == null) late = Answer(now, now - b.startedAt, b.known)
                else ->
                    late?.let {
                        receive("b", it)
                        late = null
                    }
            }
            return this
        }

        fun key() =
            listOf(
                term,
                leader,
                leaseEndsAt - now,
                refusesA,
                outage,
                partitionedA,
                (now - b.startedAt).coerceAtMost(CANCEL),
                b.known,
                b.leads,
                (b.leasedUntil - now).coerceAtLeast(-1),
                c.known,
                fenced,
                (now - b.wonAt).coerceAtMost(confirmAfterMs),
                (now - renewedAt).coerceAtMost(CANCEL),
                confirmedAt?.let { now - it },
                late?.let { listOf(now - it.askedAt, it.upMs, it.known) },
            ) + rule.key(now)
    }

    /** Explores all that [DEPTH] actions after [first] can lead to, each state once. Returns the paths to a broken rule. */
    private fun explore(first: List<String>, confirmAfterMs: Long = CONFIRM_AFTER, rule: () -> Rule): List<String> {
        val found = ArrayList<String>()
        val seen = HashSet<List<Any?>>()
        var level = listOf(first)
        repeat(DEPTH) {
            val nextLevel = ArrayList<List<String>>()
            for (path in level) {
                for (action in ACTIONS) {
                    val longer = path + action
                    val run = longer.fold(Run(rule(), confirmAfterMs)) { run, next -> run.act(next) }
                    val broken = run.broken
                    if (broken != null) {
                        found += longer.joinToString() + ": " + broken
                    } else if (seen.add(run.key())) {
                        nextLevel += longer
                    }
                }
            }
            level = nextLevel
            if (found.isNotEmpty()) return found
        }
        return found
    }

    @Test
    fun `no sequence of eight lets a task outlive its cancellation, nor of eight more after a lost lease`() {
        assertEquals(emptyList<String>(), explore(emptyList(), rule = ::Current))
        assertEquals(emptyList<String>(), explore(LOST, rule = ::Current))
    }

    /** Guards the exploration: each part of the rule, left out, is found. */
    @ParameterizedTest
    @CsvSource(
        "the rule before it",
        "one peer is enough",
        "the time since a restart is ignored",
        "a worker's lease is not counted",
        "no confirmation delay",
    )
    fun `a rule with a part left out is found wrong`(which: String) {
        val found =
            explore(LOST, if (which == "no confirmation delay") 0 else CONFIRM_AFTER) {
                when (which) {
                    "the rule before it" -> Former()
                    "one peer is enough" -> Current(peers = listOf("c"))
                    "the time since a restart is ignored" -> Current(checksUptime = false)
                    "no confirmation delay" -> Current(gracePeriodMs = RenewalBound.gracePeriodMs(CANCEL, WORKER_LEASE, 20_000))
                    else -> Current(gracePeriodMs = GRACE_PERIOD_MS + WORKER_LEASE)
                }
            }
        assertTrue(found.isNotEmpty(), which)
    }

    private companion object {
        const val DEPTH = 8
        const val CONFIRM_AFTER = 2_000L
        const val LONG_UPTIME = 1_000_000_000L
        const val STEP = 500L
        const val TERM_LEASE = 5_000L
        const val MARGIN = 300L
        const val WORKER_LEASE = 12_000L
        const val CANCEL = 37_000L
        val GRACE_PERIOD_MS = RenewalBound.gracePeriodMs(CANCEL, WORKER_LEASE, CONFIRM_AFTER)
        val LOST = listOf("the store refuses A", "5 s pass")
        val ACTIONS =
            listOf(
                "2 s pass",
                "5 s pass",
                "40 s pass",
                "the store refuses A",
                "an outage",
                "A is partitioned",
                "B wins the term",
                "B's token reaches the worker",
                "B confirms",
                "B restarts",
                "B's answer is delayed",
                "B's delayed answer arrives",
            )
    }
}
