package org.honeyjunction.simulation

import org.honeyjunction.fake.FakeWorker
import org.honeyjunction.fake.HistoryChecker
import java.util.Random

/** State shared by all parts of one [SimulatedCluster]. The single [random] makes a run repeatable if the order of draws stays the same. */
class SimulationContext(seed: Long, val setup: ClusterSetup) {
    val random = Random(seed)
    val events = EventQueue()
    val state = FakeStateService()
    val workers = LinkedHashMap<String, FakeWorker>()
    val history = HistoryChecker(setup.teamLimits, setup.cancelMs)
    val network = NetworkFaults()

    /** The controller that was elected last; null before the first election. */
    var leader: SimulatedController? = null
    val now get() = events.now

    /** Schedules [run] for [delayMs] from now. */
    fun after(delayMs: Long, run: () -> Unit) = events.after(delayMs, run)

    /** Draws the latency of one message between two healthy processes, in milliseconds. */
    fun latency() = 2L + random.nextInt(20)

    /** Draws how long the network delays a message of a partitioned controller, in milliseconds. */
    fun partitionDelay() = 15_000L + random.nextInt(30_000)

    /** True in [percent] of a hundred cases; draws nothing if [percent] is 0. */
    fun happens(percent: Int) = percent > 0 && random.nextInt(100) < percent
}
