package org.honeyjunction.app

import com.fasterxml.jackson.databind.node.ObjectNode
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.honeyjunction.app.local.LocalCluster
import org.honeyjunction.app.local.LocalSettings
import org.honeyjunction.app.local.RegisteredJobs
import org.honeyjunction.app.nomad.JobFiles
import org.honeyjunction.core.control.leader.Tuning
import org.honeyjunction.core.control.messages.TaskState
import org.honeyjunction.fake.FakeUsers
import org.honeyjunction.fake.Fault
import org.honeyjunction.fake.JobFile
import org.honeyjunction.fake.PlannedJob
import org.honeyjunction.nomad.JobDocument
import org.honeyjunction.nomad.JobReader
import org.honeyjunction.nomad.NomadOptions
import org.honeyjunction.nomad.VariableValues
import org.honeyjunction.wire.Json
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.File
import java.nio.file.Path

/** Job files with real controllers on loopback. */
class NomadClusterTest {
    private val tuning = Tuning(idleMs = 6_000, forecastMs = 20_000, rules = true)

    private fun cluster(planned: List<PlannedJob> = emptyList()) =
        LocalCluster(
            LocalSettings(Json.readObject(javaClass.classLoader.getResource("local/settings.json")!!.readBytes()), null, 12),
            3,
            tuning,
            1,
            planned,
            {
            },
            nomad = NomadOptions(on = true),
        )

    private fun quotes(release: String): JobDocument =
        JobReader.read(
            File("deploy/nomad/quotes.nomad.hcl").readText(),
            VariableValues(
                given =
                    mapOf(
                        "release" to release,
                    ),
            ),
        )

    /** Replicas that the stand-ins see running. */
    private fun running(cluster: LocalCluster) =
        runBlocking {
            cluster.loopback.loop.scope
                .async {
                    cluster.loopback.workers.flatMap { w ->
                        w.tasks.values.filter { it.state == TaskState.Running }.map { it.spec.image }
                    }
                }.await()
        }

    @Test
    fun `the same job in both forms`() {
        val file = JobFiles.read(Path.of("deploy/nomad/backtest.nomad.hcl"), emptyMap(), emptyList(), null, null)
        val planned = JobFile.parse(JobFiles.loopback(file.native(file.meant.job!!)))
        val native = cluster(planned)
        val answers =
            try {
                native.start(emptyList())
                runBlocking {
                    native.loopback.loop.scope
                        .async {
                            planned.forEach { native.users.follow(it) }
                            while (native.users.jobs.size < planned.size ||
                                native.users.jobs.any { !it.over } &&
                                native.loopback.now() < 60_000
                            ) {
                                delay(50)
                            }
                        }.await()
                }
                assertEquals(emptyList<Any>(), native.loopback.watch.broken)
                native.users.jobs.map { Triple(it.spec.jobClass, it.spec.tasks, it.stage == FakeUsers.Stage.DONE) }
            } finally {
                native.close()
            }
        val cluster = cluster()
        try {
            // The leader goes while the job is being registered.
            cluster.start(listOf(Fault.parse("at 2s kill leader")))
            val jobs = RegisteredJobs(cluster, listOf(file.document)) {}
            jobs.register()
            assertTrue(jobs.until("spread-backtest", 90) { it.path("Status").asText() == "dead" }, "not done")
            val allocations = jobs.get("spread-backtest", rest = "/allocations")!!
            val mine =
                allocations.groupBy { it.path("NativeJob").asText() }.values.map { all ->
                    Triple(
                        "default/spread-backtest.${all[0].path("TaskGroup").asText()}",
                        all.size,
                        all.all {
                            it.path("ClientStatus").asText() ==
                                "complete" &&
                                it.path("DesiredStatus").asText() == "run"
                        },
                    )
                }
            assertEquals(answers.sortedBy { it.first }, mine.sortedBy { it.first })
            assertEquals(emptyList<Any>(), cluster.loopback.watch.broken)
        } finally {
            cluster.close()
        }
    }

    @Test
    fun `a change rolls over a takeover, a bad one is reverted, and a purge leaves nothing`() {
        val cluster = cluster()
        try {
            cluster.start(emptyList())
            val jobs = RegisteredJobs(cluster, emptyList()) {}

            fun state(version: Int, state: String) =
                { o: com.fasterxml.jackson.databind.JsonNode ->
                    o.path("Version").asInt() == version &&
                        o.path("StatusDescription").asText() == state
                }
            assertEquals(200, jobs.register(quotes("7")).status)
            assertTrue(jobs.until(ID, 60, ready = state(0, "live")), "not live")
            val index = jobs.get(ID)!!.path("ModifyIndex").asLong()

            // The same again is no change; another index than the job's is a conflict.
            assertEquals(200, jobs.register(quotes("7")).status)
            assertEquals(index, jobs.get(ID)!!.path("ModifyIndex").asLong())
            val stale =
                Json.newObject().apply { set<ObjectNode>("Job", quotes("8").json) }.put("EnforceIndex", true).put(
                    "JobModifyIndex",
                    index - 1,
                )
            assertEquals(409, OperatorClient(cluster.nomad).ask("POST", "/v1/jobs", Json.write(stale)).status)

            assertEquals(200, jobs.register(quotes("8")).status)
            var least = Int.MAX_VALUE
            var killed = false
            assertTrue(
                jobs.until(ID, 90) { o ->
                    val now = running(cluster)
                    least = minOf(least, now.size)
                    if (!killed && "quotes/serve:8" in now) {
                        killed = true
                        cluster.loopback.leader()?.let { h ->
                            cluster.controllers.kill(h)
                            cluster.controllers.start(h)
                        }
                    }
                    state(1, "live")(o)
                },
                "the change is not live: ${jobs.get(ID)}",
            )
            assertTrue(killed && least >= REPLICAS - AT_A_TIME, "$least of $REPLICAS replicas ran")
            assertEquals(List(REPLICAS) { "quotes/serve:8" }, running(cluster))

            val bad =
                JobReader.read(
                    String(
                        Json.write(Json.newObject().set("Job", quotes("8").json)),
                    ).replace("quotes/serve:8", "quotes/fails").replace("60000000000", "4000000000"),
                )
            assertEquals(200, jobs.register(bad).status)
            assertTrue(jobs.until(ID, 90, ready = state(3, "live")), "not reverted: ${jobs.get(ID)}")
            assertEquals(List(REPLICAS) { "quotes/serve:8" }, running(cluster))

            OperatorClient(cluster.nomad).ask("DELETE", "/v1/job/$ID?purge=true")
            assertNull(jobs.get(ID))
            val until = System.nanoTime() + 60_000_000_000
            while (running(cluster).isNotEmpty() && System.nanoTime() < until) Thread.sleep(100)
            assertEquals(emptyList<String>(), running(cluster))
            assertEquals(emptyList<Any>(), cluster.loopback.watch.broken)
        } finally {
            cluster.close()
        }
    }

    private companion object {
        const val ID = "quote-rate-serve"
        const val REPLICAS = 6
        const val AT_A_TIME = 2
    }
}
