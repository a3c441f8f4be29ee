package org.honeyjunction.core.model

import org.agrona.collections.Object2IntHashMap

/** Maps names to dense indices. Names are mapped where they enter the process; internally only the indices are used. */
class NameTable {
    private val indices = Object2IntHashMap<String>(ABSENT)
    private val names = ArrayList<String>()

    /** One more than the highest index. */
    val size: Int get() = names.size

    /** The index of [name], which is added if it is new. */
    fun index(name: String): Int {
        val known = indices.getValue(name)
        if (known != ABSENT) return known
        names.add(name)
        indices.put(name, names.size - 1)
        return names.size - 1
    }

    /** Like [index], but returns [ABSENT] for a new name once the table has [maxNames] names. */
    fun indexWithin(name: String, maxNames: Int): Int = if (find(name) == ABSENT && size >= maxNames) ABSENT else index(name)

    /** The index of [name], or [ABSENT]. */
    fun find(name: String): Int = indices.getValue(name)

    /** Removes [name]; if it is added again, it gets another index. */
    fun forget(name: String) {
        indices.remove(name)
    }

    /** The name with this [index]. */
    fun name(index: Int): String = names[index]

    companion object {
        /** The index that stands for no name. */
        const val ABSENT = -1
    }
}
