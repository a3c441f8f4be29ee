package org.honeyjunction.simulation

import org.honeyjunction.core.control.messages.Change
import org.honeyjunction.core.control.messages.CommitOutcome
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.core.control.messages.JobRecord

/** Executes the effects of simulated leaders, as the driver of a real controller does; writes may be lost or late. */
class EffectExecutor(private val context: SimulationContext, private val workers: WorkerNetwork, private val cloud: SimulatedCloud) {
    /** Number of writes that reached the state service late. */
    var lateWrites = 0
        private set

    private enum class WriteDelivery { LATE, UNANSWERED, ANSWERED }

    /** Executes [effect] of [controller]; results are fed back to the leader later. */
    fun execute(controller: SimulatedController, effect: Effect) {
        when (effect) {
            is Effect.Commit -> commit(controller, effect)
            is Effect.Send -> workers.send(controller, effect)
            is Effect.ScaleOut -> context.after(CLOUD_LATENCY_MS) { cloud.scaleOut(controller, effect) }
            is Effect.ScaleIn -> {
                val delay = if (controller.isolated) context.partitionDelay() else CLOUD_LATENCY_MS
                context.after(delay) { cloud.scaleIn(controller, effect) }
            }
            is Effect.ReadJobRecord -> context.after(READ_MS) { readJobRecord(controller, effect.job) }
            is Effect.CancellationConfirmed ->
                if (!effect.done) context.history.cancelledAt.putIfAbsent(effect.job, context.now)
            is Effect.LogEvent -> Unit
            is Effect.StepDown -> controller.alive = false
        }
    }

    private fun readJobRecord(controller: SimulatedController, job: String) {
        val record = if (controller.isolated) JobRecord.Unread else context.state.record(job)
        controller.run { jobRecordRead(job, record, context.now) }
    }

    /** A write is answered, or its response is lost, or it is delayed and applied late if its conditions still hold. */
    private fun commit(controller: SimulatedController, effect: Effect.Commit) {
        if (controller.isolated) return context.after(context.partitionDelay()) { apply(controller, effect) }
        if (controller.refused) return context.after(RETRY_MS) { commit(controller, effect) }
        val delivery = drawDelivery(effect)
        if (delivery == WriteDelivery.LATE) {
            context.after(3_000L + context.random.nextInt(5_000)) {
                lateWrites++
                apply(controller, effect)
            }
        }
        context.after(context.latency()) {
            val version = if (delivery == WriteDelivery.LATE) null else apply(controller, effect)
            val answered = version?.takeIf { delivery == WriteDelivery.ANSWERED && !context.network.writeResponseLost(effect.changes) }
            context.after(if (answered != null) context.latency() else READ_MS) { reportOutcome(controller, effect, answered) }
        }
    }

    /**
     * Draws how a write is delivered. Terminal records always arrive; of other writes, even without faults, one in fifty is late
     * and one in fifty is unanswered.
     */
    private fun drawDelivery(effect: Effect.Commit): WriteDelivery {
        if (effect.changes.any { it is Change.JobFinished }) return WriteDelivery.ANSWERED
        if (context.happens(context.network.lateWritePercent)) return WriteDelivery.LATE
        if (context.happens(context.network.unansweredWritePercent)) return WriteDelivery.UNANSWERED
        return when (context.random.nextInt(50)) {
            0 -> WriteDelivery.LATE
            1 -> WriteDelivery.UNANSWERED
            else -> WriteDelivery.ANSWERED
        }
    }

    private fun apply(controller: SimulatedController, effect: Effect.Commit): Long? = context.state.commit(controller.term, effect.changes)

    /** [version] comes from the response; null if none arrived, so that the written page must be read to learn the outcome. */
    private fun reportOutcome(controller: SimulatedController, effect: Effect.Commit, version: Long?) {
        if (controller.term != context.state.term) {
            controller.alive = false
        } else if (version != null) {
            controller.run { committed(effect.id, CommitOutcome.Applied(version), context.now) }
        } else {
            reread(controller, effect)
        }
    }

    private fun reread(controller: SimulatedController, effect: Effect.Commit) {
        if (context.state.down || controller.refused) return context.after(RETRY_MS) { reread(controller, effect) }
        val outcome = context.state.reread(effect.changes)
        controller.run { committed(effect.id, outcome, context.now) }
    }

    private companion object {
        const val CLOUD_LATENCY_MS = 100L
        const val READ_MS = 300L
        const val RETRY_MS = 300L
    }
}
