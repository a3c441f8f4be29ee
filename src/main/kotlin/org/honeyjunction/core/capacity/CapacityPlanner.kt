package org.honeyjunction.core.capacity

import org.honeyjunction.core.model.MachineType
import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.placement.TaskRow
import org.honeyjunction.core.rules.RuleTable

/**
 * Decides which instances to rent and which empty machines to keep, by first-fit bin packing: the highest priority first, the
 * cheapest offer first. Identical tasks are packed together, so that the cost of a plan grows with the number of jobs and machines,
 * not with the number of tasks.
 *
 * [refused] says whether instances of an offer cannot be rented at present.
 */
class CapacityPlanner(
    private val types: Map<Int, MachineType>,
    private val rules: ScaleOutPolicy? = null,
    private val refused: (Offer) -> Boolean,
) {
    /** The mutable state while a plan is computed. */
    private class Draft(bins: List<Bin>, machinesByZone: Map<Int, Int>) {
        /** Demands for which there is no free capacity. */
        val withoutFreeCapacity = ExhaustedDemands()

        /** Demands for which no capacity is freed in time. */
        val withoutUpcomingCapacity = ExhaustedDemands()
        val bins = ArrayList(bins)
        val machinesByZone = HashMap(machinesByZone)
        val instancesToRent = LinkedHashMap<Offer, Int>()
        val reservedForJob = HashMap<Int, Int>()
        val reservedForArrivals = HashSet<Int>()

        /** Machines planned for pending work of the lowest priority: reserving such a machine would keep this work waiting forever. */
        val usedByLowest = HashSet<Int>()

        /** For the gang being planned: the bins of its tasks, and in how many seconds each task ends. */
        private val freedAfterGang = ArrayList<Pair<Bin, Double>>()

        /**
         * Takes capacity for a task of [demand]. After the task ends, other tasks may use its capacity, except tasks of its own gang:
         * the tasks of a gang run at the same time. A gang task planned on capacity that another task of the same gang frees would
         * never start, and no instance would be rented for it.
         */
        fun take(bin: Bin, demand: TaskDemand, runS: Double?, fromS: Double = 0.0) {
            val gang = demand.sample.gangSize > 0
            bin.take(demand.sample, runS.takeUnless { gang }, fromS)
            if (gang && runS != null) freedAfterGang += bin to fromS + runS
        }

        /** Ends the planning of [demand]: the capacity that its gang tasks will free becomes available to later demands. */
        fun complete(demand: TaskDemand) {
            freedAfterGang.forEach { (bin, atS) -> bin.addUpcoming(demand.sample.need, atS) }
            freedAfterGang.clear()
        }

        /** The finished plan; [unmet] are samples of the demands without capacity. */
        fun plan(unmet: List<TaskRow>): CapacityPlan {
            val machinesToKeep = bins.filter { it.needed && it.machine >= 0 }.mapTo(HashSet()) { it.machine }
            return CapacityPlan(instancesToRent, machinesToKeep, unmet, reservedForJob, reservedForArrivals)
        }
    }

    /**
     * Plans the capacity for the [waiting] and the [expected] tasks on [bins], which it changes. [machinesByZone] counts the present
     * machines of each zone, for balancing.
     */
    fun plan(waiting: List<TaskDemand>, expected: List<ExpectedDemand>, bins: List<Bin>, machinesByZone: Map<Int, Int>): CapacityPlan {
        val draft = Draft(bins, machinesByZone)
        val unmet = ArrayList<TaskRow>()
        // Within a priority, gangs go first: they need whole machines, which other tasks would fragment.
        val order = compareByDescending<TaskDemand> { it.sample.priority }.thenByDescending { it.sample.gangSize > 0 }
        for (demand in waiting.sortedWith(order)) {
            val zone = if (demand.sample.oneZone) bestZone(demand, draft) else null
            val notFree = useFree(demand, zone, draft)
            val notInTime = useUpcoming(demand, notFree, zone, draft)
            if (rent(demand, notInTime, zone, draft) > 0) unmet += demand.sample
            draft.complete(demand)
        }
        for (arrival in expected) {
            val notFree = useFree(arrival.demand, null, draft, reserve = arrival.scaleOutTooSlow)
            if (arrival.hasStartObjective) rent(arrival.demand, notFree, null, draft)
            draft.complete(arrival.demand)
        }
        return draft.plan(unmet)
    }

    /** The zone for a job bound to one zone: where most of its tasks fit; among equals, where instances can be rented for the rest. */
    private fun bestZone(demand: TaskDemand, draft: Draft): Int? {
        val sample = demand.sample
        val fitsIn = HashMap<Int, Int>()
        for (bin in draft.bins) {
            if (!allows(sample, bin.offer, null)) continue
            val fits = sample.need.countIn(bin.free).coerceIn(0, demand.count)
            if (fits > 0) fitsIn.merge(bin.offer.zone, fits, Int::plus)
        }
        return types.values
            .flatMap { it.zones }
            .distinct()
            .filter { (sample.zones shr it) and 1L != 0L }
            .maxWithOrNull(
                compareBy<Int> { fitsIn.getOrDefault(it, 0).coerceAtMost(demand.count) }
                    .thenBy { zone -> if (offers(sample, zone).any()) 1 else 0 }
                    .thenByDescending { draft.machinesByZone.getOrDefault(it, 0) },
            )
    }

    /**
     * Places tasks on free capacity, on partly used machines first, so that empty machines can be released. If [reserve], reserves the
     * machines used, except those planned for work of the lowest priority. Returns the number of tasks left.
     */
    private fun useFree(demand: TaskDemand, zone: Int?, draft: Draft, reserve: Boolean = false): Int {
        val sample = demand.sample
        if (demand.count <= 0 || draft.withoutFreeCapacity.covers(sample, zone)) return demand.count
        var left = demand.count
        val order =
            compareBy<Bin> { it.empty && !it.needed }
                .thenBy { sample.spot != it.offer.spot }
                .thenBy { it.free.gpus }
        val candidates =
            draft.bins
                .filter { allows(sample, it.offer, zone) && sample.need.fitsIn(it.free) && it.permits(sample, rules) }
                .sortedWith(order)
        for (bin in candidates) {
            if (left == 0) break
            val here = minOf(left, sample.need.countIn(bin.free))
            noteUse(bin, sample, draft, reserve)
            left -= take(bin, demand, here, draft)
        }
        if (left > 0) draft.withoutFreeCapacity.record(sample, zone)
        return left
    }

    private fun noteUse(bin: Bin, sample: TaskRow, draft: Draft, reserve: Boolean) {
        val unusedMachine = bin.empty && !bin.needed && bin.machine >= 0
        if (unusedMachine && sample.gangSize > 0) draft.reservedForJob[bin.machine] = sample.job
        if (!reserve && sample.priority == Priority.LOW) draft.usedByLowest += bin.machine
        if (reserve && bin.machine >= 0 && bin.machine !in draft.usedByLowest) draft.reservedForArrivals += bin.machine
    }

    /**
     * Places [count] tasks on capacity that is freed before an instance rented now could have booted and fetched the image. Within
     * that time, several short tasks may use the same capacity one after the other. Returns the number of tasks left.
     */
    private fun useUpcoming(demand: TaskDemand, count: Int, zone: Int?, draft: Draft): Int {
        if (count <= 0 || types.isEmpty()) return count
        val sample = demand.sample
        var left = count
        val longestS = types.values.maxOf { readyS(it, sample) }
        if (draft.withoutUpcomingCapacity.covers(sample, zone, longestS)) return count
        for (bin in draft.bins) {
            if (left <= 0) break
            val type = types[bin.offer.type] ?: continue
            if (!allows(sample, bin.offer, zone) || !bin.permits(sample, rules)) continue
            val withinS = readyS(type, sample)
            while (left > 0 && bin.permits(sample, rules)) {
                val atS = bin.freeFor(sample.need, withinS) ?: break
                draft.take(bin, demand, demand.runS?.coerceAtLeast(MIN_RUN_S), atS)
                left--
            }
        }
        if (left > 0) draft.withoutUpcomingCapacity.record(sample, zone, longestS)
        return left
    }

    /** The seconds that a new instance of [type] takes to boot and to fetch the image of [sample]. */
    private fun readyS(type: MachineType, sample: TaskRow): Double = type.bootS + sample.imageGb / type.fetchGbPerS

    /** Plans to rent instances for [count] tasks. Returns the number of tasks for which there is no offer. */
    private fun rent(demand: TaskDemand, count: Int, zone: Int?, draft: Draft): Int {
        val sample = demand.sample
        var left = count
        while (left > 0) {
            val offer = offers(sample, zone).minWithOrNull(cheapestFirst(sample, draft)) ?: return left
            val bin = addInstance(offer, draft)
            val here = take(bin, demand, minOf(left, capacityOf(offer, sample)), draft)
            if (here == 0) return left
            left -= here
        }
        return 0
    }

    /**
     * Orders offers by the price per task. Among equals, prefers an offer that this plan already rents, since few large requests
     * exceed the cloud's request rate limit less easily than many small ones. Demands that must be spread over zones instead prefer
     * the zone with the fewest machines.
     */
    private fun cheapestFirst(sample: TaskRow, draft: Draft): Comparator<Offer> =
        compareBy<Offer> { types.getValue(it.type).price(it.spot) / capacityOf(it, sample) }
            .thenByDescending { if (sample.remainingPerZone == null) growingRequest(it, draft) else 0 }
            .thenBy { draft.machinesByZone.getOrDefault(it.zone, 0) }

    /** The number of instances of [offer] to rent in this plan, or 0 if that number has reached [LARGE_REQUEST]. */
    private fun growingRequest(offer: Offer, draft: Draft): Int {
        val count = draft.instancesToRent.getOrDefault(offer, 0)
        return if (count < LARGE_REQUEST) count else 0
    }

    private fun addInstance(offer: Offer, draft: Draft): Bin {
        draft.instancesToRent.merge(offer, 1, Int::plus)
        draft.machinesByZone.merge(offer.zone, 1, Int::plus)
        val scene = rules?.emptyInstance?.invoke(offer) ?: RuleTable.MachineContext.EMPTY
        val bin = Bin(Bin.NOT_A_MACHINE, offer, types.getValue(offer.type).size, true, scene = scene)
        draft.bins += bin
        draft.withoutFreeCapacity.clear()
        draft.withoutUpcomingCapacity.clear()
        return bin
    }

    /** Takes capacity for up to [maxCount] tasks, as long as rules permit one more on [bin]. Returns the number of tasks placed. */
    private fun take(bin: Bin, demand: TaskDemand, maxCount: Int, draft: Draft): Int {
        var taken = 0
        while (taken < maxCount && bin.permits(demand.sample, rules)) {
            draft.take(bin, demand, demand.runS)
            taken++
        }
        return taken
    }

    /** The offers that may be rented for a task like [sample], in [zone] only unless it is null. */
    private fun offers(sample: TaskRow, zone: Int?): Sequence<Offer> =
        types.entries
            .asSequence()
            .flatMap { (index, type) ->
                type.zones.asSequence().flatMap { sequenceOf(Offer(index, it, spot = true), Offer(index, it, spot = false)) }
            }.filter { offer ->
                allows(sample, offer, zone) &&
                    sample.need.fitsIn(types.getValue(offer.type).size) &&
                    !refused(offer) &&
                    (rules == null || rules.mayRent(sample.shape, offer))
            }

    /** The number of tasks like [sample] that fit on an instance of [offer]. */
    private fun capacityOf(offer: Offer, sample: TaskRow) =
        sample.need.countIn(types.getValue(offer.type).size).coerceIn(1, MAX_TASKS_PER_INSTANCE)

    private fun allows(sample: TaskRow, offer: Offer, zone: Int?) =
        (sample.zones shr offer.zone) and 1L != 0L &&
            (sample.types shr offer.type) and 1L != 0L &&
            (sample.spot || !offer.spot) &&
            (zone == null || zone == offer.zone)

    private companion object {
        /** The shortest run time assumed: with estimates close to zero, any number of tasks would share the capacity of one. */
        const val MIN_RUN_S = 5.0

        /** From this number of instances on, a request is not enlarged in order to save requests. */
        const val LARGE_REQUEST = 40

        /** A bound for tasks that need hardly any resources. */
        const val MAX_TASKS_PER_INSTANCE = 1000
    }
}
