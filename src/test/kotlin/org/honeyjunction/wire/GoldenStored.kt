package org.honeyjunction.wire

import com.fasterxml.jackson.databind.JsonNode
import org.honeyjunction.app.Keys
import org.honeyjunction.core.boot.BootTimeCheckpoint
import org.honeyjunction.core.control.journal.JournalPageRecord
import org.honeyjunction.core.control.journal.RecordedStart
import org.honeyjunction.core.control.messages.LeaderCheckpoint
import org.honeyjunction.core.control.messages.MachineCheckpoint
import org.honeyjunction.core.failures.JobFailureCheckpoint
import org.honeyjunction.core.fairness.FairnessGroup
import org.honeyjunction.core.fairness.ServedCount
import org.honeyjunction.core.model.Cluster
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobSpec
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.MachineType
import org.honeyjunction.core.model.NameTable
import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.model.Resources
import org.honeyjunction.nomad.registry.GroupBasis
import org.honeyjunction.nomad.registry.Head
import org.honeyjunction.nomad.registry.HeadCodec
import org.honeyjunction.nomad.registry.Version
import org.honeyjunction.nomad.registry.VersionState
import java.util.BitSet

/** Examples of keys and values in the key-value store, for [GoldenBytesTest]. */
internal object GoldenStored {
    /** Keys by their purpose. */
    val keys: Map<String, String> =
        linkedMapOf(
            "who holds the term" to Keys.LEADER_RECORD,
            "field of the holder" to Keys.LEADER_FIELD,
            "highest term" to Keys.TERM,
            "machine types" to Keys.MACHINE_TYPES,
            "prefix of jobs" to Keys.JOBS,
            "prefix of final records" to Keys.TERMINAL_RECORDS,
            "prefix of pages" to Keys.JOURNAL_PAGES,
            "prefix of hints" to Keys.MACHINE_CHECKPOINTS,
            "marks" to Keys.LEADER_CHECKPOINT,
            "head of the rules" to Keys.RULES,
            "prefix of rule parts" to Keys.RULE_PARTS,
            "prefix of registered heads" to Keys.NOMAD_HEADS,
            "prefix of registered parts" to Keys.NOMAD_PARTS,
            "a registered head" to Keys.nomadHead("c0ffee"),
            "a registered part" to Keys.nomadPart("born-7", "d1ge57", 12),
            "a rule part" to Keys.rulePart("4a54", 3),
            "a job" to Keys.job("j-000412"),
            "a final record" to Keys.terminalRecord("j-000413"),
            "a page" to Keys.journalPage(17),
            "a page of hints" to Keys.machineCheckpoints(5),
        )

    /** A job with every optional field. */
    val gang =
        JobSpec(
            "j-000412",
            "träin",
            "visión",
            JobKind.GANG,
            Priority.HIGH,
            16,
            Resources(8.5, 1.0, 64.25),
            "img-ß7",
            6.2,
            listOf("g8", "g16ö"),
            "zöne-a",
            true,
            false,
            true,
            240.5,
            30.25,
            4.125,
            900.75,
        )

    /** A job without optional fields. */
    val array =
        JobSpec(
            "j-000413",
            "sweep",
            "speech",
            JobKind.ARRAY,
            Priority.LOW,
            20_000,
            Resources(0.5, 0.0, 1.75),
            "img-08",
            0.25,
            null,
            null,
            false,
            true,
            false,
            3.0,
            0.0,
            1.0,
            null,
        )
    val service = array.copy(id = "j-000414", kind = JobKind.SERVICE, priority = Priority.PRODUCTION, types = emptyList(), zone = "b")
    val normalPriority = gang.copy(id = "j-000415", kind = JobKind.ARRAY, priority = Priority.NORMAL, deadlineS = null)

    private fun numbers(vararg numbers: Int) = BitSet().apply { numbers.forEach { set(it) } }

    /**
     * Several starts have the same machine and attempt. The finished tasks of one job are encoded as ranges, those of the other (about
     * every second number) as a bitmap.
     */
    private val page =
        JournalPageRecord(
            17,
            900,
            listOf(
                RecordedStart("j-000412", 3, 5, "vm-é1"),
                RecordedStart("j-000412", 4, 5, "vm-é1"),
                RecordedStart("j-000412", 9, 5, "vm-é1"),
                RecordedStart("j-000412", 3, 6, "vm-2"),
                RecordedStart("j-000413", 2_048, 7, "vm-é1"),
            ),
            linkedMapOf(
                "j-000413" to numbers(0, 1, 2, 17, 1_024, 1_030),
                "j-000414" to numbers(*IntArray(300) { 2_048 + it * 2 + it % 3 }),
            ),
        )
    private val machineCheckpoints =
        listOf(
            MachineCheckpoint(
                "vm-é1",
                "10.1.0.1:9000",
                "g8",
                "zöne-a",
                true,
                12,
                linkedMapOf("img-ß7" to 6.2, "img-08" to 0.25),
                1_700_000_000_123,
            ),
            MachineCheckpoint("vm-2", null, "c4", "b", false, 13, emptyMap(), null),
        )
    private val leaderCheckpoint =
        LeaderCheckpoint(
            listOf(
                JobFailureCheckpoint("j-000412", true, 5, 2, 1_700_000_000_001),
                JobFailureCheckpoint("j-000413", false, 6, 3, 1_700_000_000_002),
            ),
            listOf(BootTimeCheckpoint("g8", "zöne-a", true, 40, 31_000, 62_500), BootTimeCheckpoint("c4", "b", false, 41, 32_000, 63_500)),
            linkedMapOf(
                FairnessGroup(FairnessGroup.Kind.CLASS, "träin") to ServedCount(30, 20, 10),
                FairnessGroup(FairnessGroup.Kind.CLASS, "sweep") to ServedCount(31, 21, 11),
                FairnessGroup(FairnessGroup.Kind.TEAM, "visión") to ServedCount(32, 22, 12),
                FairnessGroup.ofSize("träin", 20) to ServedCount(33, 23, 13),
            ),
        )

    /** A head with a version in each state. */
    private val head =
        Head(
            "späce",
            "wéb",
            "born-7",
            true,
            VersionState.entries.mapIndexed { i, state ->
                Version(
                    10L + i,
                    "d1ge57-$i",
                    2 + i,
                    state,
                    i % 2 == 0,
                    i % 3 == 0,
                    listOf(GroupBasis("frönt", 5L + i, 3L, "def-$i", 100 + i, 40 + i), GroupBasis("back", 6L + i, null, "deg-$i", 0, 1)),
                    1_700_000_000_000 + i,
                    if (i == 1) 9L else null,
                )
            },
            true,
            "späce/wéb/periodic",
            1_700_000_100_000,
            true,
        )
    private val minimalHead =
        head.copy(
            service = false,
            versions = head.versions.take(1),
            purge = false,
            parent = null,
            launchedMs = 0,
            template = false,
        )

    private val zones = listOf("zöne-a", "b", "c")
    private val types =
        listOf(
            MachineType("g8", Resources(32.0, 8.0, 256.5), 400.25, 1.5, 12.75, 4.125, 95.5, listOf(0, 2)),
            MachineType("c4ö", Resources(16.0, 0.0, 64.0), 100.0, 0.5, 0.75, 0.25, 30.0, listOf(1)),
        )

    private fun cluster() = Cluster(NameTable().apply { zones.forEach { index(it) } }, emptyList(), 3_000, 500, 2_000)

    private fun value(name: String, encode: () -> JsonNode, reencode: (JsonNode) -> JsonNode) =
        GoldenExample("stored/$name.json", { Json.write(reencode(Json.read(it))) }) { Json.write(encode()) }

    private fun record(name: String, spec: JobSpec, owner: String, created: Long, stage: JobStage) =
        value(name, { JobCodec.record(spec, owner, created, stage) }) {
            val read = JobCodec.stored(it, 7)
            JobCodec.record(read.spec, read.owner, read.createdAtWall, read.stage)
        }

    private fun reencodePage(json: JsonNode): JsonNode {
        val page = JournalPageCodec.read(17, 900, json)
        return JournalPageCodec.write(page, checkNotNull(JournalPageCodec.writeNumber(json)))
    }

    /** A page of an earlier version, which encoded task numbers as a number or as an array of numbers. */
    private const val EARLIER_PAGE = """{"write":8,"starts":["j-1",3,5,"vm-é1","j-2",[4,6,7],9,"vm-2"],"done":{"j-3":[1,2,3],"j-4":5}}"""

    /** The machine types as the leader stores the cloud's response. */
    private fun storedMachineTypes() = checkNotNull(Write(Keys.MACHINE_TYPES, Json.read(CounterpartCodec.machineTypes(types, zones))).json)

    private fun reencodeMachineTypes(body: ByteArray): ByteArray {
        val cluster = cluster()
        return CounterpartCodec.machineTypes(CloudCodec.machineTypes(body, cluster).values.toList(), zones)
    }

    val all: List<GoldenExample> =
        listOf(
            GoldenExample("stored/keys.txt") { keys.entries.joinToString("\n") { (purpose, key) -> "$purpose: $key" }.toByteArray() },
            value("page", { JournalPageCodec.write(page, 987_654_321) }, ::reencodePage),
            value("page-of-earlier-versions-read", { reencodePage(Json.read(EARLIER_PAGE.toByteArray())) }, ::reencodePage),
            value(
                "hints",
                { CheckpointCodec.writeMachines(machineCheckpoints) },
            ) { CheckpointCodec.writeMachines(CheckpointCodec.readMachines(it)) },
            value(
                "marks",
                { CheckpointCodec.writeLeader(leaderCheckpoint) },
            ) { CheckpointCodec.writeLeader(CheckpointCodec.readLeader(it)) },
            record("job-active", gang, "nöde-1", 1_700_000_000_321, JobStage.ACTIVE),
            record("job-active-without-options", array, "node-2", 1_700_000_000_322, JobStage.ACTIVE),
            record("final-done", service, "node-3", 1_700_000_000_323, JobStage.DONE),
            record("final-cancelled", normalPriority, "nöde-1", 1_700_000_000_324, JobStage.CANCELLED),
            value("registered-head", { HeadCodec.write(head) }) { HeadCodec.write(HeadCodec.read(it)) },
            value("registered-head-without-options", { HeadCodec.write(minimalHead) }) { HeadCodec.write(HeadCodec.read(it)) },
            GoldenExample("stored/machine-types.json", ::reencodeMachineTypes, ::storedMachineTypes),
        )
}
