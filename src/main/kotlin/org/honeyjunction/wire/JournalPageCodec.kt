package org.honeyjunction.wire

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.honeyjunction.core.control.journal.JournalPageRecord
import org.honeyjunction.core.control.journal.RecordedStart
import org.honeyjunction.core.results.TaskNumberSet
import java.util.BitSet

/**
 * Encodes the pages of the placement journal. A page holds its recorded starts in one flat array, four items each (job, task numbers,
 * attempt, machine), and the numbers of its finished tasks, keyed by job. Sets of task numbers are encoded as text, see
 * [TaskNumberSet]. Pages of earlier versions do not say that they are complete, and those versions ignore the field.
 */
object JournalPageCodec {
    private const val WRITE = "write"
    private const val STARTS = "starts"
    private const val DONE = "done"
    private const val COMPLETE = "complete"
    private const val FIELDS_PER_START = 4
    private const val MAX_QUOTED_LENGTH = 40

    /** Encodes [page]; [write] identifies this write among all writes of the page. */
    fun write(page: JournalPageRecord, write: Long): ObjectNode =
        Json.newObject().apply {
            put(WRITE, write)
            val starts = putArray(STARTS)
            page.starts.groupBy { Triple(it.job, it.attempt, it.machine) }.forEach { (group, members) ->
                val (job, attempt, machine) = group
                val numbers = BitSet().apply { members.forEach { set(it.number) } }
                starts.add(job).add(TaskNumberSet.text(numbers)).add(attempt).add(machine)
            }
            val done = putObject(DONE)
            page.done.forEach { (job, numbers) -> done.put(job, TaskNumberSet.text(numbers)) }
            if (page.complete) put(COMPLETE, true)
        }

    /**
     * Reads page [number] from its stored [value] at [version] of its key.
     *
     * @throws MalformedException if the value is not a valid page
     */
    fun read(number: Int, version: Long, value: JsonNode) =
        JournalPageRecord(
            number,
            version,
            value.list(STARTS).chunked(FIELDS_PER_START).flatMap { readStarts(it, number) },
            value.fieldOrNull(DONE)?.properties().orEmpty().associate { (job, numbers) -> job to readNumbers(numbers, number) },
            value.fieldOrNull(COMPLETE)?.booleanValue() == true,
        )

    /** The number that [write] gave to the write that stored [value]; null if there is none. */
    fun writeNumber(value: JsonNode?): Long? = value?.fieldOrNull(WRITE)?.longValue()

    private fun readStarts(fields: List<JsonNode>, page: Int): List<RecordedStart> {
        val valid = fields.size == FIELDS_PER_START && fields[0].isTextual && fields[2].isIntegralNumber && fields[3].isTextual
        if (!valid) throw MalformedException("page $page: a start is invalid")
        val (job, numbers, attempt, machine) = fields
        return readNumbers(numbers, page).stream().toArray().map { number ->
            RecordedStart(job.textValue(), number, attempt.longValue(), machine.textValue())
        }
    }

    /** Reads a set of task numbers; earlier versions encoded it as a single number or as an array of numbers. */
    private fun readNumbers(value: JsonNode, page: Int): BitSet =
        when {
            value.isTextual ->
                TaskNumberSet.read(value.textValue())
                    ?: throw MalformedException("page $page: the numbers ${value.textValue().take(MAX_QUOTED_LENGTH)} are invalid")
            isTaskNumber(value) -> BitSet().apply { set(value.intValue()) }
            value.isArray && value.all(::isTaskNumber) -> BitSet().apply { value.forEach { set(it.intValue()) } }
            else -> throw MalformedException("page $page: numbers are invalid")
        }

    private fun isTaskNumber(value: JsonNode) = value.isInt && value.intValue() >= 0
}
