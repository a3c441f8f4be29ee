package org.honeyjunction.simulation

import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.core.control.messages.ListedMachine
import org.honeyjunction.fake.FakeWorker
import org.honeyjunction.fake.MachineSpec

/** The cloud provider of a [SimulatedCluster]: machines are rented, boot, are listed with a lag, and are released. */
class SimulatedCloud(
    private val context: SimulationContext,
    /** The most machines that exist at one time. */
    var capacity: Int,
    private val newWorker: (MachineSpec) -> FakeWorker,
) {
    private class BootingMachine(val readyAt: Long, val zone: String, val spot: Boolean)

    var down = false

    /** Machines rented from now on take so many times as long to boot. */
    var bootFactor = 1.0

    /** One in so many machines rented from now on never comes up, but is paid for; 0: all come up. */
    var bootFailsOneIn = 0

    /** Lists are up to twice as old as they usually are, and may arrive in any order. */
    var extraListLag = false
    var totalRented = 0
        private set
    var releases = 0
        private set

    /** Number of rented machines that never come up. */
    var failedBoots = 0
        private set

    private val rentals = HashMap<String, List<String>>()
    private val booting = LinkedHashMap<String, BootingMachine>()
    private var lastName = 0

    /** Number of machines that are paid for and not up. */
    val bootingCount get() = booting.size

    /** Number of machines that are paid for, up or booting: ordinary ones and spot ones. */
    fun paid(): Pair<Int, Int> {
        val up = context.workers.values.filter { !it.dead }
        val spot = up.count { it.box.spot } + booting.values.count { it.spot }
        return up.size + booting.size - spot to spot
    }

    /** A repeated request is idempotent: it gets the machines of the first one. One response in ten is lost. */
    fun scaleOut(controller: SimulatedController, effect: Effect.ScaleOut) {
        if (down) return controller.run { scaleOutOutcomeUnknown(effect.request, context.now) }
        val names = rentals.getOrPut(effect.request) { newMachineNames(effect.count) }
        for (name in names) if (name !in context.workers && name !in booting) boot(name, effect)
        val responseLost = context.random.nextInt(10) == 0
        controller.run {
            when {
                responseLost -> scaleOutOutcomeUnknown(effect.request, context.now)
                names.isEmpty() -> scaleOutRefused(effect.request, context.now)
                else -> scaleOutCompleted(effect.request, names, context.now)
            }
        }
    }

    private fun newMachineNames(count: Int): List<String> {
        val free = capacity - context.workers.size - booting.size
        val names = List(minOf(free, count).coerceAtLeast(0)) { "vm-%05d".format(++lastName) }
        totalRented += names.size
        return names
    }

    private fun boot(name: String, effect: Effect.ScaleOut) {
        val fails = bootFailsOneIn > 0 && context.random.nextInt(bootFailsOneIn) == 0
        if (fails) failedBoots++
        val readyAt = if (fails) Long.MAX_VALUE else context.now + bootMs()
        booting[name] = BootingMachine(readyAt, effect.zone, effect.offer.spot)
    }

    private fun bootMs() = (context.setup.type.bootS * bootFactor * (600 + context.random.nextInt(600))).toLong()

    /** A release is meant for machines that were this leader's when it was sent. */
    fun scaleIn(controller: SimulatedController, effect: Effect.ScaleIn) {
        releases += effect.machines.size
        val released = !down
        if (released) {
            effect.machines.forEach {
                context.workers.remove(it)
                booting.remove(it)
            }
        }
        context.after(RESPONSE_MS) { controller.run { scaleInCompleted(effect.machines, released, context.now) } }
    }

    /** The list of all machines as of now reaches [controller] after the usual lag. */
    fun list(controller: SimulatedController) {
        val type = context.setup.type.name
        val up = context.workers.values.map { ListedMachine(it.name, ADDRESS, type, it.box.zone, it.box.spot, it.dead, 9.0) }
        val notUp = booting.map { (name, machine) -> ListedMachine(name, null, type, machine.zone, machine.spot, false, 1.0) }
        val machines = up + notUp
        val lagMs = context.setup.listLagMs
        val extraMs = if (extraListLag) context.random.nextInt(lagMs.toInt()) else 0
        context.after(lagMs + extraMs) { controller.run { machinesListed(machines, context.now) } }
    }

    /** Machines that have booted by now become workers. */
    fun finishBoots() {
        booting.filterValues { it.readyAt <= context.now }.forEach { (name, machine) ->
            booting.remove(name)
            context.workers[name] = newWorker(specOf(name, machine))
        }
    }

    private fun specOf(name: String, machine: BootingMachine): MachineSpec {
        val type = context.setup.type
        return MachineSpec(name, ADDRESS, type.name, type.size, machine.zone, machine.spot, type.cacheGb, type.fetchGbPerS)
    }

    private companion object {
        const val ADDRESS = "10.1.0.1:1"
        const val RESPONSE_MS = 100L
    }
}
