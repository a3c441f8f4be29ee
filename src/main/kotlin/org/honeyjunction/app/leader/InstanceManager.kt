package org.honeyjunction.app.leader

import kotlinx.coroutines.delay
import org.honeyjunction.app.CloudClient
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.core.control.messages.ListedMachine
import org.slf4j.LoggerFactory
import java.io.IOException

/** Rents and returns machines at the cloud as the leader decides, and lists the rented machines for the leader. */
internal class InstanceManager(private val context: TermContext, private val cloud: CloudClient) {
    private val log = LoggerFactory.getLogger(InstanceManager::class.java)

    /** Lists all rented machines at regular intervals; never returns. */
    suspend fun listMachines() {
        while (true) {
            try {
                val machines = readAllPages()
                context.leader.machinesListed(machines, context.clock.steady())
                context.executeEffects()
            } catch (e: IOException) {
                log.debug("failed to list machines: {}", e.message)
            }
            delay(LIST_INTERVAL_MS)
        }
    }

    private suspend fun readAllPages(): List<ListedMachine> {
        val machines = ArrayList<ListedMachine>()
        do {
            val page = cloud.listMachines(after = machines.lastOrNull()?.name)
            machines += page.machines
        } while (page.more && page.machines.isNotEmpty())
        return machines
    }

    /** Rents the machines of [effect], and reports the outcome to the leader. */
    suspend fun scaleOut(effect: Effect.ScaleOut) {
        val leader = context.leader
        try {
            when (val result = cloud.scaleOut(effect, context.mayStillAct(withinLease = true))) {
                is CloudClient.ScaleOutResult.Started -> {
                    logStarted(effect, result.machines)
                    leader.scaleOutCompleted(effect.request, result.machines, context.clock.steady())
                }
                CloudClient.ScaleOutResult.NoCapacity -> {
                    logNoCapacity(effect)
                    leader.scaleOutRefused(effect.request, context.clock.steady())
                }
            }
        } catch (e: IOException) {
            log.debug("failed to scale out: {}", e.message)
            leader.scaleOutOutcomeUnknown(effect.request, context.clock.steady())
        }
        context.executeEffects()
    }

    private fun logStarted(effect: Effect.ScaleOut, machines: List<String>) {
        val spot = effect.offer.spot
        log.info("instances-scaled-out: {} of {} {} in {} (spot: {})", machines.size, effect.count, effect.type, effect.zone, spot)
    }

    private fun logNoCapacity(effect: Effect.ScaleOut) {
        val spot = effect.offer.spot
        log.info("scale-out-refused: no capacity for {} in {} (spot: {}): {} requested", effect.type, effect.zone, spot, effect.count)
    }

    /** Returns the machines of [effect], and reports to the leader whether the cloud confirmed it. */
    suspend fun scaleIn(effect: Effect.ScaleIn) {
        val confirmed =
            try {
                cloud.scaleIn(effect.machines, context.mayStillAct(withinLease = true))
                true
            } catch (e: IOException) {
                log.debug("failed to scale in: {}", e.message)
                false
            }
        if (confirmed) log.info("instances-scaled-in: {}", effect.machines)
        context.leader.scaleInCompleted(effect.machines, confirmed, context.clock.steady())
        context.executeEffects()
    }

    private companion object {
        const val LIST_INTERVAL_MS = 3_000L
    }
}
