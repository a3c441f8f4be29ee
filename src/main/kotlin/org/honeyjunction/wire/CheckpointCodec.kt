package org.honeyjunction.wire

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.honeyjunction.core.boot.BootTimeCheckpoint
import org.honeyjunction.core.control.messages.LeaderCheckpoint
import org.honeyjunction.core.control.messages.MachineCheckpoint
import org.honeyjunction.core.failures.JobFailureCheckpoint
import org.honeyjunction.core.fairness.FairnessGroup
import org.honeyjunction.core.fairness.ServedCount

/** Encodes the checkpoints that a leader stores and its successor restores from. Readers throw [MalformedException]. */
object CheckpointCodec {
    private const val SERVED_FIELDS = 3

    /** Encodes a page of machine checkpoints, keyed by machine name. */
    fun writeMachines(machines: List<MachineCheckpoint>): ObjectNode =
        Json.newObject().apply { machines.forEach { putObject(it.name).putMachine(it) } }

    private fun ObjectNode.putMachine(machine: MachineCheckpoint) {
        put("address", machine.address)
        put("type", machine.type)
        put("zone", machine.zone)
        put("spot", machine.spot)
        put("session", machine.session)
        machine.idleSinceWall?.let { put("idle", it) }
        val images = putObject("images")
        machine.images.forEach { (name, gb) -> images.put(name, gb) }
    }

    /** Reads a page that [writeMachines] wrote. */
    fun readMachines(value: JsonNode): List<MachineCheckpoint> = value.properties().map { (name, machine) -> readMachine(name, machine) }

    private fun readMachine(name: String, machine: JsonNode) =
        MachineCheckpoint(
            name,
            machine.textOrNull("address"),
            machine.text("type"),
            machine.text("zone"),
            machine.flag("spot"),
            machine.count("session"),
            machine.fieldOrNull("images")?.properties().orEmpty().associate { (image, gb) -> image to gb.doubleValue() },
            machine.fieldOrNull("idle")?.longValue(),
        )

    /** Encodes the leader checkpoint: failures by job, boot times by offer, and served work by fairness group. */
    fun writeLeader(checkpoint: LeaderCheckpoint): ObjectNode =
        Json.newObject().apply {
            val jobs = putObject("jobs")
            checkpoint.jobs.forEach { jobs.putObject(it.job).putFailures(it) }
            val boots = putArray("boots")
            checkpoint.boots.forEach { boots.addObject().putBootTimes(it) }
            for (kind in FairnessGroup.Kind.entries) {
                val groups = putObject(fieldName(kind))
                checkpoint.served.filterKeys { it.kind == kind }.forEach { (group, served) ->
                    groups.putArray(group.name).add(served.accepted).add(served.started).add(served.done)
                }
            }
        }

    private fun ObjectNode.putFailures(failures: JobFailureCheckpoint) {
        put("failing", failures.failing)
        put("tries", failures.retries)
        put("machines", failures.machines)
        put("since", failures.sinceWall)
    }

    private fun ObjectNode.putBootTimes(boot: BootTimeCheckpoint) {
        put("type", boot.type)
        put("zone", boot.zone)
        put("spot", boot.spot)
        put("count", boot.count)
        put("median", boot.medianMs)
        put("late", boot.lateMs)
    }

    /** Reads a checkpoint that [writeLeader] wrote. */
    fun readLeader(value: JsonNode) =
        LeaderCheckpoint(
            value.fieldOrNull("jobs")?.properties().orEmpty().map { (job, failures) -> readFailures(job, failures) },
            value.listOrEmpty("boots").map(::readBootTimes),
            FairnessGroup.Kind.entries.flatMap { readServed(it, value) }.toMap(),
        )

    private fun readFailures(job: String, failures: JsonNode) =
        JobFailureCheckpoint(
            job,
            failures.flag("failing"),
            failures.count("tries").toInt(),
            failures.count("machines").toInt(),
            failures.count("since"),
        )

    private fun readBootTimes(boot: JsonNode) =
        BootTimeCheckpoint(
            boot.text("type"),
            boot.text("zone"),
            boot.flag("spot"),
            boot.count("count").toInt(),
            boot.count("median"),
            boot.count("late"),
        )

    private fun readServed(kind: FairnessGroup.Kind, checkpoint: JsonNode): List<Pair<FairnessGroup, ServedCount>> =
        checkpoint.fieldOrNull(fieldName(kind))?.properties().orEmpty().map { (name, served) ->
            if (served.size() != SERVED_FIELDS || served.any { !it.isInt }) throw MalformedException("the tally of $name is invalid")
            FairnessGroup(kind, name) to ServedCount(served[0].intValue(), served[1].intValue(), served[2].intValue())
        }

    private fun fieldName(kind: FairnessGroup.Kind): String = kind.name.lowercase()
}
