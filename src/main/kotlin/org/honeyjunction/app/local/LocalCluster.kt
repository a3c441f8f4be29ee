package org.honeyjunction.app.local

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.honeyjunction.app.OperatorClient
import org.honeyjunction.app.RulesApi
import org.honeyjunction.core.control.leader.Tuning
import org.honeyjunction.fake.FakeUsers
import org.honeyjunction.fake.Fault
import org.honeyjunction.fake.HistoryChecker
import org.honeyjunction.fake.LoopbackCluster
import org.honeyjunction.fake.PlannedJob
import org.honeyjunction.fake.ReferenceModel
import org.honeyjunction.io.Clock
import org.honeyjunction.nomad.NomadOptions
import org.honeyjunction.rules.RulesDocument
import org.honeyjunction.wire.Json
import org.honeyjunction.wire.MalformedException
import org.honeyjunction.wire.count
import org.honeyjunction.wire.listOrEmpty

/** The whole service on loopback: real controllers, users, and fakes of the state service, the cloud and the workers. */
class LocalCluster(
    settings: LocalSettings,
    controllers: Int,
    tuning: Tuning,
    seed: Long,
    planned: List<PlannedJob>,
    private val tell: (String) -> Unit,
    clock: Clock? = null,
    nomad: NomadOptions? = null,
    private val place: ClusterEnvironment = LoopbackEnvironment(),
) {
    private val ports = place.addresses(controllers * 3)
    val nodes: List<String> = ports.take(controllers)
    private val peers = ports.drop(controllers).take(controllers)

    /** Addresses of the Nomad API, which takes job files; empty where it is switched off. */
    val nomad: List<String> = if (nomad?.on == true) ports.drop(controllers * 2) else emptyList()
    private val names = List(controllers, settings::name)
    private val work = planned.associate { it.work.spec.id to it.work }
    val loopback: LoopbackCluster
    val controllers: Controllers
    val users: FakeUsers

    @Volatile
    private var reference: ReferenceModel? = null

    init {
        val sample = settings.forNode(0, nodes, peers, NOWHERE, NOWHERE)
        loopback =
            LoopbackCluster(
                settings.loopback(sample),
                nodes.mapIndexed { number, address -> settings.name(number) to address },
                seed,
                place.loop(LoopbackCluster.WORLD),
            ) { work[it] }
        this.controllers =
            Controllers(
                nodes.indices.map { settings.forNode(it, nodes, peers, loopback.stateAddresses[it], loopback.cloudAddress) },
                tuning,
                place,
                clock,
                this.nomad.map { nomad?.copy(listen = it) },
            )
        users = FakeUsers(loopback.loop.withHostName(LoopbackCluster.USERS), nodes, loopback.watch, seed, loopback::now)
    }

    fun start(faults: List<Fault>) {
        loopback.watch.onStart = ::checkPlacementRules
        loopback.start()
        nodes.indices.forEach(controllers::start)
        val injector = LocalFaults(this, place, names)
        for (fault in faults) {
            loopback.loop.scope.launch {
                delay((fault.atMs - loopback.now()).coerceAtLeast(0))
                if (fault.on != null) withTimeoutOrNull(MOMENT_MS) { loopback.await(fault.on) }
                injector.inject(fault)
            }
        }
    }

    /** No start may break a "must" rule that the fakes can judge for certain. */
    private fun checkPlacementRules(start: HistoryChecker.Start) {
        val box = start.worker.box
        val verdicts = reference?.judge(start.task.spec, box, start.beside, listOf(box)).orEmpty()
        for (verdict in verdicts.filter { it.must && it.sure && !it.met }) {
            loopback.watch.note(start.at, "rule \"${verdict.rule}\": ${start.task.id} on ${start.worker.name}")
        }
    }

    fun say(text: String) = tell(stamped(text))

    fun stamped(text: String) = "%6.1f s  %s".format(loopback.now() / 1000.0, text)

    /** One line of the present state: leader, machines, tasks and jobs. */
    fun status(): String {
        val workers = loopback.workers
        val live = workers.flatMap { worker -> worker.tasks.values.filter { it.live } }
        val tasks = live.groupingBy { it.state.toString().lowercase() }.eachCount().toSortedMap()
        val jobs = users.jobs.groupingBy { it.stage }.eachCount().toSortedMap()
        val leader = loopback.leader()?.let { "hive-$it" } ?: "none"
        val taskCounts = tasks.entries.joinToString { (state, count) -> "$count $state" }.ifEmpty { "none" }
        val jobCounts = jobs.entries.joinToString { (stage, count) -> "$count ${stage.name.lowercase()}" }
        return "leader $leader term ${loopback.term()}, machines ${workers.size} of ${loopback.cloud.machines.size}, " +
            "tasks $taskCounts, jobs $jobCounts"
    }

    /**
     * Applies rules over HTTP as an operator does, and returns the warnings; from then on [checkPlacementRules] holds them
     * against every start. Throws [MalformedException] with the reason where the service refuses them.
     */
    fun apply(document: RulesDocument): List<String> {
        val response = OperatorClient(nodes).ask("POST", RulesApi.RULES_PATH, Json.write(document.write(Json.newObject())))
        if (response.status != 200) throw MalformedException(OperatorClient.reason(response))
        val answer = Json.readObject(response.body)
        val set = checkNotNull(document.check(answer.count("version")).set)
        reference = ReferenceModel(set)
        return answer.listOrEmpty("warnings").mapNotNull { it.textValue() }
    }

    /** Compares the service's explanation of each placement with the fakes' own judgement. */
    fun compareExplanations(): ExplanationComparison =
        reference?.let { ExplanationCheck(nodes, it, loopback.watch.starts).compare() } ?: ExplanationComparison(0, 0, emptyList())

    fun close() {
        controllers.close()
        loopback.close()
        place.close()
    }

    companion object {
        /** How long a fault waits for its moment at most; then it begins without it. */
        const val MOMENT_MS = 20_000L

        /** A placeholder address. */
        private const val NOWHERE = "127.0.0.1:1"
    }
}
