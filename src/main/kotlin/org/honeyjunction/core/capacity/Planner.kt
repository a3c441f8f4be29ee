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

/** Decides what to rent and which empty machines to keep: first fit, dearest demand first, cheapest offer first. */
class Planner(private val types: Map<Int, MachineType>, private val refused: (Offer) -> Boolean) {
    fun plan(waiting: List<Row>, expected: List<Expected>, bins: List<Bin>, machinesByZone: Map<Int, Int>): Plan {
        val open = ArrayList(bins)
        val zones = HashMap(machinesByZone)
        val rent = LinkedHashMap<Offer, Int>()
        val unmet = ArrayList<Row>()
        val zoneOfJob = HashMap<Int, Int>()
        for (row in waiting) {
            val bound = if (row.oneZone) zoneOfJob[row.job] else null
            val placed = fit(row, bound, open) ?: awaited(row, bound, open) ?: buy(row, bound, zones, rent)?.also(open::add)
            if (placed == null) {
                unmet += row
                continue
            }
            zoneOfJob[row.job] = placed.offer.zone
            take(placed, row)
        }
        for (e in expected) {
            repeat(e.count) {
                val meanwhile = if (e.atOnce) null else awaited(e.sample, null, open)
                val placed = fit(e.sample, null, open) ?: meanwhile ?: buy(e.sample, null, zones, rent)?.also(open::add)
                placed?.let { take(it, e.sample) }
            }
        }
        return Plan(rent, open.filter { it.needed && it.machine >= 0 }.mapTo(HashSet()) { it.machine }, unmet)
    }

    private fun take(bin: Bin, row: Row) {
        bin.free -= row.need
        bin.needed = true
    }

    /** Partly used machines first, so that the empty ones can be returned. */
    private fun fit(row: Row, zone: Int?, bins: List<Bin>): Bin? =
        bins.filter { allows(row, it.offer, zone) && row.need.fitsIn(it.free) }
            .minWithOrNull(
                compareBy<Bin> { it.empty && !it.needed }.thenBy { row.spot != it.offer.spot }.thenBy { it.free.gpus },
            )

    /** Room that gets free before a machine rented now could have booted and fetched the image: renting would be later. */
    private fun awaited(row: Row, zone: Int?, bins: List<Bin>): Bin? = bins.firstOrNull { bin ->
        val type = types[bin.offer.type] ?: return@firstOrNull false
        bin.leaving.isNotEmpty() && allows(row, bin.offer, zone) &&
            row.need.fitsIn(bin.freeWithin(type.bootS + row.imageGb / type.fetchGbPerS))
    }

    private fun buy(row: Row, zone: Int?, zones: MutableMap<Int, Int>, rent: MutableMap<Offer, Int>): Bin? {
        val offer = types.entries.asSequence().flatMap { (index, type) ->
            type.zones.asSequence().flatMap { z -> sequenceOf(Offer(index, z, true), Offer(index, z, false)) }
        }.filter { allows(row, it, zone) && row.need.fitsIn(types.getValue(it.type).size) && !refused(it) }
            .minWithOrNull(
                compareBy<Offer> { types.getValue(it.type).price(it.spot) / room(row, it) }
                    .thenBy { zones.getOrDefault(it.zone, 0) },
            ) ?: return null
        rent.merge(offer, 1, Int::plus)
        zones.merge(offer.zone, 1, Int::plus)
        return Bin(-1, offer, types.getValue(offer.type).size, true)
    }

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
