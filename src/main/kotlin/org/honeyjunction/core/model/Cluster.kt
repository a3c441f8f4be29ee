package org.honeyjunction.core.model

/** Resources that a task needs, or that a machine has free. */
data class Resources(val cpus: Double, val gpus: Double, val memoryGb: Double) {
    operator fun plus(other: Resources) = Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb)

    operator fun minus(other: Resources) = Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb)

    operator fun times(count: Int) = Resources(cpus * count, gpus * count, memoryGb * count)

    /** Whether this fits into [free]; [ROUNDING] absorbs the rounding of decimal amounts. */
    fun fitsIn(free: Resources) = cpus <= free.cpus + ROUNDING && gpus <= free.gpus + ROUNDING && memoryGb <= free.memoryGb + ROUNDING

    /** How many of these fit into [free]. */
    fun countIn(free: Resources): Int = minOf(count(free.cpus, cpus), count(free.gpus, gpus), count(free.memoryGb, memoryGb))

    private fun count(free: Double, need: Double): Int =
        if (need > 0) ((free + ROUNDING) / need).toInt().coerceAtLeast(0) else Int.MAX_VALUE

    companion object {
        internal const val ROUNDING = 1e-6
        val NONE = Resources(0.0, 0.0, 0.0)
    }
}

/** A team with its guaranteed quota and its limit; a limit of 0 means that there is none for that resource. */
data class Team(val name: String, val guarantee: Resources, val limit: Resources) {
    /** Whether [usage] keeps within the guarantee; a guarantee of 0 does not restrict, but one of both is needed. */
    fun withinGuarantee(usage: Resources): Boolean =
        (guarantee.cpus <= 0 || usage.cpus <= guarantee.cpus + Resources.ROUNDING) &&
            (guarantee.gpus <= 0 || usage.gpus <= guarantee.gpus + Resources.ROUNDING) &&
            (guarantee.cpus > 0 || guarantee.gpus > 0)

    /** Whether [usage] keeps within the limit. */
    fun withinLimit(usage: Resources): Boolean =
        (limit.cpus <= 0 || usage.cpus <= limit.cpus + Resources.ROUNDING) && (limit.gpus <= 0 || usage.gpus <= limit.gpus + Resources.ROUNDING)
}

/** A type of machine that the cloud rents; [zones] by their dense indices, prices for the same period. */
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
    fun price(spot: Boolean) = if (spot) spotPrice else price
}

/** The cluster's configuration, with names already mapped to dense indices. */
class Cluster(
    val zones: NameTable,
    val teams: List<Team>,
    val leaseMs: Long,
    val heartbeatIntervalMs: Long,
    val cancelMs: Long,
    /** Bytes that a page of the placement journal may have, and the least time between two of its writes. */
    val pageBytes: Int = 3_600,
    val pageWriteIntervalMs: Long = 100,
    /** How many command messages may be in flight at once. */
    val maxCommandsInFlight: Int = 128,
    /** The service-level objective of a job class: its tasks start within so many seconds. */
    val startWithinS: Map<String, Double> = emptyMap(),
) {
    val types = LinkedHashMap<Int, MachineType>()
    val typeNames = NameTable()
    val images = NameTable()
    val classes = NameTable()
    private val teamIndex = NameTable().also { names -> teams.forEach { names.index(it.name) } }

    /** The index of the team, or [NameTable.ABSENT]. */
    fun team(name: String): Int = teamIndex.find(name)

    companion object {
        /** Zones and machine types are bits of a 64-bit mask, in which the 65th would alias the first. */
        const val MAX_ZONES = 64
        const val MAX_TYPES = 64
    }
}
