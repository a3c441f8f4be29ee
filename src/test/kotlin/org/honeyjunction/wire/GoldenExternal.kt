package org.honeyjunction.wire

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.IntNode
import org.honeyjunction.core.capacity.Offer
import org.honeyjunction.core.control.jobs.Alternative
import org.honeyjunction.core.control.jobs.Explanation
import org.honeyjunction.core.control.jobs.RuleLine
import org.honeyjunction.core.control.leader.JobStatus
import org.honeyjunction.core.control.messages.Command
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.core.control.messages.Heartbeat
import org.honeyjunction.core.control.messages.ListedMachine
import org.honeyjunction.core.control.messages.ReportedTask
import org.honeyjunction.core.control.messages.TaskState
import org.honeyjunction.core.control.messages.TerminationReason
import org.honeyjunction.core.model.JobStage

/** Examples of messages to and from workers, the cloud, the key-value store and users, for [GoldenBytesTest]. */
internal object GoldenExternal {
    private val commands = listOf(Command.Start("j-000412/3", 5), Command.Stop("j-000413/4", 6, 2.5), Command.Forget("j-000414/7", 8))
    private val activeStates = listOf(TaskState.Fetching, TaskState.Gathering, TaskState.Running, TaskState.Saving)
    private val endedStates = TerminationReason.entries.mapIndexed { i, cause -> TaskState.Ended(cause, i % 2 == 0) }
    private val heartbeat =
        Heartbeat(
            "vm-é1",
            "10.1.0.1:9000",
            "g8",
            "zöne-a",
            true,
            12,
            88,
            41,
            30.5,
            (activeStates + endedStates).mapIndexed { i, state -> ReportedTask("j-00041$i", 3 + i, 50L + i, state) },
        )
    private val minimalHeartbeat = heartbeat.copy(spot = false, spotNoticeS = null, tasks = emptyList())

    private fun reencodeCommands(body: ByteArray) =
        CounterpartCodec.commands(body).let { WorkerCodec.commands(it.token, it.session, it.commands) }

    private fun reencodeHeartbeatResponse(body: ByteArray) =
        CounterpartCodec.commands(body).let {
            WorkerCodec.heartbeatResponse(it.token, it.commands)
        }

    private val workers: List<GoldenExample> =
        listOf(
            GoldenExample("worker/answer.json", ::reencodeHeartbeatResponse) { WorkerCodec.heartbeatResponse(41, commands) },
            GoldenExample("worker/commands.json", ::reencodeCommands) { WorkerCodec.commands(42, 12, commands) },
            GoldenExample(
                "worker/redirect.json",
                { WorkerCodec.redirect(CounterpartCodec.redirect(it)) },
            ) { WorkerCodec.redirect("nöde-2") },
            GoldenExample(
                "worker/redirect-to-nobody.json",
                { WorkerCodec.redirect(CounterpartCodec.redirect(it)) },
            ) { WorkerCodec.redirect(null) },
            GoldenExample(
                "worker/report.json",
                { CounterpartCodec.heartbeat(WorkerCodec.heartbeat(it)) },
            ) { CounterpartCodec.heartbeat(heartbeat) },
            GoldenExample("worker/report-without-options.json", { CounterpartCodec.heartbeat(WorkerCodec.heartbeat(it)) }) {
                CounterpartCodec.heartbeat(minimalHeartbeat)
            },
        )

    private val scaleOut = Effect.ScaleOut("rent-41-7é", Offer(3, 2, true), "g8", "zöne-a", 5)
    private val machines =
        listOf(
            ListedMachine("vm-é1", "10.1.0.1:9000", "g8", "zöne-a", true, false, 12.5),
            ListedMachine("vm-2", null, "c4", "b", false, true, 0.25),
            ListedMachine("vm-3", "10.1.0.3:9000", "g8", "c", false, false, 99.0),
        )

    private fun reencodeScaleOut(body: ByteArray) =
        CounterpartCodec.scaleOutRequest(body).let {
            CloudCodec.scaleOut(Effect.ScaleOut(it.requestId, Offer(0, 0, it.spot), it.type, it.zone, it.count))
        }

    private fun reencodeInstancePage(body: ByteArray) =
        CloudCodec.instancePage(body).let { page ->
            CounterpartCodec.instancePage(page.machines, { it != "vm-3" }, page.more)
        }

    private val cloud: List<GoldenExample> =
        listOf(
            GoldenExample("cloud/rent.json", ::reencodeScaleOut) { CloudCodec.scaleOut(scaleOut) },
            GoldenExample("cloud/names.json", { CloudCodec.names(CloudCodec.readNames(it)) }) { CloudCodec.names(listOf("vm-é1", "vm-2")) },
            GoldenExample(
                "cloud/machines.json",
                ::reencodeInstancePage,
            ) { CounterpartCodec.instancePage(machines, { it != "vm-3" }, true) },
        )

    private val value: JsonNode = Json.read("""{"term":41,"holder":"nöde-1"}""".toByteArray())
    private val writes = listOf(Write("lead", value, 7_001), Write("j/j-000412", IntNode(5)), Write("f/j-000413", null))
    private val entries = listOf(Triple("lead", value, 900L), Triple("term", IntNode(41) as JsonNode, 901L))
    private val changes = listOf(Triple("lead", value, 902L), Triple("j/j-000412", null, 903L))

    private fun reencodeCommit(body: ByteArray): ByteArray {
        val request = CounterpartCodec.commit(body)
        val conditions = request.conditions.map { Condition(it.key, it.value) }
        return KeyValueCodec.commit(conditions, request.writes.map { (key, json, lease) -> Write(key, json, lease) })
    }

    private fun reencodeEntry(body: ByteArray) =
        KeyValueCodec.entry(body).let { CounterpartCodec.entry(it.key, it.value!!, it.version, it.lease) }

    private fun reencodeEntryPage(body: ByteArray) =
        KeyValueCodec.entryPage(body).let { page ->
            CounterpartCodec.entryPage(page.entries.map { Triple(it.key, it.value!!, it.version) }, page.more, page.revision)
        }

    private fun reencodeChanges(body: ByteArray) =
        KeyValueCodec.changes(body).let { (revision, changes) ->
            CounterpartCodec.changes(changes.map { Triple(it.key, it.value, it.version) }, revision)
        }

    private fun reencodeConflict(body: ByteArray) = CounterpartCodec.conflict(KeyValueCodec.failedKeys(body), KeyValueCodec.revision(body))

    private val keyValueStore: List<GoldenExample> =
        listOf(
            GoldenExample(
                "state/commit.json",
                ::reencodeCommit,
            ) { KeyValueCodec.commit(listOf(Condition("lead", 900), Condition("term", 0)), writes) },
            GoldenExample("state/commit-of-nothing.json", ::reencodeCommit) { KeyValueCodec.commit(emptyList(), emptyList()) },
            GoldenExample(
                "state/lease.json",
                { KeyValueCodec.leaseRequest(CounterpartCodec.leaseTtlMs(it)) },
            ) { KeyValueCodec.leaseRequest(3_500) },
            GoldenExample(
                "state/lease-granted.json",
                { CounterpartCodec.lease(KeyValueCodec.leaseId(it)) },
            ) { CounterpartCodec.lease(7_001) },
            GoldenExample(
                "state/revision.json",
                { CounterpartCodec.revision(KeyValueCodec.revision(it)) },
            ) { CounterpartCodec.revision(904) },
            GoldenExample("state/conflict.json", ::reencodeConflict) { CounterpartCodec.conflict(listOf("lead", "j/j-000412"), 905) },
            GoldenExample("state/entry.json", ::reencodeEntry) { CounterpartCodec.entry("lead", value, 900, 7_001) },
            GoldenExample("state/entry-without-lease.json", ::reencodeEntry) { CounterpartCodec.entry("term", IntNode(41), 901, null) },
            GoldenExample("state/rows.json", ::reencodeEntryPage) { CounterpartCodec.entryPage(entries, true, 906) },
            GoldenExample("state/changes.json", ::reencodeChanges) { CounterpartCodec.changes(changes, 907) },
        )

    private val explanations =
        listOf(
            Explanation(
                "j-000412/3",
                "vm-é1",
                1_500,
                23,
                listOf(
                    RuleLine("nöt beside", "must not beside", true, true, null),
                    RuleLine("near", "prefer label rack", false, false, 12.5),
                ),
                3.25,
                6.2,
                Alternative("vm-2", 1.75, "nöt beside", "must not beside"),
                emptyList(),
            ),
            Explanation("j-000412/4", "vm-2", null, 24, emptyList(), 4.5, 0.5, null, emptyList()),
            Explanation("j-000412/5", null, null, 25, emptyList(), 0.0, 0.0, null, listOf("no room för it", "its team is at its limit")),
        )

    private fun encodedExplanations() = ExplainCodec.write("j-000412", explanations, 9_876, true)

    private fun statusResponses() =
        Json.write(
            Json.newArray().apply {
                for (stage in JobStage.entries) {
                    for (running in listOf(0, 3)) {
                        for (counts in listOf(true, false)) {
                            add(Json.read(JobCodec.statusResponse("j-000412", JobStatus(stage, 13, running), counts)))
                        }
                    }
                }
            },
        )

    private fun reencodeJob(body: ByteArray) = Json.write(JobCodec.write(JobCodec.spec(Json.readObject(body))))

    /** Every job kind and every priority occurs at least once. */
    private val jobs =
        listOf(
            "ensemble" to GoldenStored.gang,
            "batch-without-options" to GoldenStored.array,
            "standing" to GoldenStored.service,
            "batch" to GoldenStored.normalPriority,
        )

    private val users: List<GoldenExample> =
        jobs.map { (name, spec) ->
            GoldenExample("user/job-$name.json", ::reencodeJob) { Json.write(JobCodec.write(spec)) }
        } +
            listOf(
                GoldenExample("user/answer.json") { JobCodec.statusResponse("j-000412", JobStatus(JobStage.ACTIVE, 13, 3), true) },
                GoldenExample("user/answers.json", encode = ::statusResponses),
                GoldenExample("user/error.json") { Json.error("Ref is \"ungültig\"") },
                GoldenExample("user/explained.json", encode = ::encodedExplanations),
                GoldenExample(
                    "user/explained-lines.txt",
                ) { ExplainCodec.lines(Json.read(encodedExplanations())).joinToString("\n").toByteArray() },
                GoldenExample("user/response.hex") {
                    val headers = linkedMapOf("X-Index" to "12", "Content-Type" to "text/plain")
                    HttpWriter.response(Response(429, Json.error("später"), 7, true, headers))
                },
                GoldenExample(
                    "user/request.hex",
                ) { HttpWriter.request("10.1.0.1:9000", Request("POST", "/jobs?x=1", Json.error("später"))) },
            )

    val all: List<GoldenExample> = workers + cloud + keyValueStore + users + GoldenExchanges.all
}
