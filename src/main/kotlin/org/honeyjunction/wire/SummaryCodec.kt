package org.honeyjunction.wire

import okio.Buffer
import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.model.Resources
import org.honeyjunction.core.placement.FreeCapacity
import org.honeyjunction.core.placement.Summary
import org.honeyjunction.core.placement.TaskRow
import org.honeyjunction.core.placement.TeamShare
import org.honeyjunction.core.placement.UpcomingCapacity
import org.honeyjunction.core.rules.RuleTable

/**
 * Encodes the [Summary] in [PeerMessage.SummaryResponse]: machines, teams, the number of slots, task rows, and a flag that says
 * whether placement rules follow. The fields that only rules need come after the rules, so that the encoding of a summary without
 * rules is the same as in versions that had no rules.
 *
 * Kotlin evaluates arguments in the order in which they are written, so in each reader they must be in the order of the bytes.
 * Priorities are encoded as their ordinals.
 */
internal object SummaryCodec {
    /** Appends [summary] to [buffer]. */
    fun write(buffer: Buffer, summary: Summary) {
        buffer.writeList(summary.capacities) { writeCapacity(it) }
        buffer.writeList(summary.teams) { writeTeam(it) }
        buffer.writeInt(summary.slots)
        buffer.writeList(summary.rows) { writeRow(it) }
        buffer.writeBoolean(!summary.rules.empty)
        if (summary.rules.empty) return
        RulesCodec.write(buffer, summary.rules)
        summary.capacities.forEach { buffer.writeRuleFields(it) }
        summary.rows.forEach { buffer.writeRuleFields(it) }
    }

    /**
     * Reads a summary that [write] encoded.
     *
     * @throws MalformedException if a field is out of range or refers to a rule, place or task shape that does not exist
     */
    fun read(buffer: Buffer): Summary {
        val capacities = buffer.readList { readCapacity() }
        val teams = buffer.readList { readTeam() }
        val slots = buffer.readInt()
        val rows = buffer.readList { readRow() }
        val hasRules = buffer.readBoolean()
        if (!hasRules) return Summary(capacities, teams, slots, rows)
        val rules = RulesCodec.read(buffer)
        val capacitiesWithRules = capacities.map { buffer.readRuleFields(it, rules) }
        val rowsWithRules = rows.map { buffer.readRuleFields(it, rules) }
        return Summary(capacitiesWithRules, teams, slots, rowsWithRules, rules)
    }

    private fun Buffer.writeCapacity(capacity: FreeCapacity) {
        writeInt(capacity.machine)
        writeResources(capacity.free)
        writeInt(capacity.type)
        writeInt(capacity.zone)
        writeBoolean(capacity.spot)
        writeInts(capacity.images.asList())
        writePriority(capacity.floor)
        writeDouble(capacity.fetchingGb)
        writeDouble(capacity.fetchGbPerS)
        writeList(capacity.upcoming) { writeUpcoming(it) }
        writeInt(capacity.reservedFor)
        writePriority(capacity.reservedPriority)
    }

    private fun Buffer.readCapacity() =
        FreeCapacity(
            machine = readInt(),
            free = readResources(),
            type = readInt(),
            zone = readInt(),
            spot = readBoolean(),
            images = readInts().toIntArray(),
            floor = readPriority(),
            fetchingGb = readDouble(),
            fetchGbPerS = readDouble(),
            upcoming = readList { readUpcoming() },
            reservedFor = readInt(),
            reservedPriority = readPriority(),
        )

    private fun Buffer.writeUpcoming(upcoming: UpcomingCapacity) {
        writeDouble(upcoming.availableInS)
        writeResources(upcoming.resources)
    }

    private fun Buffer.readUpcoming() = UpcomingCapacity(availableInS = readDouble(), resources = readResources())

    private fun Buffer.writeTeam(team: TeamShare) {
        writeDouble(team.weight)
        writeInt(team.running)
    }

    private fun Buffer.readTeam() = TeamShare(weight = readDouble(), running = readInt())

    private fun Buffer.writeRow(row: TaskRow) {
        writeInt(row.job)
        writeInt(row.task)
        writeInt(row.team)
        writePriority(row.priority)
        writeLong(row.waitingMs)
        writeResources(row.need)
        writeInt(row.image)
        writeDouble(row.imageGb)
        writeLong(row.zones)
        writeLong(row.types)
        writeBoolean(row.spot)
        writeBoolean(row.oneZone)
        writeInt(row.gangSize)
        writeBoolean(row.guaranteed)
        writeOptionalInts(row.remainingPerZone)
        writeBoolean(row.late)
    }

    private fun Buffer.readRow() =
        TaskRow(
            job = readInt(),
            task = readInt(),
            team = readInt(),
            priority = readPriority(),
            waitingMs = readLong(),
            need = readResources(),
            image = readInt(),
            imageGb = readDouble(),
            zones = readLong(),
            types = readLong(),
            spot = readBoolean(),
            oneZone = readBoolean(),
            gangSize = readInt(),
            guaranteed = readBoolean(),
            remainingPerZone = readOptionalInts(),
            late = readBoolean(),
        )

    private fun Buffer.writeRuleFields(capacity: FreeCapacity) {
        writeInt(capacity.place)
        writeInts(capacity.running.asList())
    }

    private fun Buffer.readRuleFields(capacity: FreeCapacity, rules: RuleTable) =
        FreeCapacity(
            capacity.machine,
            capacity.free,
            capacity.type,
            capacity.zone,
            capacity.spot,
            capacity.images,
            capacity.floor,
            capacity.fetchingGb,
            capacity.fetchGbPerS,
            capacity.upcoming,
            capacity.reservedFor,
            capacity.reservedPriority,
            place = readPlace(rules),
            running = readList { readShape(rules) }.toIntArray(),
        )

    private fun Buffer.writeRuleFields(row: TaskRow) {
        writeInt(row.shape)
        writeInts(row.mates)
    }

    private fun Buffer.readRuleFields(row: TaskRow, rules: RuleTable): TaskRow =
        row.copy(
            shape = readShape(rules),
            mates = readList { readPlace(rules) },
        )

    /** Reads the number of a place in [rules]; -1 for none. */
    private fun Buffer.readPlace(rules: RuleTable): Int {
        val place = readInt()
        if (place !in -1 until rules.places.size) throw MalformedException("place $place")
        return place
    }

    /** Reads the number of a task shape in [rules]; -1 for none. */
    private fun Buffer.readShape(rules: RuleTable): Int {
        val shape = readInt()
        if (shape !in -1 until rules.clausesOf.size) throw MalformedException("shape $shape")
        return shape
    }

    /** Writes a flag that says whether there is a list, then the list; an absent list is written as an empty one. */
    private fun Buffer.writeOptionalInts(values: List<Int>?) {
        writeBoolean(values != null)
        writeInts(values.orEmpty())
    }

    private fun Buffer.readOptionalInts(): List<Int>? {
        val present = readBoolean()
        val values = readInts()
        return values.takeIf { present }
    }

    private fun Buffer.writePriority(priority: Priority) = writeByte(priority.ordinal)

    private fun Buffer.readPriority(): Priority = Priority.entries.getOrNull(readByte().toInt()) ?: throw MalformedException("priority")

    private fun Buffer.writeResources(resources: Resources) {
        writeDouble(resources.cpus)
        writeDouble(resources.gpus)
        writeDouble(resources.memoryGb)
    }

    private fun Buffer.readResources() = Resources(cpus = readDouble(), gpus = readDouble(), memoryGb = readDouble())
}
