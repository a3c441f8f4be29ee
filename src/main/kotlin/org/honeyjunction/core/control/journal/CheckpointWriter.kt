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
 * Writes checkpoints for a later leader, within the write budget: addresses and cached images of machines, page by page, and
 * one checkpoint of failures, boot times and fairness. Correctness does not depend on them: the cloud's list of machines and
 * the workers' heartbeats supply what is missing or outdated. At most one write is on its way at a time.
 *
 * [wallOffset] is added to a steady time to get wall clock time, in milliseconds.
 */
class CheckpointWriter(
    private val state: ClusterState,
    private val attribution: FailureAttribution,
    private val bootTimes: BootTimes,
    private val fairness: FairnessMonitor,
    private val wallOffset: Long,
) {
    /** The content of the latest leader checkpoint that was applied. */
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

    /** Writes the next checkpoint, if one is due and no other write is on its way. */
    fun step(now: Long) {
        if (busy || now >= state.leaseValidUntil) return
        if (now >= nextLeaderCheckAt) {
            // Checked at intervals only, since the quantiles of the boot times are expensive to compute.
            nextLeaderCheckAt = now + LEADER_CHECK_MS
            if (leaderCheckpointDue(now)) return writeLeaderCheckpoint(now)
        }
        if (now >= nextMachinePageAt) writeNextMachinePage(now)
    }

    /** Changed failures are written at the next check; boot times and fairness, which change gradually, at longer intervals. */
    private fun leaderCheckpointDue(now: Long): Boolean {
        if (attribution.version != writtenAttribution) return true
        if (now - leaderSentAt <= GRADUAL_CHANGES_MS) return false
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

    /** Writes the pages in turn, and skips a page that has not changed since its last write. */
    private fun writeNextMachinePage(now: Long) {
        nextMachinePageAt = now + state.cluster.pageWriteIntervalMs * JOURNAL_PAGES_PER_MACHINE_PAGE
        val known = state.machines.filter { it.phase in CHECKPOINTED_PHASES && it.address != null && it.type != NameTable.ABSENT }
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
        // Short idle times between tasks do not justify a write.
        val idleLong = machine.idleSince != Long.MIN_VALUE && now - machine.idleSince > state.tuning.idleMs / IDLE_DIVISOR
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
        /** The journal may write this many pages in the time between two pages of machines. */
        const val JOURNAL_PAGES_PER_MACHINE_PAGE = 8
        const val LEADER_CHECK_MS = 4_000L

        /** The interval at which changed boot times and fairness are written. */
        const val GRADUAL_CHANGES_MS = 30_000L

        /** Includes machines that do not report, since a later leader must know of them. */
        val CHECKPOINTED_PHASES = setOf(MachinePhase.UNCONFIRMED, MachinePhase.UP, MachinePhase.SUSPECTED, MachinePhase.UNREACHABLE)

        /** An upper bound of the bytes that one machine takes in a page. */
        const val MACHINE_BYTES = 500
        const val MAX_IMAGES = 6

        /** Idle time is written once it exceeds the idle limit, after which a machine is released, divided by this. */
        const val IDLE_DIVISOR = 3
    }
}
