package org.honeyjunction.core.capacity

import org.honeyjunction.core.model.MachineType
import org.honeyjunction.core.model.Resources
import org.honeyjunction.core.placement.Row
import kotlin.math.ceil

/** One kind of machine that the cloud rents. */
data class Offer(val type: Int, val zone: Int, val spot: Boolean)

/** Room that a running task will probably leave, in so many seconds. */
class Leaving(val inS: Double, val need: Resources)

/** Room that is there, or will be: a machine that is up or booting. */
class Bin(val machine: Int, val offer: Offer, var free: Resources, val empty: Boolean, val leaving: List<Leaving> = emptyList()) {
    var needed = false

    fun freeWithin(seconds: Double): Resources =
        leaving.fold(free) { sum, l -> if (l.inS <= seconds) sum + l.need else sum }
}

/**
 * Tasks like [sample] of which [count] are expected to arrive while a machine boots. If they are to start at once,
 * room must be ready for them; the others can have the room of tasks that end meanwhile.
 */
class Expected(val sample: Row, val count: Int, val atOnce: Boolean)

class Plan(val rent: Map<Offer, Int>, val keep: Set<Int>, val unmet: List<Row>)

/** So many tasks like [sample] that wait. */
class Wanted(val sample: Row, val count: Int)

/**
 * Decides what to rent and which empty machines to keep: first fit, dearest demand first, cheapest offer first. Tasks
 * that are alike are taken together, so that a plan costs what the jobs and machines are, not the tasks.
 */
class Planner(private val types: Map<Int, MachineType>, private val refused: (Offer) -> Boolean) {
    private class Work(bins: List<Bin>, machinesByZone: Map<Int, Int>) {
        val open = ArrayList(bins)
        val zones = HashMap(machinesByZone)
        val rent = LinkedHashMap<Offer, Int>()
    }

    fun plan(waiting: List<Wanted>, expected: List<Expected>, bins: List<Bin>, machinesByZone: Map<Int, Int>): Plan {
        val work = Work(bins, machinesByZone)
        val unmet = ArrayList<Row>()
        for (w in waiting) {
            val zone = if (w.sample.oneZone) bestZone(w, work) else null
            var left = fill(w.sample, w.count, zone, work)
            left = await(w.sample, left, zone, work)
            if (buy(w.sample, left, zone, work) > 0) unmet += w.sample
        }
        for (e in expected) {
            var left = fill(e.sample, e.count, null, work)
            if (!e.atOnce) left = await(e.sample, left, null, work)
            buy(e.sample, left, null, work)
        }
        return Plan(work.rent, work.open.filter { it.needed && it.machine >= 0 }.mapTo(HashSet()) { it.machine }, unmet)
    }

    /** The zone that has room for most of a job that must stay in one; among equals, one where the rest can be rented. */
    private fun bestZone(w: Wanted, work: Work): Int? {
        val room = HashMap<Int, Int>()
        for (bin in work.open) {
            if (!allows(w.sample, bin.offer, null)) continue
            val fits = w.sample.need.countIn(bin.free).coerceIn(0, w.count)
            if (fits > 0) room.merge(bin.offer.zone, fits, Int::plus)
        }
        return types.values.flatMap { it.zones }.distinct()
            .filter { (w.sample.zones shr it) and 1L != 0L }
            .maxWithOrNull(
                compareBy<Int> { room.getOrDefault(it, 0).coerceAtMost(w.count) }
                    .thenBy { zone -> if (offers(w.sample, zone).any()) 1 else 0 }
                    .thenByDescending { work.zones.getOrDefault(it, 0) },
            )
    }

    private fun take(bin: Bin, sample: Row, count: Int) {
        bin.free -= sample.need * count
        bin.needed = true
    }

    /** Partly used machines first, so that the empty ones can be returned. Returns how many are left over. */
    private fun fill(sample: Row, count: Int, zone: Int?, work: Work): Int {
        if (count <= 0) return 0
        var left = count
        val bins = work.open.filter { allows(sample, it.offer, zone) && sample.need.fitsIn(it.free) }.sortedWith(
            compareBy<Bin> { it.empty && !it.needed }.thenBy { sample.spot != it.offer.spot }.thenBy { it.free.gpus },
        )
        for (bin in bins) {
            if (left == 0) break
            val here = minOf(left, sample.need.countIn(bin.free))
            take(bin, sample, here)
            left -= here
        }
        return left
    }

    /** Room that gets free before a machine rented now could have booted and fetched the image: renting would be later. */
    private fun await(sample: Row, count: Int, zone: Int?, work: Work): Int {
        var left = count
        for (bin in work.open) {
            if (left <= 0) break
            val type = types[bin.offer.type] ?: continue
            if (bin.leaving.isEmpty() || !allows(sample, bin.offer, zone)) continue
            val here = minOf(left, sample.need.countIn(bin.freeWithin(type.bootS + sample.imageGb / type.fetchGbPerS)))
            if (here > 0) take(bin, sample, here)
            left -= here
        }
        return left
    }

    private fun buy(sample: Row, count: Int, zone: Int?, work: Work): Int {
        var left = count
        while (left > 0) {
            val offer = offers(sample, zone).minWithOrNull(
                compareBy<Offer> { types.getValue(it.type).price(it.spot) / room(sample, it) }
                    .thenBy { work.zones.getOrDefault(it.zone, 0) },
            ) ?: return left
            work.rent.merge(offer, 1, Int::plus)
            work.zones.merge(offer.zone, 1, Int::plus)
            val bin = Bin(-1, offer, types.getValue(offer.type).size, true).also(work.open::add)
            val here = minOf(left, room(sample, offer))
            take(bin, sample, here)
            left -= here
        }
        return 0
    }

    private fun offers(sample: Row, zone: Int?): Sequence<Offer> = types.entries.asSequence().flatMap { (index, type) ->
        type.zones.asSequence().flatMap { z -> sequenceOf(Offer(index, z, true), Offer(index, z, false)) }
    }.filter { allows(sample, it, zone) && sample.need.fitsIn(types.getValue(it.type).size) && !refused(it) }

    private fun room(row: Row, offer: Offer) = row.need.countIn(types.getValue(offer.type).size).coerceIn(1, 1000)

    private fun allows(row: Row, offer: Offer, zone: Int?) =
        (row.zones shr offer.zone) and 1L != 0L && (row.types shr offer.type) and 1L != 0L &&
            (row.spot || !offer.spot) && (zone == null || zone == offer.zone)
}

/** Counts arrivals of each class, to expect as many in the time a machine takes to boot. */
class Forecast(private val windowMs: Long) {
    private class Arrival(val at: Long, val tasks: Int, val sample: Row)

    private val arrivals = HashMap<Int, ArrayDeque<Arrival>>()

    fun note(jobClass: Int, tasks: Int, sample: Row, now: Long) {
        arrivals.getOrPut(jobClass, ::ArrayDeque).addLast(Arrival(now, tasks, sample))
    }

    /** A short history is not stretched: a burst at the start says little of what follows. */
    fun expected(now: Long, horizonMs: Long, factor: Double, atOnce: (Int) -> Boolean): List<Expected> =
        arrivals.entries.mapNotNull { (jobClass, recent) ->
            while (recent.isNotEmpty() && recent.first().at < now - windowMs) recent.removeFirst()
            val latest = recent.lastOrNull() ?: return@mapNotNull null
            val count = ceil(recent.sumOf { it.tasks } * factor * horizonMs / windowMs).toInt()
            Expected(latest.sample, count, atOnce(jobClass))
        }.sortedByDescending { it.sample.priority }
}
