package org.honeyjunction.simulation

import org.honeyjunction.core.control.messages.Change
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.core.control.messages.Heartbeat
import org.honeyjunction.fake.FakeWorker
import java.util.Random

/**
 * Faults of the messages between controllers, workers and the state service of a [SimulatedCluster], beside those of the
 * machines themselves ([FakeWorker.cutUntil] and others). Initially there are no faults.
 */
class NetworkFaults {
    /** Whether the worker can connect to the controller; if not, none of its heartbeats arrives there, not even late. */
    var reachesController: (FakeWorker, SimulatedController) -> Boolean = { _, _ -> true }

    /** Whether the worker receives the controller's commands and responses; if not, they are lost. */
    var reachesWorker: (FakeWorker, SimulatedController) -> Boolean = { _, _ -> true }

    /** Whether direct commands reach the worker; responses to its heartbeats are not affected. */
    var commandsReach: (FakeWorker) -> Boolean = { true }

    /** Whether the response to a write that was applied is lost. */
    var writeResponseLost: (List<Change>) -> Boolean = { false }

    /** Delay of a heartbeat, in milliseconds; null for the usual latency. */
    var heartbeatDelayMs: (Heartbeat) -> Long? = { null }

    /** After how long a copy of a message arrives that the worker has executed and answered, in milliseconds; null: none does. */
    var commandCopyDelayMs: (Effect.Send) -> Long? = { null }

    /** Maximum additional latency of a message between controllers and workers, in milliseconds. */
    var maxExtraLatencyMs = 0

    /** Whether connections across a network partition are reset, so that the partition delays no message. */
    var resetsConnections = false

    /** Time until which an overloaded leader handles heartbeats but responds too late; commands are not affected. */
    var responsesLateUntil = 0L

    /** Time until which, from [responsesLateUntil] on, the leader does not even read heartbeats. */
    var heartbeatsUnreadUntil = 0L

    /** Whether all messages from the next elected leader to workers are lost. */
    var nextLeaderLosesMessages = false

    /** Percentage of heartbeats of which a copy arrives again, up to about two worker leases later. */
    var repeatedHeartbeatPercent = 0

    /** Percentage of heartbeats of which a copy is recorded and reaches the next leader among its first heartbeats. */
    var recordedHeartbeatPercent = 0

    /** Percentage of commands that are delayed by seconds and not answered. */
    var delayedCommandPercent = 0

    /** Percentage of writes that are not answered and are applied some seconds late. */
    var lateWritePercent = 0

    /** Percentage of writes that are not answered although they are applied at once. */
    var unansweredWritePercent = 0

    /** Draws the additional latency of one message; draws nothing if [maxExtraLatencyMs] is 0. */
    fun extraLatency(random: Random): Long = if (maxExtraLatencyMs > 0) random.nextInt(maxExtraLatencyMs).toLong() else 0L
}
