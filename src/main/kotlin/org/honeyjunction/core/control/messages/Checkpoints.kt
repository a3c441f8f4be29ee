package org.honeyjunction.core.control.messages

import org.honeyjunction.core.boot.BootTimeCheckpoint
import org.honeyjunction.core.failures.JobFailureCheckpoint
import org.honeyjunction.core.fairness.FairnessGroup
import org.honeyjunction.core.fairness.ServedCount

/**
 * What a leader has learned and stores for its successor: which jobs fail on every machine, how long machines take to boot, and
 * how many of the finished jobs of each class and team were started in time.
 */
data class LeaderCheckpoint(
    val jobs: List<JobFailureCheckpoint> = emptyList(),
    val boots: List<BootTimeCheckpoint> = emptyList(),
    val served: Map<FairnessGroup, ServedCount> = emptyMap(),
)

/** The address, type, zone, session and cached images of a machine, as a leader stores them for its successor. */
data class MachineCheckpoint(
    val name: String,
    val address: String?,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val session: Long,
    /** The images that the machine's cache is assumed to hold, with their sizes in GB. A new leader places tasks by them. */
    val images: Map<String, Double>,
    /** Wall-clock time in milliseconds at which the machine became idle; null if it was busy, or idle only for a short time. */
    val idleSinceWall: Long? = null,
)
