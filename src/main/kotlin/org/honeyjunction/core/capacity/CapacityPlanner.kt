package org.honeyjunction.core.capacity

import org.honeyjunction.core.model.MachineType
import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.placement.TaskRow
import org.honeyjunction.core.rules.RuleTable

/**
 * Decides what to rent and which empty machines to keep, by bin packing: first fit, the highest priority first, the cheapest offer
 * first. Tasks that are alike are packed together, so that the cost of a plan grows with the jobs and machines, not with the tasks.
 *
 * [refused]: the cloud does not offer it now.
 */
class CapacityPlanner(
    private val types: Map<Int, MachineType>,
    private val rules: ScaleOutPolicy? = null,
    private val refused: (Offer) -> Boolean,
) {
    /** A plan in the making. */
    private class Draft(bins: List<Bin>, machinesByZone: Map<Int, Int>) {
        /** Demands for which there is no free capacity, and those for which none gets free in time. */
        val noneFree = ExhaustedDemands()
        val noneInTime = ExhaustedDemands()
        val bins = ArrayList(bins)
        val machinesByZone = HashMap(machinesByZone)
        val rent = LinkedHashMap<Offer, Int>()
        val held = HashMap<Int, Int>()
        val reserved = HashSet<Int>()

        /** Machines that this plan uses for pending work of the lowest priority: a reservation would keep it from there for ever. */
        val usedByLowest = HashSet<Int>()
        private val freedAfterGang = ArrayList<Pair<Bin, Double>>()

        /**
         * Takes capacity for a task of [wanted]. When the task has run, others may use it, but not the rest of its own gang: the
         * tasks of a gang run at the same time. One that counted on what another of them frees would never start, and nothing
         * would be rented for it.
         */
        fun take(bin: Bin, wanted: Wanted, runS: Double?, fromS: Double = 0.0) {
            val gang = wanted.sample.gangSize > 0
            bin.take(wanted.sample, runS.takeUnless { gang }, fromS)
            if (gang && runS != null) freedAfterGang += bin to fromS + runS
        }

        /** [wanted] has got all that it gets. */
        fun complete(wanted: Wanted) {
            freedAfterGang.forEach { (bin, atS) -> bin.leaves(wanted.sample.need, atS) }
            freedAfterGang.clear()
        }

        fun plan(unmet: List<TaskRow>): CapacityPlan {
            val keep = bins.filter { it.needed && it.machine >= 0 }.mapTo(HashSet()) { it.machine }
            return CapacityPlan(rent, keep, unmet, held, reserved)
        }
    }

    fun plan(waiting: List<Wanted>, expected: List<Expected>, bins: List<Bin>, machinesByZone: Map<Int, Int>): CapacityPlan {
        val draft = Draft(bins, machinesByZone)
        val unmet = ArrayList<TaskRow>()
        // Within a priority, gangs go first, since they need machines as a whole: other tasks would fragment them.
        val order = compareByDescending<Wanted> { it.sample.priority }.thenByDescending { it.sample.gangSize > 0 }
        for (wanted in waiting.sortedWith(order)) {
            val zone = if (wanted.sample.oneZone) bestZone(wanted, draft) else null
            val notFree = useFree(wanted, zone, draft)
            val notInTime = useUpcoming(wanted, notFree, zone, draft)
            if (rent(wanted, notInTime, zone, draft) > 0) unmet += wanted.sample
            draft.complete(wanted)
        }
        for (arrival in expected) {
            val notFree = useFree(arrival.wanted, null, draft, reserve = arrival.scaleOutTooSlow)
            if (arrival.atOnce) rent(arrival.wanted, notFree, null, draft)
            draft.complete(arrival.wanted)
        }
        return draft.plan(unmet)
    }

    /** For a job bound to one zone: the zone with free capacity for most of it; among equals, one where the rest can be rented. */
    private fun bestZone(wanted: Wanted, draft: Draft): Int? {
        val sample = wanted.sample
        val fitsIn = HashMap<Int, Int>()
        for (bin in draft.bins) {
            if (!allows(sample, bin.offer, null)) continue
            val fits = sample.need.countIn(bin.free).coerceIn(0, wanted.count)
            if (fits > 0) fitsIn.merge(bin.offer.zone, fits, Int::plus)
        }
        return types.values
            .flatMap { it.zones }
            .distinct()
            .filter { (sample.zones shr it) and 1L != 0L }
            .maxWithOrNull(
                compareBy<Int> { fitsIn.getOrDefault(it, 0).coerceAtMost(wanted.count) }
                    .thenBy { zone -> if (offers(sample, zone).any()) 1 else 0 }
                    .thenByDescending { draft.machinesByZone.getOrDefault(it, 0) },
            )
    }

    /** Uses free capacity, of partly used machines first, so that the empty ones can be returned. Returns how many tasks are left. */
    private fun useFree(wanted: Wanted, zone: Int?, draft: Draft, reserve: Boolean = false): Int {
        val sample = wanted.sample
        if (wanted.count <= 0 || draft.noneFree.covers(sample, zone)) return wanted.count
        var left = wanted.count
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
            left -= take(bin, wanted, here, draft)
        }
        if (left > 0) draft.noneFree.note(sample, zone)
        return left
    }

    private fun noteUse(bin: Bin, sample: TaskRow, draft: Draft, reserve: Boolean) {
        val unusedMachine = bin.empty && !bin.needed && bin.machine >= 0
        if (unusedMachine && sample.gangSize > 0) draft.held[bin.machine] = sample.job
        if (!reserve && sample.priority == Priority.LOW) draft.usedByLowest += bin.machine
        if (reserve && bin.machine >= 0 && bin.machine !in draft.usedByLowest) draft.reserved += bin.machine
    }

    /**
     * Uses capacity that gets free before an instance rented now could have booted and fetched the image, since renting would be
     * later. Within that time several short tasks may use the same capacity one after the other. Returns how many tasks are left.
     */
    private fun useUpcoming(wanted: Wanted, count: Int, zone: Int?, draft: Draft): Int {
        if (count <= 0 || types.isEmpty()) return count
        val sample = wanted.sample
        var left = count
        val longestS = types.values.maxOf { readyS(it, sample) }
        if (draft.noneInTime.covers(sample, zone, longestS)) return count
        for (bin in draft.bins) {
            if (left <= 0) break
            val type = types[bin.offer.type] ?: continue
            if (!allows(sample, bin.offer, zone) || !bin.permits(sample, rules)) continue
            val withinS = readyS(type, sample)
            while (left > 0 && bin.permits(sample, rules)) {
                val atS = bin.freeFor(sample.need, withinS) ?: break
                draft.take(bin, wanted, wanted.runS?.coerceAtLeast(MIN_RUN_S), atS)
                left--
            }
        }
        if (left > 0) draft.noneInTime.note(sample, zone, longestS)
        return left
    }

    /** The time that a new instance of [type] takes to boot and to fetch the image of [sample]. */
    private fun readyS(type: MachineType, sample: TaskRow): Double = type.bootS + sample.imageGb / type.fetchGbPerS

    /** Rents instances for [count] tasks. Returns for how many of them there is no offer. */
    private fun rent(wanted: Wanted, count: Int, zone: Int?, draft: Draft): Int {
        val sample = wanted.sample
        var left = count
        while (left > 0) {
            val offer = offers(sample, zone).minWithOrNull(cheapestFirst(sample, draft)) ?: return left
            val bin = addInstance(offer, draft)
            val here = take(bin, wanted, minOf(left, capacityOf(offer, sample)), draft)
            if (here == 0) return left
            left -= here
        }
        return 0
    }

    /**
     * By the price per task; among equals, the offer that is rented already: few large requests rather than many small ones, since
     * the cloud limits its request rate. But what must be spread over zones is rented in turn.
     */
    private fun cheapestFirst(sample: TaskRow, draft: Draft): Comparator<Offer> =
        compareBy<Offer> { types.getValue(it.type).price(it.spot) / capacityOf(it, sample) }
            .thenByDescending { if (sample.remainingPerZone == null) growingRequest(it, draft) else 0 }
            .thenBy { draft.machinesByZone.getOrDefault(it.zone, 0) }

    /** The instances of [offer] in this plan, or 0 if they make a large request already. */
    private fun growingRequest(offer: Offer, draft: Draft): Int {
        val count = draft.rent.getOrDefault(offer, 0)
        return if (count < LARGE_REQUEST) count else 0
    }

    private fun addInstance(offer: Offer, draft: Draft): Bin {
        draft.rent.merge(offer, 1, Int::plus)
        draft.machinesByZone.merge(offer.zone, 1, Int::plus)
        val scene = rules?.empty?.invoke(offer) ?: RuleTable.MachineContext.EMPTY
        val bin = Bin(Bin.NOT_A_MACHINE, offer, types.getValue(offer.type).size, true, scene = scene)
        draft.bins += bin
        draft.noneFree.clear()
        draft.noneInTime.clear()
        return bin
    }

    /** Takes capacity for at most [maxCount] tasks, as long as rules permit one more beside the others. Returns how many. */
    private fun take(bin: Bin, wanted: Wanted, maxCount: Int, draft: Draft): Int {
        var taken = 0
        while (taken < maxCount && bin.permits(wanted.sample, rules)) {
            draft.take(bin, wanted, wanted.runS)
            taken++
        }
        return taken
    }

    /** What may be rented for a task like [sample]. */
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

    /** How many tasks like [sample] fit on an instance of [offer]. */
    private fun capacityOf(offer: Offer, sample: TaskRow) =
        sample.need.countIn(types.getValue(offer.type).size).coerceIn(1, MAX_TASKS_PER_INSTANCE)

    private fun allows(sample: TaskRow, offer: Offer, zone: Int?) =
        (sample.zones shr offer.zone) and 1L != 0L &&
            (sample.types shr offer.type) and 1L != 0L &&
            (sample.spot || !offer.spot) &&
            (zone == null || zone == offer.zone)

    private companion object {
        /** With estimates next to zero, the capacity of one task would do for all. */
        const val MIN_RUN_S = 5.0

        /** Instances in a request that is not made larger for the sake of fewer requests. */
        const val LARGE_REQUEST = 40

        /** For tasks that need next to nothing. */
        const val MAX_TASKS_PER_INSTANCE = 1000
    }
}
