package org.honeyjunction.core.evidence

/**
 * What a node that does not hold the term knows of who does, for those who ask it. A holder that has fallen silent, though its lease
 * has not run out, is not named: a worker that is sent there waits four seconds for nothing, and its lease may end by that;
 * without a name it tries the next node, which may hold the term by then. Steady milliseconds.
 */
class HolderWatch(now: Long) {
    private var name: String? = null
    private var heardAt = now

    /** The state service names [holder], or nobody. One that is new has the benefit of the doubt. */
    fun named(holder: String?, now: Long) {
        if (holder == name) return
        name = holder
        heardAt = now
    }

    /** The holder answered this node. */
    fun heard(now: Long) {
        heardAt = maxOf(heardAt, now)
    }

    fun worthNaming(now: Long): String? = name.takeIf { now - heardAt <= DOUBT_MS }

    companion object {
        /** A holder answers questions within half a second of them, and is asked all the time. */
        const val DOUBT_MS = 2_000L
    }
}
