package org.honeyjunction.core.control.leader

/** Counts, since the start of the term, what the leader and the workers told each other about starts, stops and ended attempts. */
class WorkerMessageCounters {
    /** Messages with commands, by outcome; one that is on its way counts only as sent. */
    var sent = 0L
    var rejected = 0L
    var unanswered = 0L

    /** Ended attempts that heartbeat responses let workers forget, and those that they had to keep until the next heartbeat. */
    var forgotten = 0L
    var keptForNow = 0L

    /** How often a machine's fencing token was raised so that starts that were sent before are rejected. */
    var tokensRaised = 0L

    /** A part of the line of statistics. */
    fun statistics() =
        "messages to workers: $sent sent, $rejected rejected, $unanswered unanswered; " +
            "attempts: $forgotten forgotten, $keptForNow kept for now; $tokensRaised fencing tokens raised"
}
