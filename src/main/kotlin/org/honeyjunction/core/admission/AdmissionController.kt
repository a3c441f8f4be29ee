package org.honeyjunction.core.admission

/**
 * Admission control for new jobs at one node. While the write queue is short, every job is admitted and takes a token if one is
 * available. While the queue is long, only jobs with a token of the leader's quota plan are admitted. While the queue delay exceeds
 * the time that users wait, only urgent jobs with a token are admitted. A rejection is sent immediately and tells the user when to
 * retry. A node without a valid plan divides its own write capacity by the same weights. Times are steady milliseconds.
 *
 * [weights] are the teams' weights as computed by [QuotaAllocator.weights].
 */
class AdmissionController(private val weights: Map<String, Double>, now: Long) {
    /** Whether all jobs are admitted, only jobs with a token, or only urgent jobs with a token. */
    enum class State { OPEN, THROTTLED, CLOSED }

    /** The result of [decide] for one submitted job. */
    sealed interface Decision {
        /** [withinQuota]: the job took a token, and is written before jobs that were admitted only because the queue was short. */
        data class Admitted(val withinQuota: Boolean) : Decision

        /** The user may retry after [retryAfterS] seconds. */
        data class Rejected(val retryAfterS: Int, val reason: String) : Decision
    }

    /**
     * The load of this node's write queue: [queueDelayS] is the delay of the whole queue, [quotaQueueDelayS] the delay of the writes
     * that precede jobs without a token, and [ownCapacityPerS] the number of jobs a second that the node can record by itself.
     */
    class WriteLoad(val queueDelayS: Double, val quotaQueueDelayS: Double, val ownCapacityPerS: Double)

    /** The rates at which the node admits jobs while it has no valid plan. */
    private class FallbackRates(val jobsPerS: Map<TrafficClass, Double>, val computedAt: Long)

    /** Measures the demand that the node reports to the leader. */
    val demandMeter = DemandMeter()
    private val buckets = LinkedHashMap<TrafficClass, TokenBucket>()
    private var plan: QuotaPlan? = null
    private var planValidUntil = now
    private var planRequestedAt = Long.MIN_VALUE
    private var fallback = FallbackRates(emptyMap(), now - FALLBACK_INTERVAL_MS)
    private var state = State.OPEN
    private var rejected = 0
    private var admitted = 0

    /** The epoch of the latest plan, valid or expired. */
    val epoch: PlanEpoch get() = plan?.epoch ?: PlanEpoch.NONE

    /** The total rate that the valid plan grants, in jobs a second; 0 without a valid plan. */
    fun grantedPerS(now: Long): Double = validPlan(now)?.let { it.totalPerS - it.defaultPerS } ?: 0.0

    private fun validPlan(now: Long): QuotaPlan? = plan?.takeIf { now < planValidUntil }

    /** Notes that a plan is requested from the leader now; responses to earlier requests are ignored. Returns the time of the request. */
    fun beginPlanRequest(now: Long): Long = now.also { planRequestedAt = it }

    /**
     * Installs [newPlan] from the response to the request of [requestedAt]. The validity is counted from the request, which is no later
     * than the moment from which the leader counts. Returns false and changes nothing if [newPlan] is no newer than the current plan or
     * answers an earlier request.
     */
    fun installPlan(newPlan: QuotaPlan, requestedAt: Long, now: Long): Boolean {
        if (newPlan.epoch <= epoch || requestedAt != planRequestedAt) return false
        // Tokens accrued at the old rates are kept, up to the new bucket capacity.
        buckets.forEach { (trafficClass, bucket) -> refill(trafficClass, bucket, now) }
        plan = newPlan
        planValidUntil = requestedAt + newPlan.validForMs
        return true
    }

    /** Decides whether to admit a job of [trafficClass] submitted now; [retrySalt] spreads the retries of rejected jobs over time. */
    fun decide(trafficClass: TrafficClass, urgent: Boolean, load: WriteLoad, retrySalt: Int, now: Long): Decision {
        demandMeter.record(trafficClass, urgent, now)
        state = nextState(load)
        refreshFallback(load.ownCapacityPerS, now)
        val classBucket = refilledBucket(trafficClass, now)
        val poolBucket = refilledBucket(TrafficClass.teamPool(trafficClass.team), now)
        val bucket = if (classBucket.hasToken) classBucket else poolBucket
        val backlogged = trafficClass.team in validPlan(now)?.backloggedTeams.orEmpty()
        if (admits(bucket.hasToken, urgent, backlogged, load)) {
            admitted++
            val withinQuota = bucket.hasToken
            if (withinQuota) bucket.take()
            return Decision.Admitted(withinQuota)
        }
        rejected++
        val retryAfterS = retryAfterS(trafficClass, classBucket.recordRejection(now), retrySalt, now)
        return Decision.Rejected(retryAfterS, if (backlogged) TEAM_BACKLOGGED else OVER_CAPACITY)
    }

    private fun admits(hasToken: Boolean, urgent: Boolean, backlogged: Boolean, load: WriteLoad): Boolean =
        when (state) {
            State.OPEN -> !backlogged
            State.THROTTLED -> hasToken && !backlogged
            State.CLOSED -> hasToken && urgent && load.quotaQueueDelayS < CLOSE_S * 2
        }

    /** The next [state]. Transitions have hysteresis: a state is left at a lower load than the load at which it is entered. */
    private fun nextState(load: WriteLoad): State {
        val closeAtS = if (state == State.CLOSED) CLOSE_S * HYSTERESIS else CLOSE_S
        val congested =
            if (state == State.OPEN) load.queueDelayS >= THROTTLE_S else !(load.queueDelayS < THROTTLE_S * HYSTERESIS)
        return when {
            load.quotaQueueDelayS >= closeAtS -> State.CLOSED
            congested -> State.THROTTLED
            else -> State.OPEN
        }
    }

    /** Without a valid plan, computes max-min fair rates from this node's own write capacity and the demand of its users. */
    private fun refreshFallback(ownCapacityPerS: Double, now: Long) {
        if (now < planValidUntil || now - fallback.computedAt < FALLBACK_INTERVAL_MS) return
        val allocator = QuotaAllocator(weights, nodes = 1, term = 0, startedAt = now - QuotaAllocator.PLAN_VALIDITY_MS)
        allocator.reportDemand(THIS_NODE, demandMeter.demand(now), PlanEpoch.NONE, 0.0, now)
        fallback = FallbackRates(allocator.fairRates(ownCapacityPerS, now), now)
    }

    private fun refilledBucket(trafficClass: TrafficClass, now: Long): TokenBucket {
        val bucket =
            buckets.getOrPut(trafficClass) {
                if (buckets.size >= MAX_BUCKETS) buckets.remove(buckets.minBy { it.value.refilledAt }.key)
                TokenBucket(1.0, now)
            }
        refill(trafficClass, bucket, now)
        return bucket
    }

    private fun refill(trafficClass: TrafficClass, bucket: TokenBucket, now: Long) {
        val ratePerS = ratePerS(trafficClass, now)
        bucket.refill(ratePerS, maxOf(MIN_BURST, ratePerS * BURST_S), now)
    }

    private fun ratePerS(trafficClass: TrafficClass, now: Long): Double {
        val plan = validPlan(now) ?: return fallback.jobsPerS[trafficClass] ?: MIN_PER_S
        return (plan.grants[trafficClass] ?: 0.0) + plan.defaultPerS / maxOf(1, buckets.size)
    }

    /**
     * Spreads the retries of [rejections] recent jobs over the time needed to admit all of them at the current rate, so that few are
     * rejected again and no capacity stays unused.
     */
    private fun retryAfterS(trafficClass: TrafficClass, rejections: Double, salt: Int, now: Long): Int {
        val ratePerS = ratePerS(trafficClass, now) + ratePerS(TrafficClass.teamPool(trafficClass.team), now)
        val drainS = (rejections / ratePerS.coerceAtLeast(MIN_PER_S)).coerceAtMost(MAX_RETRY_S)
        return 1 + (drainS * Math.floorMod(salt, SALTS) / SALTS).toInt()
    }

    /** The state, and the numbers of decisions since the last call, for the statistics in the log. */
    fun statistics(): String =
        "admission ${state.name.lowercase()}, quota plan ${epoch.term}.${epoch.number}, $admitted admitted, $rejected rejected".also {
            admitted = 0
            rejected = 0
        }

    companion object {
        /** The queue delay, in seconds, from which only jobs with a token are admitted. Users regard responses after a second as late. */
        const val THROTTLE_S = 0.7

        /** The delay of the writes within the quota, in seconds, from which a response would come too late. */
        const val CLOSE_S = 2.0

        /** The fraction of a threshold below which the load must fall before the state is left. */
        private const val HYSTERESIS = 0.7
        private const val FALLBACK_INTERVAL_MS = 500L

        /** The capacity of a token bucket, in seconds of its rate. */
        private const val BURST_S = 2.0
        private const val MIN_BURST = 2.0
        private const val MIN_PER_S = 0.05
        private const val MAX_BUCKETS = 2 * DemandMeter.MAX_CLASSES

        /** Users give up after retrying for a minute, so a job with a longer retry time would be lost. */
        private const val MAX_RETRY_S = 20.0
        private const val SALTS = 1_000
        private const val THIS_NODE = "here"
        private const val TEAM_BACKLOGGED = "the team has too many tasks waiting"
        private const val OVER_CAPACITY = "more jobs come than can be recorded, and the team has had its part"
    }
}
