package org.honeyjunction.standin

/** A trouble on request: `at 8s kill holder`, `at 3s state outage for 4s`, `at 5s cut machine for 6s`. Times in milliseconds. */
data class Fault(val atMs: Long, val what: What, val whom: Whom, val forMs: Long) {
    enum class What { KILL, HANG, CUT, REFUSE, NOTICE, OUTAGE }

    sealed interface Whom {
        data object Holder : Whom

        data object AllNodes : Whom

        data class Node(val number: Int) : Whom

        /** Any machine that runs something. */
        data object Machine : Whom

        data object State : Whom

        data object Cloud : Whom
    }

    companion object {
        const val FORM = "at <seconds>s (kill|hang|refuse) (holder|node <n>|all) [for <seconds>s], at <seconds>s (kill|hang|cut|notice) machine [for <seconds>s], " +
            "or at <seconds>s (state|cloud) outage [for <seconds>s]"
        private const val DEFAULT_MS = 4_000L
        private const val MAX_S = 3_600.0
        private val form = Regex("at ([0-9.]+)s (kill|hang|cut|refuse|notice|state|cloud) (holder|all|machine|outage|node [0-9]+)(?: for ([0-9.]+)s)?")

        /** Throws with what is wrong with [text]. */
        fun parse(text: String): Fault {
            val m = form.matchEntire(text.trim().replace(Regex(" +"), " ")) ?: throw IllegalArgumentException("'$text' is no fault: $FORM")
            val (at, verb, target, length) = m.destructured
            val whom = when {
                verb == "state" && target == "outage" -> Whom.State
                verb == "cloud" && target == "outage" -> Whom.Cloud
                target == "holder" -> Whom.Holder
                target == "all" -> Whom.AllNodes
                target == "machine" -> Whom.Machine
                target.startsWith("node ") -> Whom.Node(target.removePrefix("node ").toInt())
                else -> throw IllegalArgumentException("'$text' is no fault: $FORM")
            }
            val what = if (whom == Whom.State || whom == Whom.Cloud) What.OUTAGE else What.valueOf(verb.uppercase())
            val fits = when (what) {
                What.KILL, What.HANG -> true
                What.CUT, What.NOTICE -> whom == Whom.Machine
                What.REFUSE -> whom != Whom.Machine
                What.OUTAGE -> true
            }
            require(fits) { "'$text' is no fault: $FORM" }
            return Fault(millis(at, text), what, whom, if (length.isEmpty()) DEFAULT_MS else millis(length, text))
        }

        private fun millis(seconds: String, text: String): Long {
            val s = seconds.toDoubleOrNull()?.takeIf { it in 0.0..MAX_S }
            return ((requireNotNull(s) { "'$text': a time is from 0 to $MAX_S seconds" }) * 1000).toLong()
        }
    }
}
