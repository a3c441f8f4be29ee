package org.honeyjunction.fake

import org.honeyjunction.core.model.JobSpec
import org.honeyjunction.core.model.Resources

/** A machine as its worker describes it. */
class MachineSpec(
    val name: String,
    val address: String,
    val type: String,
    val size: Resources,
    val zone: String,
    val spot: Boolean,
    val cacheGb: Double,
    val fetchGbPerS: Double,
)

/** What users uploaded for the workers: the job, for how many seconds a task really runs, and whether it fails. */
class Work(val spec: JobSpec, val runS: Double, val fails: Boolean = false)
