package org.honeyjunction.fake

import java.util.Random

/**
 * A fault to be injected, as users write it: `at 8s kill leader`, `at 3s state outage for 4s`, `at 9s on term kill leader`.
 * Times are milliseconds since the start; [on]: begins at the next such moment after [atMs]. The names of the constants are
 * the words of users' `--fault`, so [parse] and [toString] need no table of their own.
 */
data class Fault(val atMs: Long, val what: What, val whom: Whom, val forMs: Long, val on: Moment? = null) {
    /** A moment that a fault can wait for. */
    enum class Moment {
        /** A compare-and-swap was applied, and its response is on its way. */
        WRITE,

        /** A term has begun, and no worker knows of it yet. */
        TERM,

        /** The last task of a job has ended, and no controller knows of it yet. */
        END,
    }

    enum class What {
        KILL,
        HANG,
        CUT,
        REFUSE,
        NOTICE,
        OUTAGE,

        /** Machines rented meanwhile take four times as long to boot. */
        SLOW,

        /**
         * Of boots: one in four machines rented meanwhile never comes up, but is charged. Of answers: four in ten writes are
         * applied, and only their response is lost.
         */
        LOSE,

        /** Machines rented meanwhile are up within a second or two. */
        HURRY,

        /** The machine list is twice as old as it usually is. */
        LAG,

        /** Users query each job ten times at once. */
        STORM,

        /** A controller reaches its workers and users, but neither the state service nor other controllers. In virtual time only. */
        ISOLATE,

        /**
         * Of a controller, in virtual time only: it and the workers can't reach each other. Of machines: their heartbeats reach
         * no controller, while commands reach them.
         */
        MUTE,

        /** Heartbeats of the machine arrive; responses and commands to it are lost. */
        DEAFEN,

        /** Four in ten writes are applied 2 to 12 s late without a response, or up to 3 s late with one. */
        DELAY,

        /** Of four in ten heartbeats a copy arrives again, from 2 s to two leases later. */
        REPEAT,

        /** Of four in ten messages that a worker has executed and answered a copy arrives, from 0.1 s to three leases later. */
        COPY,

        /** Copies of four in ten heartbeats are recorded, and reach every controller when the next terms begin. */
        KEEP,

        /** Users query all nodes within milliseconds, and repeat submissions, after a job was accepted, ended or cancelled. */
        CLOSE,

        /**
         * Users cancel jobs: some running ones at the same time, while machines of theirs hang; or half of those that end, just
         * then; or one in four as it is accepted.
         */
        CANCEL,

        /** Users repeat submissions, cancel jobs that are over, and submit jobs that can't run or lack a field. */
        ODD,
    }

    sealed interface Whom {
        sealed interface Nodes : Whom

        data object Leader : Nodes

        data object AllNodes : Nodes

        /** All controllers but the leader. */
        data object Others : Nodes

        data class Node(val number: Int) : Nodes

        sealed interface Hosts : Whom

        /** Any machine that runs something. */
        data object Machine : Hosts

        /** So many machines at once, those with tasks first. */
        data class Machines(val count: Int) : Hosts

        /** All machines of a zone. */
        data class Zone(val name: String) : Hosts

        /** Services and messages that all share. */
        sealed interface Shared : Whom

        data object State : Shared

        data object Cloud : Shared

        /** Machines that are rented meanwhile. */
        data object Boots : Shared

        /** The cloud's lists of machines. */
        data object Lists : Shared

        /** Users' status queries. */
        data object Polls : Shared

        /** Writes to the state service. */
        data object Writes : Shared

        /** Responses of the state service to writes. */
        data object Answers : Shared

        /** Heartbeats of workers. */
        data object Reports : Shared

        /** Messages with commands to workers. */
        data object Commands : Shared

        /** So many jobs that run. */
        data class Jobs(val count: Int) : Shared

        /** Jobs as they end, or as they are accepted. */
        data object Ends : Shared

        data object Accepted : Shared

        /** Status queries at all nodes at once: see [What.CLOSE]. */
        data object Looks : Shared

        /** Users' submissions: see [What.ODD]. */
        data object Requests : Shared
    }

    /** As users write it; [parse] reads it back. */
    override fun toString(): String {
        val target =
            when (whom) {
                Whom.Leader -> "leader"
                Whom.AllNodes -> "all"
                Whom.Others -> "others"
                is Whom.Node -> "node ${whom.number}"
                Whom.Machine -> "machine"
                is Whom.Machines -> "${whom.count} machines"
                is Whom.Zone -> "zone ${whom.name}"
                Whom.State, Whom.Cloud -> "outage"
                is Whom.Jobs -> "${whom.count} jobs"
                is Whom.Shared -> whom.toString().lowercase()
            }
        val verb = if (whom == Whom.State || whom == Whom.Cloud) whom.toString().lowercase() else what.name.lowercase()
        return "at ${atMs / 1000.0}s ${on?.let { "on ${it.name.lowercase()} " }.orEmpty()}$verb $target for ${forMs / 1000.0}s"
    }

    companion object {
        const val FORM =
            "at <seconds>s [on (write|term|end)] (kill|hang|refuse|isolate|mute) (leader|others|node <n>|all) [for <seconds>s], " +
                "or instead (kill|hang|cut|notice|deafen|mute) (machine|<n> machines|zone <name>), " +
                "(state|cloud) outage, (slow|lose|hurry) boots, lag lists, cancel (<n> jobs|ends|accepted), storm polls, close " +
                "looks, odd requests, (delay writes|lose answers), (repeat|keep) reports, copy commands"
        const val SHARE = 0.4

        /** The former word for leader, which is still accepted. */
        private const val FORMER = "holder"
        const val SLOW_BOOTS = 4.0
        const val LOST_BOOTS_ONE_IN = 4
        const val STORM_POLLS = 10
        private const val DEFAULT_MS = 4_000L
        private const val MIN_COPY_DELAY_MS = 100L
        private const val MAX_COPY_DELAY_LEASES = 3
        private const val MAX_S = 3_600.0
        private val shared =
            listOf(
                Whom.Boots,
                Whom.Lists,
                Whom.Polls,
                Whom.Writes,
                Whom.Answers,
                Whom.Reports,
                Whom.Commands,
                Whom.Ends,
                Whom.Accepted,
                Whom.Looks,
                Whom.Requests,
            ).associateBy {
                it.toString().lowercase()
            }
        private val verbs = What.entries.filter { it != What.OUTAGE }.map { it.name.lowercase() } + "state" + "cloud"
        private val targets =
            listOf(
                "leader",
                FORMER,
                "others",
                "all",
                "machine",
                "outage",
                "node [0-9]+",
                "[0-9]{1,5} machines",
                "[0-9]{1,5} jobs",
                "zone [^ ]+",
            ) +
                shared.keys
        private val form =
            Regex("at ([0-9.]+)s(?: on (write|term|end))? (${verbs.joinToString("|")}) (${targets.joinToString("|")})(?: for ([0-9.]+)s)?")

        /** Draws after how long a copy of an executed message arrives at a worker whose lease lasts [leaseMs]. */
        fun copyDelayMs(random: Random, leaseMs: Long): Long = MIN_COPY_DELAY_MS + random.nextInt((leaseMs * MAX_COPY_DELAY_LEASES).toInt())

        /** Throws [IllegalArgumentException] with what is wrong with [text]. */
        fun parse(text: String): Fault {
            val match = form.matchEntire(text.trim().replace(Regex(" +"), " ")) ?: throw invalid(text)
            val (at, on, verb, target, length) = match.destructured
            val whom = parseTarget(verb, target) ?: throw invalid(text)
            val what = if (whom == Whom.State || whom == Whom.Cloud) What.OUTAGE else What.valueOf(verb.uppercase())
            if (!fits(what, whom)) throw invalid(text)
            return Fault(
                millis(at, text),
                what,
                whom,
                if (length.isEmpty()) DEFAULT_MS else millis(length, text),
                if (on.isEmpty()) null else Moment.valueOf(on.uppercase()),
            )
        }

        private fun invalid(text: String) = IllegalArgumentException("'$text' is no fault: $FORM")

        /** Null: there is no such target for that verb. */
        private fun parseTarget(verb: String, target: String): Whom? =
            when {
                verb == "state" && target == "outage" -> Whom.State
                verb == "cloud" && target == "outage" -> Whom.Cloud
                target == "leader" || target == FORMER -> Whom.Leader
                target == "all" -> Whom.AllNodes
                target == "others" -> Whom.Others
                target == "machine" -> Whom.Machine
                target in shared -> shared.getValue(target)
                target.startsWith("zone ") -> Whom.Zone(target.removePrefix("zone "))
                target.endsWith(" jobs") -> Whom.Jobs(target.substringBefore(' ').toInt())
                target.endsWith(" machines") -> Whom.Machines(target.substringBefore(' ').toInt())
                target.startsWith("node ") -> Whom.Node(target.removePrefix("node ").toInt())
                else -> null
            }

        private fun fits(what: What, whom: Whom): Boolean =
            when (what) {
                What.KILL, What.HANG, What.MUTE -> whom is Whom.Hosts || whom is Whom.Nodes
                What.CUT, What.NOTICE, What.DEAFEN -> whom is Whom.Hosts
                What.REFUSE, What.ISOLATE -> whom is Whom.Nodes
                What.DELAY -> whom == Whom.Writes
                What.REPEAT, What.KEEP -> whom == Whom.Reports
                What.COPY -> whom == Whom.Commands
                What.SLOW, What.HURRY -> whom == Whom.Boots
                What.LOSE -> whom == Whom.Boots || whom == Whom.Answers
                What.LAG -> whom == Whom.Lists
                What.STORM -> whom == Whom.Polls
                What.CLOSE -> whom == Whom.Looks
                What.CANCEL -> whom is Whom.Jobs || whom == Whom.Ends || whom == Whom.Accepted
                What.ODD -> whom == Whom.Requests
                What.OUTAGE -> whom == Whom.State || whom == Whom.Cloud
            }

        private fun millis(seconds: String, text: String): Long {
            val valid = seconds.toDoubleOrNull()?.takeIf { it in 0.0..MAX_S }
            return ((requireNotNull(valid) { "'$text': a time is from 0 to $MAX_S seconds" }) * 1000).toLong()
        }
    }
}

/** The workers among [all] that [whom] means; of a number of machines those with tasks first, in the order drawn by [random]. */
fun victims(whom: Fault.Whom, all: Collection<FakeWorker>, random: Random): List<FakeWorker> {
    val there = all.filter { !it.dead }
    return when (whom) {
        Fault.Whom.Machine -> there.filter { w -> w.tasks.values.any { it.live } }.shuffled(random).take(1)
        is Fault.Whom.Machines -> there.shuffled(random).sortedByDescending { w -> w.tasks.values.any { it.live } }.take(whom.count)
        is Fault.Whom.Zone -> there.filter { it.box.zone == whom.name }
        is Fault.Whom.Nodes, is Fault.Whom.Shared -> emptyList()
    }
}
