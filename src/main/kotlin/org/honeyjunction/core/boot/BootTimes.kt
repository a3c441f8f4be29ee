package org.honeyjunction.core.boot

import org.HdrHistogram.Histogram
import kotlin.math.roundToLong

/** A kind of instance: the dense indices of its type and zone, and whether it is a spot instance. */
data class InstanceKind(val type: Int, val zone: Int, val spot: Boolean)

/**
 * The boot times of one instance kind, as checkpointed for the next leader: the number of observations, and their median and 95th
 * percentile in milliseconds.
 */
data class BootTimeCheckpoint(val type: String, val zone: String, val spot: Boolean, val count: Int, val medianMs: Long, val lateMs: Long)

/** How the boot of a machine is going, compared with others of its kind. */
enum class BootProgress {
    /** The boot is within the usual time: the planner counts the machine's capacity. */
    EXPECTED,

    /**
     * The boot takes longer than nearly all others of its kind: the planner does not count the machine's capacity, so that another
     * instance may be rented instead. If the machine comes up after all, it is used.
     */
    LATE,

    /**
     * The machine will probably never come up: several instances that were rented later are up, or the boot exceeds the late
     * threshold many times over. The machine is to be released, since the cloud charges for it until then.
     */
    ABANDONED,
}

/**
 * Decides whether the boot of a machine is on time, late or to be abandoned, by the observed boot times of its instance kind.
 *
 * A late machine is abandoned when at least [MIN_OVERTAKING_BOOTS] machines rented after it have come up, or by age alone only far
 * beyond the usual boot times. A lower limit on the age would leave the cluster without machines in a period in which all boots take
 * four times as long, because a machine that never comes up or is abandoned too early adds no observation.
 *
 * Each instance kind has two histograms of boot times, one for the present time window and one for the previous window, so that a
 * period of slow boots is forgotten. While there are few observations, the nominal boot time of the type counts too.
 *
 * Times are monotonic milliseconds.
 */
class BootTimes(private val windowMs: Long = 600_000) {
    private class Observations {
        private var present = histogram()
        private var previous = histogram()
        private var windowStartedAt = Long.MIN_VALUE
        val count get() = present.totalCount + previous.totalCount

        /** The quantile at [LATE_PERCENTILE]; null if boot times were recorded since it was computed. */
        private var late: Long? = null

        /** The boot time in milliseconds at [percentile] of both windows. */
        fun quantile(percentile: Double): Long =
            present
                .copy()
                .also { it.add(previous) }
                .getValueAtPercentile(percentile)

        /** The boot time in milliseconds at [LATE_PERCENTILE]. It is needed for each booting machine, and seldom changes. */
        fun late(): Long = late ?: quantile(LATE_PERCENTILE).also { late = it }

        /** Records [count] boots of [bootMs] milliseconds. */
        fun record(bootMs: Long, count: Long = 1) {
            present.recordValueWithCount(bootMs.coerceIn(1, MAX_BOOT_MS), count)
            late = null
        }

        /** Starts the next window if the present window, of [windowMs], is over. */
        fun rotate(now: Long, windowMs: Long) {
            if (windowStartedAt == Long.MIN_VALUE) windowStartedAt = now
            if (now - windowStartedAt < windowMs) return
            previous = present
            present = histogram()
            windowStartedAt = now
            late = null
        }

        /** The rental times of the latest [MAX_RECENT_RENTAL_TIMES] machines that came up, in the order in which they came up. */
        val recentRentalTimes = ArrayDeque<Long>()
    }

    private val observationsOf = HashMap<InstanceKind, Observations>()

    /** Records that a machine of [kind], rented at [rentedAt], sent its first message at [now]. */
    fun recordBoot(kind: InstanceKind, rentedAt: Long, now: Long) {
        val observed = observationsOf.getOrPut(kind, ::Observations)
        observed.rotate(now, windowMs)
        observed.record(now - rentedAt)
        observed.recentRentalTimes.addLast(rentedAt)
        if (observed.recentRentalTimes.size > MAX_RECENT_RENTAL_TIMES) observed.recentRentalTimes.removeFirst()
    }

    /**
     * Assesses the boot of a machine of [kind] that was rented at [rentedAt]. [nominalMs] is the nominal boot time of its type, and
     * [listLagMs] the delay with which the cloud lists machines.
     */
    fun assess(kind: InstanceKind, rentedAt: Long, nominalMs: Long, listLagMs: Long, now: Long): BootProgress {
        val ageMs = now - rentedAt
        val lateThresholdMs = lateThresholdMs(kind, nominalMs)
        val otherRentalTimes = observationsOf[kind]?.recentRentalTimes
        val overtakingBoots = otherRentalTimes?.count { it > rentedAt + SAME_REQUEST_MS } ?: 0
        // While no machine rented together with this one or later is up, the cloud is slow: a replacement would come up no sooner.
        val cloudSlow = otherRentalTimes?.none { it >= rentedAt - SAME_REQUEST_MS } ?: true
        val expectedMs = if (cloudSlow) lateThresholdMs * SLOW_CLOUD_FACTOR else lateThresholdMs
        val abandonMs = maxOf(lateThresholdMs, nominalMs) * ABANDON_FACTOR + listLagMs
        return when {
            ageMs <= expectedMs -> BootProgress.EXPECTED
            ageMs > lateThresholdMs + listLagMs && overtakingBoots >= MIN_OVERTAKING_BOOTS || ageMs > abandonMs -> BootProgress.ABANDONED
            else -> BootProgress.LATE
        }
    }

    /**
     * The age in milliseconds from which a boot is late: the 95th percentile of the observed boot times with a margin, but no less
     * than [nominalMs]. While there are few observations, the nominal time with a margin counts too, by a decreasing weight.
     */
    fun lateThresholdMs(kind: InstanceKind, nominalMs: Long): Long {
        val nominalLateMs = nominalMs * NOMINAL_LATE_FACTOR
        val observed = observationsOf[kind] ?: return nominalLateMs.roundToLong()
        val weight = minOf(1.0, observed.count.toDouble() / FULL_WEIGHT_OBSERVATIONS)
        val observedMs = observed.late() * OBSERVED_LATE_FACTOR
        // In a period of slow boots, the first machines that come up raise the threshold before the other machines exceed it.
        return maxOf(nominalLateMs * (1 - weight), observedMs).roundToLong().coerceAtLeast(nominalMs)
    }

    /** The checkpoint for the next leader: the kinds with most observations. [namesOf] gives the names of type and zone of a kind. */
    fun checkpoint(namesOf: (InstanceKind) -> Pair<String, String>): List<BootTimeCheckpoint> =
        observationsOf.entries
            .sortedByDescending { it.value.count }
            .take(MAX_CHECKPOINT_KINDS)
            .map { (kind, observed) ->
                val (type, zone) = namesOf(kind)
                BootTimeCheckpoint(
                    type,
                    zone,
                    kind.spot,
                    observed.count.coerceAtMost(FULL_WEIGHT_OBSERVATIONS.toLong()).toInt(),
                    medianMs = observed.quantile(MEDIAN_PERCENTILE),
                    lateMs = observed.late(),
                )
            }

    /** Restores the observations of an earlier leader, approximated by their median and 95th percentile. */
    fun restore(kind: InstanceKind, checkpoint: BootTimeCheckpoint, now: Long) {
        val observed = observationsOf.getOrPut(kind, ::Observations)
        observed.rotate(now, windowMs)
        val lateCount = maxOf(1, checkpoint.count / RESTORED_LATE_DIVISOR)
        val usualCount = (checkpoint.count - lateCount).coerceAtLeast(0)
        observed.record(checkpoint.medianMs, usualCount.toLong())
        observed.record(checkpoint.lateMs, lateCount.toLong())
    }

    companion object {
        /** The number of machines rented later that have to be up before a late machine is abandoned. */
        const val MIN_OVERTAKING_BOOTS = 3

        /** The longest boot time that a histogram records, an hour. */
        private const val MAX_BOOT_MS = 3_600_000L

        /** Two significant digits keep a histogram at some kilobytes. */
        private fun histogram() = Histogram(MAX_BOOT_MS, 2)

        private const val MEDIAN_PERCENTILE = 50.0
        private const val LATE_PERCENTILE = 95.0

        /** The margin on the 95th percentile of the observed boot times. */
        private const val OBSERVED_LATE_FACTOR = 1.25

        /** The margin on the nominal boot time: the protocol specifies boot times of usually up to 1.5 times the nominal one. */
        private const val NOMINAL_LATE_FACTOR = 1.8

        /** With this number of observations, the nominal boot time no longer counts. */
        private const val FULL_WEIGHT_OBSERVATIONS = 20

        /** A machine is abandoned by age alone at this multiple of the late threshold. */
        private const val ABANDON_FACTOR = 6

        /** While the cloud is slow, a boot is late only at this multiple of the late threshold. */
        private const val SLOW_CLOUD_FACTOR = 2

        /** The number of instance kinds in a checkpoint. */
        private const val MAX_CHECKPOINT_KINDS = 12

        /** The number of rental times kept for each instance kind. */
        private const val MAX_RECENT_RENTAL_TIMES = 64

        /** One in this many observations of a restored checkpoint is recorded at the 95th percentile, the others at the median. */
        private const val RESTORED_LATE_DIVISOR = 10

        /** Instances rented within this time of each other may belong to one request. */
        private const val SAME_REQUEST_MS = 1_000L
    }
}
