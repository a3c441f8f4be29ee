package org.honeyjunction.timeline

/**
 * Merges the logs of several nodes into one order.
 *
 * Entries of one node keep the order in which they were written, even if the node's clock was set back. Entries of different nodes are
 * in an order that is certain in two cases:
 * - an entry whose latest possible time is before another entry's earliest possible time comes first;
 * - the election of a term comes before every entry of another node that knows this term or a later one. The reverse does not hold:
 *   an entry of a node that does not know the term yet may have been written before or after the election.
 *
 * All other entries are ordered by the clocks alone and marked [OrderEvidence.UNKNOWN].
 */
object Timeline {
    /** Merges [logs]; each of them has the entries of one node, in the order in which they were written. */
    fun merge(logs: List<List<LogEntry>>): List<OrderedEntry> {
        val elections = firstElectionByTerm(logs)
        val next = IntArray(logs.size)
        val merged = ArrayList<OrderedEntry>()
        val emitted = HashSet<LogEntry>()
        while (true) {
            val unfinished = logs.indices.filter { next[it] < logs[it].size }
            if (unfinished.isEmpty()) return merged
            val unblocked = unfinished.filter { !awaitsElection(logs[it][next[it]], elections, emitted) }
            // If every log waits for an election, the terms contradict each other, and the clocks decide.
            val log = unblocked.ifEmpty { unfinished }.minBy { logs[it][next[it]].timestamp.time }
            val entry = logs[log][next[log]++]
            merged += OrderedEntry(entry, evidence(merged.lastOrNull()?.entry, entry))
            emitted += entry
        }
    }

    private fun firstElectionByTerm(logs: List<List<LogEntry>>): Map<Long, LogEntry> =
        logs
            .flatten()
            .filter { it.event == EventNames.LEADER_ELECTED }
            .groupBy { it.timestamp.term }
            .mapValues { (_, elections) -> elections.minBy { it.timestamp.time } }

    /** Whether [entry] has to come after an election on another node that has not been emitted yet. */
    private fun awaitsElection(entry: LogEntry, elections: Map<Long, LogEntry>, emitted: Set<LogEntry>): Boolean =
        elections.any { (term, election) ->
            term <= entry.timestamp.term && election.timestamp.node != entry.timestamp.node && election !in emitted
        }

    private fun evidence(before: LogEntry?, entry: LogEntry): OrderEvidence =
        when {
            before == null || before.file == entry.file -> OrderEvidence.SAME_NODE
            before.timestamp.latest < entry.timestamp.earliest -> OrderEvidence.CLOCKS
            isElectionKnownTo(entry, before) -> OrderEvidence.TERMS
            else -> OrderEvidence.UNKNOWN
        }

    private fun isElectionKnownTo(entry: LogEntry, before: LogEntry): Boolean =
        before.event == EventNames.LEADER_ELECTED && before.timestamp.term <= entry.timestamp.term
}
