package org.honeyjunction.nomad

import org.honeyjunction.core.model.JobSpec
import org.honeyjunction.core.rules.Rule

/** What a job file means here: groups, each of which becomes native jobs. */
class NomadJob(
    val namespace: String,
    val id: String,
    val service: Boolean,
    val stopped: Boolean,
    val groups: List<Group>,
    val periodic: Periodic?,
    val parameterized: Parameterized?,
) {
    /** Jobs that only start others have no tasks of their own. */
    val template: Boolean get() = periodic != null || parameterized != null
}

/** A group: [spec] is what each of its native jobs is, but for the id and the number of tasks. */
class Group(
    val name: String,
    val count: Int,
    val spec: JobSpec,
    val rules: List<Rule>,
    val update: Update,
    /** Tasks of one native job, the last perhaps less. */
    val piece: Int,
    /** Tells whether two versions of a group ask for the same, whatever their counts. */
    val definition: String,
)

/** How a changed service is replaced; times in milliseconds. */
data class Update(val maxParallel: Int, val minHealthyMs: Long, val deadlineMs: Long, val autoRevert: Boolean)

/** When a periodic job starts children: cron expressions [crons] in the time zone [zone]. */
class Periodic(val crons: List<String>, val zone: String, val prohibitOverlap: Boolean, val enabled: Boolean)

/** What a parameterized job takes when it is dispatched: whether a payload is allowed, and the metadata keys. */
class Parameterized(val payload: String, val required: List<String>, val optional: List<String>)

/** What the meaning of a file depends on: the cluster and what its operators allow. */
class Site(
    val zones: List<String>,
    val types: List<String>,
    val teams: List<String>,
    /** The labels of the topology with the values that it gives. */
    val labels: Map<String, Set<String>> = emptyMap(),
    val options: NomadOptions = NomadOptions(),
    val rulesOn: Boolean = true,
)

/** The operators' settings under "nomad". */
data class NomadOptions(
    val on: Boolean = false,
    val listen: String = "127.0.0.1:4646",
    val mhzPerCore: Double = 1_000.0,
    val team: String? = null,
    /** Teams whose jobs may have priority 90 and above. */
    val production: List<String> = emptyList(),
    /** Blocking queries that one controller keeps waiting at a time. */
    val maxWaiting: Int = 64,
)
