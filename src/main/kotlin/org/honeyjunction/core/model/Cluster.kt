package org.honeyjunction.core.model

/** Amounts of CPUs, GPUs and memory: what a task needs, or what a machine has free. */
data class Resources(val cpus: Double, val gpus: Double, val memoryGb: Double) {
    operator fun plus(other: Resources) = Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb)

    operator fun minus(other: Resources) = Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb)

    operator fun times(count: Int) = Resources(cpus * count, gpus * count, memoryGb * count)

    /** Whether these resources fit into [free]; [ROUNDING] absorbs the rounding errors of decimal amounts. */
    fun fitsIn(free: Resources) = cpus <= free.cpus + ROUNDING && gpus <= free.gpus + ROUNDING && memoryGb <= free.memoryGb + ROUNDING

    /** How many times these resources fit into [free]. */
    fun countIn(free: Resources): Int = minOf(count(free.cpus, cpus), count(free.gpus, gpus), count(free.memoryGb, memoryGb))

    private fun count(free: Double, need: Double): Int =
        if (need > 0) ((free + ROUNDING) / need).toInt().coerceAtLeast(0) else Int.MAX_VALUE

    companion object {
        /** Two amounts that differ by no more count as equal. */
        internal const val ROUNDING = 1e-6

        /** No resources. */
        val NONE = Resources(0.0, 0.0, 0.0)
    }
}

/** A team with its guaranteed quota and its limit. A limit of 0 means that the resource is not limited. */
data class Team(val name: String, val guarantee: Resources, val limit: Resources) {
    /** Whether [usage] is within the guarantee. A guarantee of 0 does not restrict, but CPUs or GPUs must have one. */
    fun withinGuarantee(usage: Resources): Boolean =
        (guarantee.cpus <= 0 || usage.cpus <= guarantee.cpus + Resources.ROUNDING) &&
            (guarantee.gpus <= 0 || usage.gpus <= guarantee.gpus + Resources.ROUNDING) &&
            (guarantee.cpus > 0 || guarantee.gpus > 0)

    /** Whether [usage] is within the limit. */
    fun withinLimit(usage: Resources): Boolean =
        (limit.cpus <= 0 || usage.cpus <= limit.cpus + Resources.ROUNDING) &&
            (limit.gpus <= 0 || usage.gpus <= limit.gpus + Resources.ROUNDING)
}

/** A type of machine that the cloud rents out. [zones] are dense indices; both prices are for the same period. */
data class MachineType(
    val name: String,
    val size: Resources,
    val cacheGb: Double,
    val fetchGbPerS: Double,
    val price: Double,
    val spotPrice: Double,
    val bootS: Double,
    val zones: List<Int>,
) {
    /** The price of a spot instance or of a regular one. */
    fun price(spot: Boolean) = if (spot) spotPrice else price
}

/** The configuration of the cluster, with names mapped to dense indices. */
class Cluster(
    val zones: NameTable,
    val teams: List<Team>,
    val leaseMs: Long,
    val heartbeatIntervalMs: Long,
    val cancelMs: Long,
    /** The maximum size of a page of the placement journal, in bytes. */
    val pageBytes: Int = 3_600,
    /** The minimum time between two writes of the placement journal, in milliseconds. */
    val pageWriteIntervalMs: Long = 100,
    /** The maximum number of command messages in flight. */
    val maxCommandsInFlight: Int = 128,
    /** The service-level objective of each job class: the time in seconds within which its tasks start. */
    val startWithinS: Map<String, Double> = emptyMap(),
) {
    /** The machine types, by their dense index in [typeNames]. */
    val types = LinkedHashMap<Int, MachineType>()
    val typeNames = NameTable()
    val images = NameTable()
    val classes = NameTable()
    private val teamIndex = NameTable().also { names -> teams.forEach { names.index(it.name) } }

    /** The index of the team [name], or [NameTable.ABSENT]. */
    fun team(name: String): Int = teamIndex.find(name)

    companion object {
        /** Zones and machine types are bits of 64-bit masks, in which a 65th would alias the first. */
        const val MAX_ZONES = 64
        const val MAX_TYPES = 64
    }
}
