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

    /** Whether the provider is unavailable: requests to it fail, and it lists no machines. */
    var down = false

    /** Factor on the boot time of machines rented from now on. */
    var bootFactor = 1.0

    /** One in this many machines rented from now on never comes up, but is paid for; 0 if all come up. */
    var bootFailsOneIn = 0

    /** Whether machine lists are up to twice as old as usual, and may arrive out of order. */
    var extraListLag = false

    /** Number of machines rented so far. */
    var totalRented = 0
        private set

    /** Number of machines in all release requests so far, including failed requests. */
    var releases = 0
        private set

    /** Number of rented machines that never come up. */
    var failedBoots = 0
        private set

    private val rentals = HashMap<String, List<String>>()
    private val booting = LinkedHashMap<String, BootingMachine>()
    private var lastName = 0

    /** Number of machines that are paid for but not up yet. */
    val bootingCount get() = booting.size

    /** Numbers of on-demand and of spot machines that are paid for, whether up or booting. */
    fun paid(): Pair<Int, Int> {
        val up = context.workers.values.filter { !it.dead }
        val spot = up.count { it.box.spot } + booting.values.count { it.spot }
        return up.size + booting.size - spot to spot
    }

    /** Rents machines. Requests are idempotent: a repeated one gets the machines of the first. One response in ten is lost. */
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

    /** Releases machines, even if [controller] has lost the leadership since it sent the request. */
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

    /** Sends the list of all machines as of now to [controller]; the list arrives after the usual lag. */
    fun list(controller: SimulatedController) {
        val type = context.setup.type.name
        val up = context.workers.values.map { ListedMachine(it.name, ADDRESS, type, it.box.zone, it.box.spot, it.dead, 9.0) }
        val notUp = booting.map { (name, machine) -> ListedMachine(name, null, type, machine.zone, machine.spot, false, 1.0) }
        val machines = up + notUp
        val lagMs = context.setup.listLagMs
        val extraMs = if (extraListLag) context.random.nextInt(lagMs.toInt()) else 0
        context.after(lagMs + extraMs) { controller.run { machinesListed(machines, context.now) } }
    }

    /** Turns the machines that have booted by now into workers. */
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
