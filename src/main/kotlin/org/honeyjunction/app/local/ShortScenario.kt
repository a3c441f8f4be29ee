package org.honeyjunction.app.local

import org.honeyjunction.fake.Fault
import org.honeyjunction.fake.PlannedJob

/** A short run of a whole cluster: the jobs that users submit, and the faults. [seed] decides all else that is drawn. */
class ShortScenario(val seed: Long, val kind: Kind, val jobs: List<PlannedJob>, val faults: List<Fault>) {
    enum class Kind {
        SHORT,

        /** Every team is at its limit. */
        AT_LIMITS,

        /** Two minutes of one-task jobs, four a second. */
        LONG,

        ;

        companion object {
            /** Of a hundred seeds in a row, 4 are long and 24 at the limits. */
            fun of(seed: Long): Kind =
                when {
                    seed % 25 == 24L -> LONG
                    seed % 4 == 3L -> AT_LIMITS
                    else -> SHORT
                }
        }
    }

    /** When the last fault is over, in milliseconds: one that waits for a moment may begin later than planned. */
    val faultsEndAt: Long
        get() = faults.maxOfOrNull { it.atMs + it.forMs + if (it.on == null) 0 else LocalCluster.MOMENT_MS } ?: 0

    fun without(fault: Fault) = ShortScenario(seed, kind, jobs, faults - fault)
}

/** The outcome of a [ShortScenario]: violations of the protocol's rules, jobs without a final answer, and statistics. */
class ScenarioResult(
    val broken: List<String>,
    val unserved: List<String>,
    val terms: Long,
    val cancelled: Int,
    val lateWrites: Int,
    val starts: Int,
    val virtualMs: Long,
    val coverage: Map<String, Int>,
) {
    val passed get() = broken.isEmpty() && unserved.isEmpty()

    /** The kind of the first failure. If it is the same after a fault was left out, that fault was not needed for it. */
    val failure: String
        get() {
            val rule = broken.firstOrNull()?.substringAfter(' ')?.substringBefore(':')
            return rule ?: if (unserved.isEmpty()) "nothing" else "unserved"
        }
}
