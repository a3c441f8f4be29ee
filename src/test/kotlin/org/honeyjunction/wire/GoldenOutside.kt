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

/** What goes to and comes from workers, the cloud, the state service and users, for [GoldenBytesTest]. */
internal object GoldenOutside {
    private val commands = listOf(Command.Start("j-000412/3", 5), Command.Stop("j-000413/4", 6, 2.5), Command.Forget("j-000414/7", 8))
    private val going = listOf(TaskState.Fetching, TaskState.Gathering, TaskState.Running, TaskState.Saving)
    private val ended = TerminationReason.entries.mapIndexed { i, cause -> TaskState.Ended(cause, i % 2 == 0) }
    private val report =
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
            (going + ended).mapIndexed { i, state -> ReportedTask("j-00041$i", 3 + i, 50L + i, state) },
        )
    private val plainReport = report.copy(spot = false, spotNoticeS = null, tasks = emptyList())

    private fun commandsAgain(body: ByteArray) =
        CounterpartCodec.commands(body).let { WorkerCodec.commands(it.token, it.session, it.commands) }

    private fun answerAgain(body: ByteArray) = CounterpartCodec.commands(body).let { WorkerCodec.heartbeatResponse(it.token, it.commands) }

    private val workers: List<Golden> =
        listOf(
            Golden("worker/answer.json", ::answerAgain) { WorkerCodec.heartbeatResponse(41, commands) },
            Golden("worker/commands.json", ::commandsAgain) { WorkerCodec.commands(42, 12, commands) },
            Golden("worker/redirect.json", { WorkerCodec.redirect(CounterpartCodec.redirect(it)) }) { WorkerCodec.redirect("nöde-2") },
            Golden(
                "worker/redirect-to-nobody.json",
                { WorkerCodec.redirect(CounterpartCodec.redirect(it)) },
            ) { WorkerCodec.redirect(null) },
            Golden("worker/report.json", { CounterpartCodec.heartbeat(WorkerCodec.heartbeat(it)) }) { CounterpartCodec.heartbeat(report) },
            Golden("worker/report-without-options.json", { CounterpartCodec.heartbeat(WorkerCodec.heartbeat(it)) }) {
                CounterpartCodec.heartbeat(plainReport)
            },
        )

    private val rent = Effect.ScaleOut("rent-41-7é", Offer(3, 2, true), "g8", "zöne-a", 5)
    private val machines =
        listOf(
            ListedMachine("vm-é1", "10.1.0.1:9000", "g8", "zöne-a", true, false, 12.5),
            ListedMachine("vm-2", null, "c4", "b", false, true, 0.25),
            ListedMachine("vm-3", "10.1.0.3:9000", "g8", "c", false, false, 99.0),
        )

    private fun rentAgain(body: ByteArray) =
        CounterpartCodec.scaleOutRequest(body).let {
            CloudCodec.scaleOut(Effect.ScaleOut(it.requestId, Offer(0, 0, it.spot), it.type, it.zone, it.count))
        }

    private fun machinesAgain(body: ByteArray) =
        CloudCodec.instancePage(body).let { page ->
            CounterpartCodec.instancePage(page.machines, { it != "vm-3" }, page.more)
        }

    private val cloud: List<Golden> =
        listOf(
            Golden("cloud/rent.json", ::rentAgain) { CloudCodec.scaleOut(rent) },
            Golden("cloud/names.json", { CloudCodec.names(CloudCodec.readNames(it)) }) { CloudCodec.names(listOf("vm-é1", "vm-2")) },
            Golden("cloud/machines.json", ::machinesAgain) { CounterpartCodec.instancePage(machines, { it != "vm-3" }, true) },
        )

    private val value: JsonNode = Json.read("""{"term":41,"holder":"nöde-1"}""".toByteArray())
    private val writes = listOf(Write("lead", value, 7_001), Write("j/j-000412", IntNode(5)), Write("f/j-000413", null))
    private val rows = listOf(Triple("lead", value, 900L), Triple("term", IntNode(41) as JsonNode, 901L))
    private val changes = listOf(Triple("lead", value, 902L), Triple("j/j-000412", null, 903L))

    private fun commitAgain(body: ByteArray): ByteArray {
        val call = CounterpartCodec.commit(body)
        val conditions = call.conditions.map { Condition(it.key, it.value) }
        return KeyValueCodec.commit(conditions, call.writes.map { (key, v, lease) -> Write(key, v, lease) })
    }

    private fun entryAgain(body: ByteArray) =
        KeyValueCodec.entry(body).let { CounterpartCodec.entry(it.key, it.value!!, it.version, it.lease) }

    private fun rowsAgain(body: ByteArray) =
        KeyValueCodec.entryPage(body).let { page ->
            CounterpartCodec.entryPage(page.entries.map { Triple(it.key, it.value!!, it.version) }, page.more, page.revision)
        }

    private fun changesAgain(body: ByteArray) =
        KeyValueCodec.changes(body).let { (revision, all) ->
            CounterpartCodec.changes(all.map { Triple(it.key, it.value, it.version) }, revision)
        }

    private fun conflictAgain(body: ByteArray) = CounterpartCodec.conflict(KeyValueCodec.failedKeys(body), KeyValueCodec.revision(body))

    private val stateService: List<Golden> =
        listOf(
            Golden(
                "state/commit.json",
                ::commitAgain,
            ) { KeyValueCodec.commit(listOf(Condition("lead", 900), Condition("term", 0)), writes) },
            Golden("state/commit-of-nothing.json", ::commitAgain) { KeyValueCodec.commit(emptyList(), emptyList()) },
            Golden(
                "state/lease.json",
                { KeyValueCodec.leaseRequest(CounterpartCodec.leaseTtlMs(it)) },
            ) { KeyValueCodec.leaseRequest(3_500) },
            Golden("state/lease-granted.json", { CounterpartCodec.lease(KeyValueCodec.leaseId(it)) }) { CounterpartCodec.lease(7_001) },
            Golden("state/revision.json", { CounterpartCodec.revision(KeyValueCodec.revision(it)) }) { CounterpartCodec.revision(904) },
            Golden("state/conflict.json", ::conflictAgain) { CounterpartCodec.conflict(listOf("lead", "j/j-000412"), 905) },
            Golden("state/entry.json", ::entryAgain) { CounterpartCodec.entry("lead", value, 900, 7_001) },
            Golden("state/entry-without-lease.json", ::entryAgain) { CounterpartCodec.entry("term", IntNode(41), 901, null) },
            Golden("state/rows.json", ::rowsAgain) { CounterpartCodec.entryPage(rows, true, 906) },
            Golden("state/changes.json", ::changesAgain) { CounterpartCodec.changes(changes, 907) },
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

    private fun explained() = ExplainCodec.write("j-000412", explanations, 9_876, true)

    private fun answers() =
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

    private fun jobAgain(body: ByteArray) = Json.write(JobCodec.write(JobCodec.spec(Json.readObject(body))))

    /** Of each kind and each priority one at least. */
    private val jobs =
        listOf(
            "ensemble" to GoldenStored.gang,
            "batch-without-options" to GoldenStored.array,
            "standing" to GoldenStored.service,
            "batch" to GoldenStored.plain,
        )

    private val users: List<Golden> =
        jobs.map { (name, spec) ->
            Golden("user/job-$name.json", ::jobAgain) { Json.write(JobCodec.write(spec)) }
        } +
            listOf(
                Golden("user/answer.json") { JobCodec.statusResponse("j-000412", JobStatus(JobStage.ACTIVE, 13, 3), true) },
                Golden("user/answers.json", encode = ::answers),
                Golden("user/error.json") { Json.error("Ref is \"ungültig\"") },
                Golden("user/explained.json", encode = ::explained),
                Golden("user/explained-lines.txt") { ExplainCodec.lines(Json.read(explained())).joinToString("\n").toByteArray() },
                Golden("user/response.hex") {
                    val headers = linkedMapOf("X-Index" to "12", "Content-Type" to "text/plain")
                    HttpWriter.response(Response(429, Json.error("später"), 7, true, headers))
                },
                Golden("user/request.hex") { HttpWriter.request("10.1.0.1:9000", Request("POST", "/jobs?x=1", Json.error("später"))) },
            )

    val all: List<Golden> = workers + cloud + stateService + users + GoldenTalks.all
}
