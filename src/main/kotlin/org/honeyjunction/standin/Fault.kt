package org.honeyjunction.standin

import java.util.Random

/** A trouble on request: `at 8s kill leader`, `at 3s state outage for 4s`, `at 5s cut machine for 6s`. Times in milliseconds. */
data class Fault(val atMs: Long, val what: What, val whom: Whom, val forMs: Long) {
    enum class What {
        KILL, HANG, CUT, REFUSE, NOTICE, OUTAGE,

        /** What is rented meanwhile takes four times as long to boot. */
        SLOW,

        /** One in four of what is rented meanwhile never comes up, but is charged. */
        LOSE,

        /** Users ask about each job ten times at once. */
        STORM,

        /** A controller loses the state service and the other controllers, not its workers and users. In virtual time only. */
        ISOLATE,

        /** A controller and the workers lose each other, not its way to the rest. In virtual time only. */
        MUTE,

        /** Reports arrive; answers and commands to the machine are lost. */
        DEAFEN,

        /** Four in ten transactions get no answer and are carried out 2 to 12 s later. */
        DELAY,

        /** Of four in ten reports a copy arrives again, from 2 s to two leases later. */
        REPEAT,
    }

    sealed interface Whom {
        data object Leader : Whom

        data object AllNodes : Whom

        /** All controllers but the leader. */
        data object Others : Whom

        data class Node(val number: Int) : Whom

        /** Any machine that runs something. */
        data object Machine : Whom

        /** So many machines at once, those with tasks first. */
        data class Machines(val count: Int) : Whom

        /** All machines of a zone. */
        data class Zone(val name: String) : Whom

        data object State : Whom

        data object Cloud : Whom

        /** Machines that are rented meanwhile. */
        data object Boots : Whom

        /** What users ask about their jobs. */
        data object Polls : Whom

        /** Transactions of the state service. */
        data object Writes : Whom

        /** What workers say of themselves. */
        data object Reports : Whom
    }

    /** As it is written. */
    override fun toString(): String {
        val target = when (whom) {
            Whom.Leader -> "leader"
            Whom.AllNodes -> "all"
            Whom.Others -> "others"
            is Whom.Node -> "node ${whom.number}"
            Whom.Machine -> "machine"
            is Whom.Machines -> "${whom.count} machines"
            is Whom.Zone -> "zone ${whom.name}"
            Whom.State, Whom.Cloud -> "outage"
            Whom.Boots, Whom.Polls, Whom.Writes, Whom.Reports -> whom.toString().lowercase()
        }
        val verb = if (whom == Whom.State || whom == Whom.Cloud) whom.toString().lowercase() else what.name.lowercase()
        return "at ${atMs / 1000.0}s $verb $target for ${forMs / 1000.0}s"
    }

    companion object {
        const val FORM = "at <seconds>s (kill|hang|refuse|isolate|mute) (leader|others|node <n>|all) [for <seconds>s], at <seconds>s (kill|hang|cut|notice|deafen) (machine|<n> machines|zone <name>) [for <seconds>s], " +
            "at <seconds>s (state|cloud) outage [for <seconds>s], at <seconds>s (slow|lose) boots [for <seconds>s], or at <seconds>s (storm polls|delay writes|repeat reports) [for <seconds>s]"
        const val SHARE = 0.4

        /** What a leader was called before, and may still be. */
        private const val FORMER = "holder"
        const val SLOW_BOOTS = 4.0
        const val LOST_BOOTS_ONE_IN = 4
        const val STORM_POLLS = 10
        private const val DEFAULT_MS = 4_000L
        private const val MAX_S = 3_600.0
        private val form = Regex("at ([0-9.]+)s (kill|hang|cut|refuse|isolate|mute|notice|deafen|state|cloud|slow|lose|storm|delay|repeat) (leader|holder|others|all|machine|outage|boots|polls|writes|reports|node [0-9]+|[0-9]{1,5} machines|zone [^ ]+)(?: for ([0-9.]+)s)?")

        /** Throws with what is wrong with [text]. */
        fun parse(text: String): Fault {
            val m = form.matchEntire(text.trim().replace(Regex(" +"), " ")) ?: throw IllegalArgumentException("'$text' is no fault: $FORM")
            val (at, verb, target, length) = m.destructured
            val whom = when {
                verb == "state" && target == "outage" -> Whom.State
                verb == "cloud" && target == "outage" -> Whom.Cloud
                target == "leader" || target == FORMER -> Whom.Leader
                target == "all" -> Whom.AllNodes
                target == "others" -> Whom.Others
                target == "machine" -> Whom.Machine
                target == "boots" -> Whom.Boots
                target == "polls" -> Whom.Polls
                target == "writes" -> Whom.Writes
                target == "reports" -> Whom.Reports
                target.startsWith("zone ") -> Whom.Zone(target.removePrefix("zone "))
                target.endsWith(" machines") -> Whom.Machines(target.substringBefore(' ').toInt())
                target.startsWith("node ") -> Whom.Node(target.removePrefix("node ").toInt())
                else -> throw IllegalArgumentException("'$text' is no fault: $FORM")
            }
            val what = if (whom == Whom.State || whom == Whom.Cloud) What.OUTAGE else What.valueOf(verb.uppercase())
            val fits = when (what) {
                What.KILL, What.HANG -> ofMachines(whom) || ofNodes(whom)
                What.CUT, What.NOTICE, What.DEAFEN -> ofMachines(whom)
                What.DELAY -> whom == Whom.Writes
                What.REPEAT -> whom == Whom.Reports
                What.REFUSE, What.ISOLATE, What.MUTE -> ofNodes(whom)
                What.SLOW, What.LOSE -> whom == Whom.Boots
                What.STORM -> whom == Whom.Polls
                What.OUTAGE -> true
            }
            require(fits) { "'$text' is no fault: $FORM" }
            return Fault(millis(at, text), what, whom, if (length.isEmpty()) DEFAULT_MS else millis(length, text))
        }

        private fun ofNodes(whom: Whom) = whom == Whom.Leader || whom == Whom.AllNodes || whom == Whom.Others || whom is Whom.Node

        private fun ofMachines(whom: Whom) = whom == Whom.Machine || whom is Whom.Machines || whom is Whom.Zone

        private fun millis(seconds: String, text: String): Long {
            val s = seconds.toDoubleOrNull()?.takeIf { it in 0.0..MAX_S }
            return ((requireNotNull(s) { "'$text': a time is from 0 to $MAX_S seconds" }) * 1000).toLong()
        }
    }
}

/** The workers among [all] that [whom] means: of some number those with tasks, drawn by [random], then others. */
fun victims(whom: Fault.Whom, all: Collection<Worker>, random: Random): List<Worker> {
    val there = all.filter { !it.dead }
    return when (whom) {
        Fault.Whom.Machine -> there.filter { w -> w.tasks.values.any { it.live } }.shuffled(random).take(1)
        is Fault.Whom.Machines -> there.shuffled(random).sortedByDescending { w -> w.tasks.values.any { it.live } }.take(whom.count)
        is Fault.Whom.Zone -> there.filter { it.box.zone == whom.name }
        Fault.Whom.Leader, Fault.Whom.AllNodes, Fault.Whom.Others, is Fault.Whom.Node, Fault.Whom.State, Fault.Whom.Cloud, Fault.Whom.Boots, Fault.Whom.Polls, Fault.Whom.Writes, Fault.Whom.Reports -> emptyList()
    }
}
