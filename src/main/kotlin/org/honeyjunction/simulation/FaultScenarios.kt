package org.honeyjunction.simulation

import org.honeyjunction.fake.FakeWorker
import org.honeyjunction.fake.HistoryChecker

/** For [forMs] no heartbeat of these machines reaches a controller, while commands and responses reach the machines. */
fun SimulatedCluster.blockHeartbeats(names: Set<String>, forMs: Long) {
    val until = now + forMs
    val before = network.reachesController
    network.reachesController = { worker, controller -> (worker.name !in names || now >= until) && before(worker, controller) }
}

/**
 * For [forMs] [zone] is partitioned together with the leader in it, which still responds to the workers of the zone and can't be
 * reached by other workers.
 */
fun SimulatedCluster.partitionZoneWithLeader(zone: String, forMs: Long) {
    val inside = leader ?: return
    val until = now + forMs
    val sameSide = { worker: FakeWorker, controller: SimulatedController ->
        now >= until || (worker.box.zone == zone) == (controller === inside)
    }
    network.reachesController = sameSide
    network.reachesWorker = sameSide
    isolateLeader()
    after(forMs) { inside.isolated = false }
}

/** The leader crashes; another is elected once its lease has expired and the state service is available. */
fun SimulatedCluster.crashAndElectWhenPossible() {
    leader?.alive = false

    fun electWhenPossible() {
        if (state.down) after(200) { electWhenPossible() } else elect()
    }
    after(SimulatedCluster.LEADER_LEASE_MS) { electWhenPossible() }
}

/** Calls [observer] with every start from now on, after those that were registered before. */
fun SimulatedCluster.onEachStart(observer: (HistoryChecker.Start) -> Unit) {
    val before = history.onStart
    history.onStart = {
        before(it)
        observer(it)
    }
}

/** Runs for [forMs] without new faults; work conservation is required from now on. */
fun SimulatedCluster.runWithWorkConservation(forMs: Long) {
    requireWorkConservation()
    run(forMs)
}
