package org.honeyjunction.app.nomad

import com.fasterxml.jackson.databind.node.ObjectNode
import org.honeyjunction.app.Keys
import org.honeyjunction.app.Node
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.Machine
import org.honeyjunction.core.model.MachinePhase
import org.honeyjunction.core.model.Phase
import org.honeyjunction.wire.JobCodec
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.Request
import org.honeyjunction.wire.Response
import org.honeyjunction.wire.count
import org.honeyjunction.wire.list
import org.honeyjunction.wire.listOrEmpty
import org.honeyjunction.wire.text

/** A task of a native job where it is now. */
class NativeTask(val number: Int, val phase: String, val machine: String?, val attempt: Long)

/** The status of a native job as the leader or its record tells it. */
class NativeJob(val stage: JobStage, val done: Int, val running: Int, val tasks: List<NativeTask>)

/** A machine for node listings; [phase] by its name on the wire. */
class NativeMachine(val name: String, val address: String, val type: String, val zone: String, val phase: String, val tasks: Int)

/** What the leader knows of native jobs and machines, for whichever controller is asked. */
class NativeStatus(private val node: Node) {
    fun handles(path: String) = path == TASKS || path == MACHINES

    /** At the leader: what it knows. */
    fun answer(r: Request): Response {
        val driver = node.driverWithLease ?: return Response(503, retryAfterS = 1)
        return if (r.path == MACHINES) {
            Response(200, machines(driver.leader.state.machines))
        } else {
            try {
                Response(200, tasks(Json.readObject(r.body).list("ids").mapNotNull { it.textValue() }))
            } catch (e: MalformedException) {
                Response(400, Json.error(e.message!!))
            }
        }
    }

    private fun tasks(ids: List<String>): ByteArray {
        val state = node.driverWithLease?.leader?.state
        val o = Json.newObject()
        var left = MOST_TASKS
        for (id in ids) {
            val job = state?.job(id) ?: continue
            val j = o.putObject(id).put("stage", job.stage.name).put("done", job.doneCount).put("running", job.running)
            val tasks = j.putArray("tasks")
            for (t in job.tasks) {
                if (left-- <= 0) break
                val p = t.placements.firstOrNull()
                tasks
                    .addArray()
                    .add(
                        t.number,
                    ).add(if (t.done) "done" else p?.phase?.wireName ?: "waiting")
                    .add(p?.machine?.name)
                    .add(
                        p?.attempt ?: 0,
                    )
            }
        }
        return Json.write(o)
    }

    private fun machines(all: Collection<Machine>): ByteArray {
        val cluster = node.settings.cluster
        val list = Json.newArray()
        all.filter { it.phase != MachinePhase.GONE && it.type >= 0 && it.zone >= 0 }.take(MOST_MACHINES).forEach { m ->
            list
                .addObject()
                .put(
                    "name",
                    m.name,
                ).put("address", m.address.orEmpty())
                .put("type", cluster.typeNames.name(m.type))
                .put("zone", cluster.zones.name(m.zone))
                .put("phase", m.phase.wireName)
                .put("tasks", m.placements.size)
        }
        return Json.write(Json.newObject().set("machines", list))
    }

    private suspend fun ask(path: String, body: ByteArray): ObjectNode? {
        val r = Request(if (path == MACHINES) "GET" else "POST", path, body)
        val answer = if (node.isLeader) answer(r) else node.jobApi.forward(r)
        return answer?.takeIf { it.status == 200 }?.let { Json.readObject(it.body) }
    }

    /** Null where no leader answers. What it does not know is read from the records. */
    suspend fun jobs(ids: List<String>): Map<String, NativeJob>? {
        val known = HashMap<String, NativeJob>()
        for (some in ids.chunked(CHUNK)) {
            val o = ask(TASKS, Json.write(Json.newObject().apply { putArray("ids").also { a -> some.forEach(a::add) } })) ?: return null
            o.properties().forEach { (id, j) ->
                val tasks =
                    j
                        .listOrEmpty(
                            "tasks",
                        ).map { NativeTask(it[0].intValue(), it[1].textValue(), it[2].textValue(), it[3].longValue()) }
                known[id] = NativeJob(JobStage.valueOf(j.text("stage")), j.count("done").toInt(), j.count("running").toInt(), tasks)
            }
        }
        for (id in ids) {
            if (id !in known) {
                val value = node.state.get(Keys.terminalRecord(id)).value ?: continue
                val stored = JobCodec.stored(value, 0)
                val done = stored.stage == JobStage.DONE
                known[id] =
                    NativeJob(
                        stored.stage,
                        if (done) stored.spec.tasks else 0,
                        0,
                        List(minOf(stored.spec.tasks, MOST_TASKS)) {
                            NativeTask(it, if (done) "done" else "cancelled", null, 0)
                        },
                    )
            }
        }
        return known
    }

    suspend fun machines(): List<NativeMachine>? =
        ask(MACHINES, Response.NO_BODY)?.list("machines")?.map {
            NativeMachine(
                it.text("name"),
                it.get("address").textValue(),
                it.text("type"),
                it.text("zone"),
                it.text("phase"),
                it.count("tasks").toInt(),
            )
        }

    companion object {
        const val TASKS = "/internal/tasks"
        const val MACHINES = "/internal/machines"
        private const val MOST_TASKS = 4_000
        private const val MOST_MACHINES = 4_000
        private const val CHUNK = 1_000
    }
}

/** The name of a task's phase between controllers and in allocations; it outlives renames of [Phase]. */
private val Phase.wireName get() = if (this == Phase.UNCONFIRMED) "unheard" else name.lowercase()

/** The name of a machine's phase between controllers and in node listings; it outlives renames of [MachinePhase]. */
private val MachinePhase.wireName get() =
    when (this) {
        MachinePhase.UNCONFIRMED -> "unheard"
        MachinePhase.SUSPECTED -> "quiet"
        MachinePhase.UNREACHABLE -> "lost"
        else -> name.lowercase()
    }
