package org.honeyjunction.timeline

/** The reason why an entry of the merged order comes after the entry before it. */
enum class OrderEvidence {
    /** Both entries are from the same log, or there is no entry before this one. */
    SAME_NODE,

    /** The possible true times of the two entries do not overlap, so the clocks prove the order. */
    CLOCKS,

    /** The entry before is the election of a term that the node already knew, so the node wrote this entry later. */
    TERMS,

    /** Nothing proves the order: the entries are in the order of their nodes' clocks, which may be wrong. */
    UNKNOWN,
}

/** An [entry] of the merged order. The [evidence] says why the entry is placed after the preceding one. */
class OrderedEntry(val entry: LogEntry, val evidence: OrderEvidence)
