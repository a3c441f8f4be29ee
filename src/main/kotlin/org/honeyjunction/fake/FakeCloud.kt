package org.honeyjunction.fake

import org.honeyjunction.core.control.messages.ListedMachine
import org.honeyjunction.core.model.MachineType
import java.util.Random

/** A stand-in of the cloud: rentals by name, machines that boot in their own time, lists that lag. No input or output. */
class FakeCloud(
    private val types: List<MachineType>,
    private val zones: List<String>,
    private val capacity: Int,
    private val rps: Double,
    private val lagMs: Long,
    private val random: Random,
    now: Long,
) {
    class Machine(val name: String, val type: MachineType, val zone: String, val spot: Boolean, val rentedAt: Long, val upAt: Long) {
        var address: String? = null
        var failed = false
    }

    private class Snapshot(val at: Long, val machines: List<ListedMachine>)

    private val requests = FakeKeyValueStore.Bucket(rps, rps * 2, now)
    private val answers = HashMap<String, List<String>>()
    private val snapshots = ArrayDeque<Snapshot>()
    private var names = 0
    val machines = LinkedHashMap<String, Machine>()
    var down = false

    /** What is rented now takes so many times as long to boot, or a second or two; and one in so many never comes up, but is charged. */
    var bootFactor = 1.0
    var hurried = false
    var bootFailsOneIn = 0

    /** Lists tell how things stood so many times their lag ago. */
    var lagFactor = 1

    fun request(now: Long): Boolean = requests.take(1.0, now)

    /** Null: no capacity, or no such type or zone. */
    fun rent(name: String, type: String, zone: String, spot: Boolean, count: Int, now: Long): List<String>? {
        answers[name]?.let { return it }
        val kind = types.firstOrNull { it.name == type && zones.indexOf(zone) in it.zones } ?: return null
        val there = minOf(count, MOST, capacity - machines.size)
        if (there <= 0) return null
        val rented =
            List(there) {
                val boot =
                    if (hurried) {
                        HURRIED_S * random.nextDouble()
                    } else {
                        kind.bootS * bootFactor *
                            (FASTEST + random.nextDouble() * (SLOWEST - FASTEST))
                    }
                val never = bootFailsOneIn > 0 && random.nextInt(bootFailsOneIn) == 0
                Machine("vm-%06d".format(++names), kind, zone, spot, now, if (never) Long.MAX_VALUE else now + (boot * 1000).toLong())
            }
        rented.forEach { machines[it.name] = it }
        return rented.map { it.name }.also { answers[name] = it }
    }

    fun release(names: List<String>): List<Machine> = names.mapNotNull(machines::remove)

    /** Remembers how things stand, since a list tells how they stood a while ago. */
    fun note(now: Long) {
        if (snapshots.isNotEmpty() && now - snapshots.last().at < SNAPSHOT_MS) return
        snapshots +=
            Snapshot(
                now,
                machines.values.map {
                    ListedMachine(it.name, it.address, it.type.name, it.zone, it.spot, it.failed, (now - it.rentedAt) / 1000.0)
                },
            )
        while (snapshots.first().at < now - MOST_LAGS * lagMs - SNAPSHOT_MS) snapshots.removeFirst()
    }

    /** Older than the one before, at times. The machines, and whether each is up by then. */
    fun list(now: Long): List<ListedMachine> {
        val asOf = now - (lagMs * lagFactor * (FASTEST + random.nextDouble())).toLong()
        return (snapshots.lastOrNull { it.at <= asOf } ?: snapshots.firstOrNull())?.machines.orEmpty()
    }

    fun isUp(name: String, now: Long): Boolean = machines[name]?.let { !it.failed && now >= it.upAt } == true

    private companion object {
        const val MOST = 50
        const val FASTEST = 0.6
        const val SLOWEST = 1.5
        const val SNAPSHOT_MS = 200L
        const val HURRIED_S = 2.0
        const val MOST_LAGS = 4
    }
}
