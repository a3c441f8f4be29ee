package org.honeyjunction.core.lease

import org.honeyjunction.core.lease.RenewalBound.Event
import org.honeyjunction.core.lease.RenewalBound.State
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/** Checks until when a leader may renew worker leases, for every short sequence of refusals, outages, partitions and failovers. */
class RenewalBoundTest {
    /**
     * Events: `l` the leader lease is renewed (until, now); `v` a peer confirms (by, asked at, up for, now); `s` a later term is
     * observed; `w` time passes. The grace period is 20 s, and the peers are b and c.
     */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        delimiter = '|',
        value = [
            "nothing known yet                                | s0 0                                       | 10    | EXPIRED",
            "within the lease                                 | l 5000 0                                   | 4999  | LEASED",
            "in the grace period after the lease             | l 5000 0                                   | 24999 | GRACE_PERIOD",
            "after the grace period                          | l 5000 0                                   | 25000 | EXPIRED",
            "confirmations by all peers extend it             | l 5000 0, v b 9000 60000 9100, v c 8000 60000 9100 | 27999 | GRACE_PERIOD",
            "up to the oldest, counted from its request       | l 5000 0, v b 9000 60000 9100, v c 8000 60000 9100 | 28000 | EXPIRED",
            "a confirmation by one peer does not              | l 5000 0, v b 20000 60000 20100            | 25000 | EXPIRED",
            "a peer that may have won before its restart does not | l 5000 0, v b 9000 1000 9100, v c 9000 60000 9100 | 25000 | EXPIRED",
            "a peer that restarted within the lease counts    | l 5000 0, v b 9000 5000 9100, v c 9000 60000 9100 | 28999 | GRACE_PERIOD",
            "a peer that restarted after its last confirmation does not | l 5000 0, v b 9000 60000 9100, v c 9000 60000 9100, v b " +
                "20000 2000 20100, v c 20000 70000 20100 | 29000 | EXPIRED",
            "a confirmation by an unknown node does not count | l 5000 0, v x 9000 60000 9100, v c 9000 60000 9100 | 25000 | EXPIRED",
            "a delayed confirmation does not shorten it       | l 5000 0, v b 9000 60000 9100, v c 9000 60000 9100, v b 7000 60000 " +
                "9200 | 28999 | GRACE_PERIOD",
            "a proof after the expiry permits renewals again  | l 5000 0, w 26000, v b 26000 90000 26100, v c 26000 90000 26100 | " +
                "30000 | GRACE_PERIOD",
            "so does a renewed leader lease                   | l 5000 0, w 90000, l 95000 90000           | 90001 | LEASED",
            "a later term ends renewals for good              | l 5000 0, s 1000, l 9000 2000              | 2001  | SUPERSEDED",
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
    fun `the cancellation budget and the grace period follow from the settings`(cancelS: Long, leaseS: Long, budgetMs: Long) {
        assertEquals(budgetMs, RenewalBound.cancellationBudgetMs(cancelS * 1000, leaseS * 1000))
        assertEquals(maxOf(0, 9_980 + budgetMs), RenewalBound.gracePeriodMs(cancelS * 1000, leaseS * 1000, 10_000))
    }

    /** Decides whether a leader may renew leases: by [RenewalBound], by the rule that preceded it, or by an incomplete one. */
    private interface Rule {
        fun leased(until: Long, now: Long)

        fun confirmed(by: String, askedAt: Long, upMs: Long, now: Long)

        fun superseded(now: Long)

        fun renews(now: Long): Boolean

        fun stateKey(now: Long): List<Any>
    }

    /** The rule of [RenewalBound]; the parameters leave parts of it out. */
    private class RenewalBoundRule(
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

        override fun stateKey(now: Long) = listOf(bound.state, (bound.noLaterTermUntil - now).coerceAtLeast(-CANCEL))
    }

    /** The preceding rule: heartbeats are answered until a later term is observed. */
    private class PrecedingRule : Rule {
        private var superseded = false

        override fun leased(until: Long, now: Long) = Unit

        override fun confirmed(by: String, askedAt: Long, upMs: Long, now: Long) = Unit

        override fun superseded(now: Long) {
            superseded = true
        }

        override fun renews(now: Long) = !superseded

        override fun stateKey(now: Long) = listOf(superseded)
    }

    /**
     * Simulates three controllers and a worker, all of which follow PROTOCOL. A leads term 1, and the worker with a task keeps
     * sending heartbeats to A. B may win the next term and confirm the cancellation of the task's job: at once if the worker has
     * acknowledged B's token, else [confirmAfterMs] after B's term began. C never campaigns.
     */
    private class Simulation(private val rule: Rule, private val confirmAfterMs: Long) {
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

        /** A peer's answer: when it was requested, the peer's uptime, and the latest term that the peer knows of. */
        private class Answer(val askedAt: Long, val upMs: Long, val known: Long)

        private var delayedAnswer: Answer? = null

        init {
            rule.leased(TERM_LEASE - MARGIN, now)
        }

        /** The violation that was found first; null if there is none. */
        var violation: String? = null
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
                violation = "the task still runs ${now - since} ms after the cancellation"
            }
        }

        private fun renew(controller: Controller) {
            leaseEndsAt = now + TERM_LEASE
            controller.leasedUntil = now + TERM_LEASE - MARGIN
        }

        private fun receive(name: String, answer: Answer) {
            if (answer.known > 1) rule.superseded(now) else rule.confirmed(name, answer.askedAt, answer.upMs, now)
        }

        fun act(action: String): Simulation {
            when (action) {
                "2 s pass", "5 s pass", "40 s pass" -> repeat(action.substringBefore(' ').toInt() * (1_000 / STEP).toInt()) { step() }
                "the store refuses A" -> refusesA = !refusesA
                "an outage" -> {
                    // After an outage every lease has its full duration again.
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
                "B's answer is delayed" ->
                    if (!partitionedA && delayedAnswer == null) delayedAnswer = Answer(now, now - b.startedAt, b.known)
                else ->
                    delayedAnswer?.let {
                        receive("b", it)
                        delayedAnswer = null
                    }
            }
            return this
        }

        fun stateKey() =
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
                delayedAnswer?.let { listOf(now - it.askedAt, it.upMs, it.known) },
            ) + rule.stateKey(now)
    }

    /** Explores every state that [DEPTH] actions after [first] can lead to, each once. Returns the paths to violations. */
    private fun explore(first: List<String>, confirmAfterMs: Long = CONFIRM_AFTER, rule: () -> Rule): List<String> {
        val found = ArrayList<String>()
        val seen = HashSet<List<Any?>>()
        var level = listOf(first)
        repeat(DEPTH) {
            val nextLevel = ArrayList<List<String>>()
            for (path in level) {
                for (action in ACTIONS) {
                    val extendedPath = path + action
                    val simulation = extendedPath.fold(Simulation(rule(), confirmAfterMs)) { simulation, next -> simulation.act(next) }
                    val violation = simulation.violation
                    if (violation != null) {
                        found += extendedPath.joinToString() + ": " + violation
                    } else if (seen.add(simulation.stateKey())) {
                        nextLevel += extendedPath
                    }
                }
            }
            level = nextLevel
            if (found.isNotEmpty()) return found
        }
        return found
    }

    @Test
    fun `no sequence of eight actions lets a task outlive its cancellation, neither at first nor after a lost lease`() {
        assertEquals(emptyList<String>(), explore(emptyList(), rule = ::RenewalBoundRule))
        assertEquals(emptyList<String>(), explore(LOST_LEASE, rule = ::RenewalBoundRule))
    }

    /** Checks the exploration itself: it must find a violation for each part of the rule that is left out. */
    @ParameterizedTest
    @CsvSource(
        "the preceding rule",
        "one peer is enough",
        "the time since a restart is ignored",
        "a worker's lease is not counted",
        "no confirmation delay",
    )
    fun `the exploration detects a rule with a part left out`(omission: String) {
        val found =
            explore(LOST_LEASE, if (omission == "no confirmation delay") 0 else CONFIRM_AFTER) {
                when (omission) {
                    "the preceding rule" -> PrecedingRule()
                    "one peer is enough" -> RenewalBoundRule(peers = listOf("c"))
                    "the time since a restart is ignored" -> RenewalBoundRule(checksUptime = false)
                    "no confirmation delay" -> RenewalBoundRule(gracePeriodMs = RenewalBound.gracePeriodMs(CANCEL, WORKER_LEASE, 20_000))
                    else -> RenewalBoundRule(gracePeriodMs = GRACE_PERIOD_MS + WORKER_LEASE)
                }
            }
        assertTrue(found.isNotEmpty(), omission)
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
        val LOST_LEASE = listOf("the store refuses A", "5 s pass")
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
