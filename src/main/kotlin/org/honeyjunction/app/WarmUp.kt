package org.honeyjunction.app

import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.honeyjunction.core.admission.QuotaPlan
import org.honeyjunction.core.control.journal.JournalPageRecord
import org.honeyjunction.core.control.journal.RecordedStart
import org.honeyjunction.core.control.leader.Leader
import org.honeyjunction.core.control.leader.RecoveredState
import org.honeyjunction.core.control.leader.StoredJob
import org.honeyjunction.core.control.leader.Tuning
import org.honeyjunction.core.control.messages.CommitOutcome
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.core.control.messages.Heartbeat
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobSpec
import org.honeyjunction.core.model.JobStage
import org.honeyjunction.core.model.MachineType
import org.honeyjunction.core.model.Priority
import org.honeyjunction.core.model.Resources
import org.honeyjunction.core.placement.PlacementRound
import org.honeyjunction.io.ConnectionPool
import org.honeyjunction.io.EventLoop
import org.honeyjunction.io.HttpClient
import org.honeyjunction.wire.JournalPageCodec
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.PeerCodec
import org.honeyjunction.wire.PeerMessage
import java.io.IOException
import java.net.ServerSocket

/**
 * Loads the classes of a controller, so that the build can write a class-data sharing archive: starts a node on loopback without
 * other services, sends it some requests, and leads a term in memory.
 */
object WarmUp {
    private const val STEPS = 40
    private const val STEP_MS = 250L

    /** Runs the warm-up; returns the exit status. */
    fun run(): Int =
        EventLoop().use { loop ->
            val ports = List(4) { ServerSocket(0) }.onEach { it.close() }.map { it.localPort }
            val settings = Settings.parse(Json.readObject(exampleSettings(ports).toByteArray()))
            Node(settings, Tuning(), loop).start()
            leadTerm(settings)
            runBlocking {
                withTimeoutOrNull(3_000) {
                    loop.scope.launch { sendRequests(HttpClient(ConnectionPool(loop, maxIdle = 1), settings.listen)) }.join()
                }
            }
            0
        }

    /** Leads a term of a small cluster without input or output, so that the classes that a new leader needs are archived too. */
    private fun leadTerm(settings: Settings) {
        val cluster = settings.cluster
        cluster.types[cluster.typeNames.index("k")] = MachineType("k", Resources(8.0, 4.0, 64.0), 50.0, 1.0, 2.0, 1.0, 5.0, listOf(0))
        val jobs = JobKind.entries.mapIndexed { i, kind -> StoredJob(exampleJob(i, kind), settings.node, 0, 1, JobStage.ACTIVE) }
        val recovered = RecoveredState(jobs, listOf(examplePage()), emptyList())
        val leader = Leader(cluster, Tuning(), 1, settings.node, recovered, 0, 0, 1_000)
        leader.leaderLeaseRenewed(Long.MAX_VALUE, 0)
        for (step in 1L..STEPS) leadStep(leader, step, now = step * STEP_MS)
    }

    private fun exampleJob(number: Int, kind: JobKind) =
        JobSpec(
            "j-$number",
            "c",
            "t",
            kind,
            Priority.LOW,
            number + 1,
            Resources(1.0, 1.0, 1.0),
            "i",
            1.0,
            null,
            null,
            false,
            false,
            false,
            1.0,
            0.0,
            0.0,
            null,
        )

    /** A page of the placement journal, encoded and decoded once. */
    private fun examplePage(): JournalPageRecord {
        val page = JournalPageRecord(0, 1, listOf(RecordedStart("j-0", 0, 7, "m")), emptyMap())
        return JournalPageCodec.read(0, 1, Json.read(Json.write(JournalPageCodec.write(page, 1))))
    }

    /** Runs heartbeats of two machines, a tick with its writes, and a placement round of a peer. */
    private fun leadStep(leader: Leader, step: Long, now: Long) {
        for (machine in listOf("m", "m2")) {
            val heartbeat = Heartbeat(machine, "127.0.0.1:1", "k", "a", false, 1, step, leader.state.termToken, null, emptyList())
            leader.answerHeartbeat(heartbeat, now)
        }
        leader.tick(now)
        for (effect in leader.drainEffects()) {
            if (effect is Effect.Commit) leader.committed(effect.id, CommitOutcome.Applied(step), now)
        }
        val response = PeerMessage.SummaryResponse(1, true, QuotaPlan.NONE, 1.0, leader.summaryFor("p", now))
        val decoded = PeerCodec.decode(okio.Buffer().write(PeerCodec.encode(response))) as PeerMessage.SummaryResponse
        leader.acceptProposals(PlacementRound().place(decoded.summary), now)
    }

    private suspend fun sendRequests(client: HttpClient) {
        val job = """{"Ref":"j-1","Comb":"c","Colony":"t","Cast":"batch","Precedence":"low","Cells":1,"Vcpus":1.0,
            "Gpus":0.0,"MemoryGb":1.0,"Brood":"i","PullGb":1.0,"SamePlace":false,"Scatter":false,
            "BorrowedHives":false,"ForageS":1.0,"CapS":0.0,"SealS":0.0}"""
        val heartbeat = """{"Hive":"m","Address":"127.0.0.1:1","HiveKind":"k","Meadow":"a","BorrowedHives":false,
            "Flight":1,"Waggle":1,"Crown":0,"Cells":[{"Cell":"j-1/0","Sortie":1,"Stage":"running"}]}"""
        val requests =
            listOf(
                Triple("GET", "/up", ""),
                Triple("POST", "/v2/runs", job),
                Triple("GET", "/v2/runs/j-1", ""),
                Triple("POST", "/v2/runs/j-1/cancel", ""),
                Triple("POST", "/hello", heartbeat),
            )
        for ((method, path, body) in requests) {
            try {
                client.send(method, path, body.toByteArray(), 500)
            } catch (e: IOException) {
                System.err.println("warm-up: $path: ${e.message}")
            }
        }
    }

    private fun exampleSettings(ports: List<Int>): String {
        val (listen, peer, cloud, state) = ports.map { "127.0.0.1:$it" }
        return """{"host_name":"n","zone":"a","api_addr":"$listen","peer_listen":"$peer","seeds":[],
            "external":{"cloud":"$cloud","state":"$state"},
            "params":{"nodes":1,"zones":["a"],"teams":[{"name":"t","gpus":1.0,"gpus_max":2.0}],
            "workers":{"report_s":1.0,"lease_s":5.0,"gang_wait_s":5.0,"gang_peer_s":2.0,"cancel_s":9.0},
            "state":{"rps":100.0,"write_rps":50.0,"value_kb":4.0,"txn_ops":8},"cloud":{"rps":2.0,"list_lag_s":1.0}}}"""
    }
}
