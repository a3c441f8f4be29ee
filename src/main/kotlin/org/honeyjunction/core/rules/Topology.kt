package org.honeyjunction.core.rules

import org.honeyjunction.core.rules.Topology.Entry

/**
 * The labels that operators assign to machines. An entry assigns its labels to every machine that meets all of its conditions: a
 * name that matches [Entry.machines], a type, a zone, and labels from other entries.
 */
class Topology(val entries: List<Entry>) {
    /**
     * Assigns the labels [set] to the machines that match; a condition that is null or empty matches every machine. In [machines],
     * "*" stands for any text and "?" for one character. [having] lists labels, with their values, that the machine must have.
     */
    class Entry(
        val machines: String?,
        val type: String?,
        val zone: String?,
        val having: Map<String, String>,
        val set: Map<String, String>,
    ) {
        /** The pattern [machines] as a regular expression. */
        val nameRegex: Regex? =
            machines?.let { pattern ->
                Regex(
                    pattern
                        .map {
                            if (it ==
                                '*'
                            ) {
                                ".*"
                            } else if (it == '?') {
                                "."
                            } else {
                                Regex.escape(it.toString())
                            }
                        }.joinToString(""),
                )
            }
    }

    /** All labels that entries assign; each label comes after the labels that its entries depend on. */
    val labels: List<String> = labelsByDependency()

    /**
     * The labels of a machine. [name] is null for a machine that is not rented yet; a label that depends on the name then has the
     * value [UNKNOWN].
     */
    fun labels(name: String?, type: String, zone: String): Map<String, String> {
        val known = HashMap<String, String>()
        for (label in labels) {
            var undecided = false
            for (entry in entries) {
                val value = entry.set[label] ?: continue
                when (match(entry, name, type, zone, known)) {
                    Match.NO -> Unit
                    Match.YES -> known[label] = value
                    Match.UNDECIDED -> undecided = true
                }
            }
            if (undecided && label !in known) known[label] = UNKNOWN
        }
        return known
    }

    /** Whether an entry matches a machine; undecided where that depends on the name of a machine that is not rented yet. */
    private enum class Match { NO, YES, UNDECIDED }

    private fun match(entry: Entry, name: String?, type: String, zone: String, known: Map<String, String>): Match {
        if (entry.type != null && entry.type != type || entry.zone != null && entry.zone != zone) return Match.NO
        if (entry.having.any { (label, value) -> known[label] != value && known[label] != UNKNOWN }) return Match.NO
        val nameMissing = entry.nameRegex != null && name == null
        if (nameMissing || entry.having.any { (label, _) -> known[label] == UNKNOWN }) return Match.UNDECIDED
        return if (entry.nameRegex == null || entry.nameRegex.matches(name!!)) Match.YES else Match.NO
    }

    private fun labelsByDependency(): List<String> {
        val order = LinkedHashSet<String>()
        entries.forEach { entry -> entry.set.keys.forEach { addAfterDependencies(it, ArrayList(), order) } }
        return order.toList()
    }

    /** Depth-first search; [path] holds the labels from the start of the search to [label], to detect cycles. */
    private fun addAfterDependencies(label: String, path: MutableList<String>, order: MutableSet<String>) {
        require(label !in path) { "labels decide each other: ${(path + label).joinToString(" -> ")}" }
        if (label in order) return
        path += label
        entries.filter { label in it.set }.forEach { entry -> entry.having.keys.forEach { addAfterDependencies(it, path, order) } }
        path.removeLast()
        order += label
    }

    /** The indices of two entries that could match the same machine and assign different values to a label, and that label; null: none. */
    fun conflict(): Triple<Int, Int, String>? {
        for (i in entries.indices) {
            for (j in 0 until i) {
                val first = entries[i]
                val second = entries[j]
                val label = first.set.keys.firstOrNull { key -> second.set[key].let { it != null && it != first.set[key] } } ?: continue
                val disjoint =
                    first.type != null &&
                        second.type != null &&
                        first.type != second.type ||
                        first.zone != null &&
                        second.zone != null &&
                        first.zone != second.zone ||
                        first.having.any { (key, wanted) -> second.having[key].let { it != null && it != wanted } } ||
                        first.machines != null &&
                        second.machines != null &&
                        !overlap(first.machines, second.machines)
                if (!disjoint) return Triple(j, i, label)
            }
        }
        return null
    }

    companion object {
        /** The value of a label that depends on the name of a machine that is not rented yet. */
        const val UNKNOWN = "?"

        /** A topology without labels. */
        val EMPTY = Topology(emptyList())

        /** Whether some name matches both patterns. */
        fun overlap(first: String, second: String): Boolean {
            // row[j]: whether some text matches both the rest of first from i on and the rest of second from j on. Dynamic
            // programming from the end of first; nextRow is the row of i + 1.
            var nextRow = BooleanArray(second.length + 1)
            for (i in first.length downTo 0) {
                val row = BooleanArray(second.length + 1)
                for (j in second.length downTo 0) {
                    val left = first.getOrNull(i)
                    val right = second.getOrNull(j)
                    row[j] =
                        when {
                            left == null && right == null -> true
                            left == '*' && nextRow[j] || right == '*' && row[j + 1] -> true
                            left == '*' && right != null -> row[j + 1]
                            right == '*' && left != null -> nextRow[j]
                            else -> left != null && right != null && (left == right || left == '?' || right == '?') && nextRow[j + 1]
                        }
                }
                nextRow = row
            }
            return nextRow[0]
        }
    }
}
