package org.honeyjunction.core.control.leader

import org.honeyjunction.core.model.Resources

/** The resources in use and the number of placements of each team, by the team's dense index. */
internal class TeamUsage(teams: Int) {
    private val usage = Array(teams) { Resources.NONE }
    private val placements = IntArray(teams)

    /** The resources that the placements of [team] use. */
    fun usage(team: Int): Resources = usage[team]

    /** The number of placements of [team]. */
    fun placements(team: Int): Int = placements[team]

    /** Adds a placement that needs [need]. */
    fun add(team: Int, need: Resources) {
        placements[team]++
        usage[team] = usage[team] + need
    }

    /** Removes a placement that needed [need]. */
    fun remove(team: Int, need: Resources) {
        placements[team]--
        // Without placements the usage is reset to zero, so that rounding errors do not accumulate.
        usage[team] = if (placements[team] == 0) Resources.NONE else usage[team] - need
    }
}
