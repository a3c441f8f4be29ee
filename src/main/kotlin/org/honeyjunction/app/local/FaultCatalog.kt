package org.honeyjunction.app.local

import org.honeyjunction.fake.Fault
import java.util.Random

/**
 * A fault from which [SimulationSearch] draws, for [maxS] seconds at most. Its [text] may name several faults that belong
 * together, separated by commas: one that begins with `+<n>s` starts that long after the first. In the rest it is as users
 * write it ([Fault.FORM]), but for the time, the moment and the duration where it has none.
 */
class FaultTemplate(val name: String, private val maxS: Int, private val text: (Random) -> String) {
    fun durationMs(random: Random): Long = minOf(maxS * 1_000L, 500L + random.nextInt(maxS * 1_000))

    /** [moment]: "" or like `on term `, for the first of the faults. */
    fun faults(atMs: Long, moment: String, forMs: Long, random: Random): List<Fault> =
        text(random).split(", ").map { part -> Fault.parse(complete(part, atMs, moment, forMs)) }

    private fun complete(part: String, atMs: Long, moment: String, forMs: Long): String {
        val offsetS = part.substringBefore("s ").removePrefix("+").takeIf { part.startsWith('+') }
        val fault = if (offsetS == null) part else part.substringAfter("s ")
        val hasMoment = " on " in " $fault" || offsetS != null
        val startS = (atMs + (offsetS?.toLong() ?: 0) * 1_000) / 1000.0
        val duration = if (" for " in fault) "" else " for ${forMs / 1000.0}s"
        return "at ${startS}s ${if (hasMoment) "" else moment}$fault$duration"
    }
}

/** All faults that the search draws. Their order and number decide what a seed draws; a name that stands twice is drawn twice as often. */
class FaultCatalog(controllers: Int, zones: List<String>) {
    private val ofControllers =
        listOf(
            FaultTemplate("kill leader", 9) { "kill leader" },
            FaultTemplate("kill all", 4) { "kill all" },
            FaultTemplate("kill a controller", 9) { "kill node ${it.nextInt(controllers)}" },
            FaultTemplate("hang leader", 14) { "hang leader" },
            FaultTemplate("refuse leader", 40) { "refuse leader" },
            FaultTemplate("isolate leader", 60) { "isolate leader" },
            FaultTemplate("mute leader", 20) { "mute leader" },
            FaultTemplate("mute the others", 40) { "mute others" },
            FaultTemplate("isolate a controller", 40) { "isolate node ${it.nextInt(controllers)}" },
        )

    private val ofMachines =
        listOf(
            FaultTemplate("state outage", 40) { "state outage" },
            FaultTemplate("delay writes", 25) { "delay writes" },
            FaultTemplate("repeat reports", 40) { "repeat reports" },
            FaultTemplate("deafen machines", 14) { "deafen ${1 + it.nextInt(4)} machines" },
            FaultTemplate("hang machines", 12) { "hang ${1 + it.nextInt(3)} machines" },
            FaultTemplate("cut machines", 12) { "cut ${1 + it.nextInt(4)} machines" },
            FaultTemplate("cut a zone", 14) { "cut zone ${zones[it.nextInt(zones.size)]}" },
            FaultTemplate("kill machines", 1) { "kill ${1 + it.nextInt(2)} machines" },
            FaultTemplate("notice", 6) { "notice machine" },
        )

    private val ofMessagesAndUsers =
        listOf(
            FaultTemplate("lose answers", 40) { "lose answers" },
            FaultTemplate("delay writes", 40) { "delay writes" },
            FaultTemplate("keep reports", 40) { "keep reports" },
            FaultTemplate("close looks", 60) { "close looks" },
            FaultTemplate("close looks", 60) { "close looks" },
            FaultTemplate("cancel at once", 60) { "cancel accepted" },
            FaultTemplate("cancel at the end", 60) { "cancel ends" },
            FaultTemplate("cancel now", 10) { "cancel ${2 + it.nextInt(5)} jobs" },
            FaultTemplate("mute machines", 30) { "mute ${1 + it.nextInt(5)} machines" },
            FaultTemplate("hurry boots", 40) { "hurry boots" },
            FaultTemplate("lag lists", 40) { "lag lists" },
            FaultTemplate("odd requests", 30) { "odd requests" },
        )

    /** Sequences that earlier violations needed. */
    private val combined =
        listOf(
            FaultTemplate("cut off with its workers", 60) { "isolate leader, mute others" },
            FaultTemplate("old words at a takeover", 30) {
                val refuse = "+${2 + it.nextInt(4)}s refuse leader"
                val verb = listOf("cut", "hang", "mute")[it.nextInt(3)]
                "keep reports for 2s, $refuse, +2s on term $verb ${2 + it.nextInt(5)} machines for 9s"
            },
            FaultTemplate("late writes at a takeover", 20) {
                val refuse = "+${1 + it.nextInt(4)}s on write refuse leader for 9s"
                "delay writes, $refuse, +1s on term cut ${2 + it.nextInt(5)} machines for 9s"
            },
            FaultTemplate("called off at a takeover", 9) { "refuse leader, +0s on term cancel 4 jobs, +0s on term cut 3 machines" },
        )

    private val templates = ofControllers + ofMachines + ofMessagesAndUsers + combined

    fun draw(random: Random): FaultTemplate = templates[random.nextInt(templates.size)]
}
