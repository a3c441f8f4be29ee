package org.honeyjunction.core.control.journal

import org.honeyjunction.core.boot.BootTimeCheckpoint
import org.honeyjunction.core.boot.BootTimes
import org.honeyjunction.core.control.leader.ClusterState
import org.honeyjunction.core.control.messages.Change
import org.honeyjunction.core.control.messages.CommitOutcome
import org.honeyjunction.core.control.messages.LeaderCheckpoint
import org.honeyjunction.core.control.messages.MachineCheckpoint
import org.honeyjunction.core.failures.FailureAttribution
import org.honeyjunction.core.fairness.FairnessGroup
import org.honeyjunction.core.fairness.FairnessMonitor
import org.honeyjunction.core.fairness.ServedCount
import org.honeyjunction.core.model.Job
import org.honeyjunction.core.model.Machine
import org.honeyjunction.core.model.MachinePhase
import org.honeyjunction.core.model.NameTable

/**
 * Writes checkpoints for a later leader, as far as the budget of writes lets it: where the machines are and what they cache,
 * page by page; and what was learned of failures, boot times and fairness. Nothing relies on them: what is missing or old
 * shows in the cloud's list and the workers' heartbeats. One write is on its way at a time.
 *
 * [wallOffset]: what steady times are added to for wall clock times, in milliseconds.
 */
class CheckpointWriter(
    private val state: ClusterState,
    private val attribution: FailureAttribution,
    private val bootTimes: BootTimes,
    private val fairness: FairnessMonitor,
    private val wallOffset: Long,
) {
    /** What the latest leader checkpoint that was applied had. */
    private var writtenAttribution = attribution.version
    private var writtenBootTimes = emptyList<BootTimeCheckpoint>()
    private var writtenFairness = emptyMap<FairnessGroup, ServedCount>()
    private var nextLeaderCheckAt = Long.MIN_VALUE

    /** When the latest leader checkpoint was sent. */
    private var leaderSentAt = Long.MIN_VALUE / 2

    private var machinePages = 0
    private var nextMachinePage = 0
    private var nextMachinePageAt = Long.MIN_VALUE
    private val writtenMachinePages = HashMap<Int, List<MachineCheckpoint>>()
    private var busy = false

    fun step(now: Long) {
        if (busy || now >= state.leaseValidUntil) return
        if (now >= nextLeaderCheckAt) {
            // Checked now and then only: quantiles are not free.
            nextLeaderCheckAt = now + LEADER_CHECK_MS
            if (leaderCheckpointDue(now)) return writeLeaderCheckpoint(now)
        }
        if (now >= nextMachinePageAt) writeNextMachinePage(now)
    }

    /** Failures are written as they change, the rest, which changes little by little, at longer intervals. */
    private fun leaderCheckpointDue(now: Long): Boolean {
        if (attribution.version != writtenAttribution) return true
        if (now - leaderSentAt <= LEARNED_MS) return false
        return bootTimeCheckpoints() != writtenBootTimes || fairness.checkpoint() != writtenFairness
    }

    private fun bootTimeCheckpoints() = bootTimes.checkpoint { state.cluster.typeNames.name(it.type) to state.cluster.zones.name(it.zone) }

    private fun writeLeaderCheckpoint(now: Long) {
        leaderSentAt = now
        val version = attribution.version
        val boots = bootTimeCheckpoints()
        val served = fairness.checkpoint()
        busy = true
        val failures = attribution.checkpoint(wallOffset) { index -> state.jobAt(index)?.takeIf(Job::startable)?.spec?.id }
        state.commit(listOf(Change.Checkpoint(LeaderCheckpoint(failures, boots, served)))) { outcome ->
            busy = false
            if (outcome !is CommitOutcome.Applied) return@commit
            writtenAttribution = version
            writtenBootTimes = boots
            writtenFairness = served
        }
    }

    /** Goes round the pages; one that is as it was written before is not written again. */
    private fun writeNextMachinePage(now: Long) {
        nextMachinePageAt = now + state.cluster.pageWriteIntervalMs * GAPS
        val known = state.machines.filter { it.phase in KNOWN && it.address != null && it.type != NameTable.ABSENT }
        val perPage = maxOf(1, state.cluster.pageBytes / MACHINE_BYTES)
        machinePages = maxOf(machinePages, (known.size + perPage - 1) / perPage)
        if (machinePages == 0) return
        val page = nextMachinePage++ % machinePages
        val machines = known.drop(page * perPage).take(perPage).map { checkpoint(it, now) }
        if (writtenMachinePages[page] == machines) return
        busy = true
        state.commit(listOf(Change.MachineCheckpoints(page, machines))) { outcome ->
            busy = false
            if (outcome is CommitOutcome.Applied) writtenMachinePages[page] = machines
        }
    }

    private fun checkpoint(machine: Machine, now: Long): MachineCheckpoint {
        // Short pauses between tasks are not worth a write.
        val idleLong = machine.idleSince != Long.MIN_VALUE && now - machine.idleSince > state.tuning.idleMs / IDLE_PART
        return MachineCheckpoint(
            machine.name,
            machine.address,
            state.cluster.typeNames.name(machine.type),
            state.cluster.zones.name(machine.zone),
            machine.spot,
            machine.lease.session,
            machine.images.entries.toList().takeLast(MAX_IMAGES).associate { (image, gb) -> state.cluster.images.name(image) to gb },
            if (idleLong) machine.idleSince + wallOffset else null,
        )
    }

    private companion object {
        /** A page of machines for so many pages of the journal at most. */
        const val GAPS = 8
        const val LEADER_CHECK_MS = 4_000L
        const val LEARNED_MS = 30_000L

        /** Those that do not report too: a later leader must know of them. */
        val KNOWN = setOf(MachinePhase.UNCONFIRMED, MachinePhase.UP, MachinePhase.SUSPECTED, MachinePhase.UNREACHABLE)

        /** An upper bound for one machine in a page. */
        const val MACHINE_BYTES = 500
        const val MAX_IMAGES = 6

        /** Idle time is written from this part of the time after which a machine is returned. */
        const val IDLE_PART = 3
    }
}
