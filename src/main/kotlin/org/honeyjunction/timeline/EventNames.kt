package org.honeyjunction.timeline

/**
 * The names of log events (`leader-elected` in `INFO Election - leader-elected: term 3`).
 *
 * Earlier versions logged some events under other names. [current] maps those names, so that logs of different versions can be merged
 * during and after a rolling upgrade.
 */
object EventNames {
    /** A controller won the election of a term. [Timeline.merge] uses this event to order the log lines of different nodes. */
    const val LEADER_ELECTED = "leader-elected"

    /** Maps event names of earlier versions to the names that replaced them. An entry is needed as long as such logs are retained. */
    val RENAMED: Map<String, String> =
        mapOf(
            "node-up" to "node-started",
            "term-begins" to LEADER_ELECTED,
            "term-held" to "leader-ready",
            "term-refused" to "election-refused",
            "term-given-up" to "leader-stepped-down",
            "lease-ended" to "leader-lease-expired",
            "leader-census" to "leader-statistics",
            "stood-still" to "process-paused",
            "zone-changed" to "zone-health-changed",
            "renewals-end" to "renewals-stopped",
            "renewals-resume" to "renewals-resumed",
            "job-failing" to "job-crash-looping",
            "beside-room" to "job-stalled",
            "machines-rented" to "instances-scaled-out",
            "rental-refused" to "scale-out-refused",
            "machines-released" to "instances-scaled-in",
        )

    /** The current name of the event that some version logged as [name]. */
    fun current(name: String): String = RENAMED[name] ?: name
}
