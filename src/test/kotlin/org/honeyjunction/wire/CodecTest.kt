package org.honeyjunction.wire

import com.fasterxml.jackson.databind.node.ObjectNode
import okio.Buffer
import org.honeyjunction.core.admission.QuotaPlan
import org.honeyjunction.core.control.leader.JobStatus
import org.honeyjunction.core.control.messages.TaskState
import org.honeyjunction.core.control.messages.TerminationReason
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.model.Resources
import org.honeyjunction.core.placement.FreeCapacity
import org.honeyjunction.core.placement.Summary
import org.honeyjunction.core.placement.TaskRow
import org.honeyjunction.core.placement.TeamShare
import org.junit.jupiter.api.Assertions.assertArrayEquals
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource

class CodecTest {
    private val validJob = """{"Ref":"j-000412","Comb":"train","Colony":"vision","Cast":"ensemble","Precedence":"high","Cells":16,
        "Vcpus":8.0,"Gpus":1.0,"MemoryGb":64.0,"Brood":"img-07","PullGb":6.2,"HiveKinds":["g8"],"Meadow":null,
        "SamePlace":true,"Scatter":false,"BorrowedHives":true,"ForageS":240.0,"CapS":30.0,"SealS":4.0,"BloomEndS":900.0,"New":1}"""

    private fun job() = Json.readObject(validJob.toByteArray())

    @Test
    fun `a stored job is read as it was submitted`() {
        val spec = JobCodec.spec(job())
        assertEquals(JobKind.GANG, spec.kind)
        assertEquals(Priority.HIGH, spec.priority)
        val record = JobCodec.record(spec, "n", 7, JobStage.CANCELLED)
        val stored = JobCodec.stored(Json.read(Json.write(record)), 3)
        assertEquals(spec, stored.spec)
        assertEquals(JobStage.CANCELLED, stored.stage)
    }

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = [
            "Ref|\"x-1\"", "Ref|7", "Ref|null", "Cells|0", "Cells|100001", "Cells|1.5", "Cells|-1", "Cells|\"1\"",
            "Vcpus|-1", "Vcpus|\"8\"", "Vcpus|1e400", "Gpus|null", "MemoryGb|true", "Cast|\"solo\"", "Precedence|\"urgent\"",
            "Colony|\"\"", "Brood|null", "HiveKinds|\"g8\"", "HiveKinds|[1]", "Meadow|3", "SamePlace|null",
            "Scatter|\"yes\"", "BorrowedHives|1", "ForageS|-2", "CapS|null", "SealS|[]", "BloomEndS|-1",
        ],
    )
    fun `a job with an invalid field is rejected as malformed`(field: String, value: String) {
        val job = job()
        assertThrows(MalformedException::class.java) {
            job.set<ObjectNode>(field, Json.read(value.toByteArray()))
            JobCodec.spec(job)
        }
    }

    @ParameterizedTest
    @ValueSource(strings = ["", "{", "[]", "7", "null", "{} {}", "{\"a\":NaN}", "\"text\""])
    fun `input that is not one JSON object is rejected as malformed`(text: String) {
        assertThrows(MalformedException::class.java) { Json.readObject(text.toByteArray()) }
    }

    @Test
    fun `nullable fields may be absent`() {
        val job = job().apply { remove(listOf("HiveKinds", "Meadow", "BloomEndS")) }
        val spec = JobCodec.spec(job)
        assertNull(spec.types)
        assertNull(spec.zone)
        assertNull(spec.deadlineS)
    }

    @ParameterizedTest
    @CsvSource(
        "done,DONE",
        "halted,STOPPED",
        "peers,PEERS",
        "incomplete,INCOMPLETE",
        "error,ERROR",
        "full,NO_ROOM",
        "busy,BUSY",
        "no_such,UNKNOWN_JOB",
        "unheard-of,ERROR",
    )
    fun `a termination reason is mapped, and an unknown one becomes an error`(reason: String, expected: TerminationReason) {
        val heartbeat =
            WorkerCodec.heartbeat(
                """{"Hive":"vm-1","Address":"10.1.0.1:9000","HiveKind":"g8","Meadow":"a","BorrowedHives":true,"Flight":1,
            "Waggle":88,"Crown":41,"Cells":[{"Cell":"j-1/3","Sortie":2,"Stage":"ended","Cause":"$reason"}]}""".toByteArray(),
            )
        assertEquals(TaskState.Ended(expected, false), heartbeat.tasks.single().state)
        assertEquals(3, heartbeat.tasks.single().number)
    }

    private fun frame(): ByteArray {
        val row = TaskRow(1, 2, 0, Priority.HIGH, 99, Resources(1.0, 2.0, 3.0), 4, 5.5, 3, 1, true, false, 2, true, listOf(1, 0))
        val summary =
            Summary(
                listOf(FreeCapacity(3, Resources(8.0, 1.0, 2.0), 0, 1, true, intArrayOf(4, 9))),
                listOf(TeamShare(2.0, 7)),
                4,
                listOf(row),
            )
        return PeerCodec.encode(PeerMessage.SummaryResponse(5, true, QuotaPlan.NONE, 2.5, summary))
    }

    @Test
    fun `a summary is decoded as it was encoded`() {
        val decoded = PeerCodec.decode(Buffer().write(frame())) as PeerMessage.SummaryResponse
        assertEquals(listOf(1, 0), decoded.summary.rows.single().remainingPerZone)
        assertEquals(Priority.HIGH, decoded.summary.rows.single().priority)
        assertArrayEquals(intArrayOf(4, 9), decoded.summary.capacities.single().images)
        assertArrayEquals(frame(), PeerCodec.encode(decoded))
    }

    @Test
    fun `a truncated frame is not decoded yet, and a corrupt one is decoded or malformed, without any other error`() {
        val whole = frame()
        for (length in whole.indices) assertNull(PeerCodec.decode(Buffer().write(whole, 0, length)))
        for (index in whole.indices) {
            val corrupt = whole.copyOf().also { it[index] = (it[index].toInt() xor 0x7f).toByte() }
            try {
                PeerCodec.decode(Buffer().write(corrupt))
            } catch (e: MalformedException) {
                assertEquals(false, e.message.isNullOrEmpty())
            }
        }
    }

    private fun fields(statuses: Map<String, JobStatus>) = statuses.mapValues { (_, status) -> status.run { listOf(stage, done, running) } }

    @Test
    fun `coalesced status queries and their response are decoded as they were encoded`() {
        val ids = List(400) { "j-%06d".format(it) }
        assertEquals(PeerMessage.StatusQuery(ids), PeerCodec.decode(Buffer().write(PeerCodec.encode(PeerMessage.StatusQuery(ids)))))
        val stages = JobStage.entries
        val statuses = ids.take(300).withIndex().associate { (i, id) -> id to JobStatus(stages[i % stages.size], i, 2 * i) }
        val decoded = PeerCodec.decode(Buffer().write(PeerCodec.encode(PeerMessage.StatusResponse(statuses)))) as PeerMessage.StatusResponse
        assertEquals(fields(statuses), fields(decoded.jobs))
        val corrupt = PeerCodec.encode(PeerMessage.StatusResponse(mapOf("j-1" to JobStatus(JobStage.ACTIVE, 1, 1))))
        corrupt[corrupt.size - 9] = 99
        assertThrows(MalformedException::class.java) { PeerCodec.decode(Buffer().write(corrupt)) }
    }

    @ParameterizedTest(name = "{0}")
    @CsvSource(
        delimiter = '|',
        value = [
            "complete job                   | {valid}                                                                          | " +
                "j-000412 train vision HIGH",
            "any order, after other fields  | {'Cells':[1,{'Ref':'no'}],'Precedence':'low','Comb':'c','Colony':'t','Ref':'j-1'} | " +
                "j-1 c t LOW",
            "truncated after the head       | {'Ref':'j-1','Comb':'c','Colony':'t','Precedence':'low',                         | " +
                "j-1 c t LOW",
            "truncated within the head      | {'Ref':'j-1','Comb':'c','Colony':'t'                                             | null",
            "invalid id                     | {'Ref':'x','Comb':'c','Colony':'t','Precedence':'low'}                           | null",
            "field that is not a text       | {'Ref':'j-1','Comb':7,'Colony':'t','Precedence':'low'}                           | null",
            "unknown priority               | {'Ref':'j-1','Comb':'c','Colony':'t','Precedence':'now'}                         | null",
            "not an object                  | ['Ref']                                                                          | null",
            "not JSON                       | Ref                                                                              | null",
        ],
    )
    fun `the head of a job is read if its fields are valid, whatever follows it`(case: String, body: String, expected: String) {
        val head = JobCodec.head((if (body == "{valid}") validJob else body.replace('\'', '"')).toByteArray())
        assertEquals(expected, head?.run { "$id $jobClass $team $priority" }.toString(), case)
    }
}
