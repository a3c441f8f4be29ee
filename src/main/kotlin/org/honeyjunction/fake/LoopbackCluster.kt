package org.honeyjunction.fake

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.honeyjunction.core.model.MachineType
import org.honeyjunction.core.model.Team
import org.honeyjunction.io.ConnectionPool
import org.honeyjunction.io.EventLoop
import org.honeyjunction.io.HttpClient
import org.honeyjunction.wire.JobCodec
import org.honeyjunction.wire.JournalPageCodec
import org.honeyjunction.wire.fieldOrNull
import java.io.IOException
import java.util.Random

/** Size and settings of a [LoopbackCluster]; times in milliseconds. */
class LoopbackSettings(
    val zones: List<String>,
    val teams: List<Team>,
    val types: List<MachineType>,
    val machines: Int,
    val timing: FakeWorker.Timing,
    val reportMs: Long,
    val cancelMs: Long,
    val store: FakeKeyValueStore.Limits,
    val cloudRps: Double,
    val listLagMs: Long,
)

/** Fakes of the state service, the cloud and the workers on loopback, and the checks of their history. All run on one thread. */
class LoopbackCluster(
    private val settings: LoopbackSettings,
    private val nodes: List<Pair<String, String>>,
    seed: Long,
    val loop: EventLoop = EventLoop(),
    private val work: (String) -> Work?,
) {
    private val random = Random(seed)
    private val startedAt = loop.clock.steady()
    val store = FakeKeyValueStore(settings.store, 0)
    val cloud =
        FakeCloud(settings.types, settings.zones, settings.machines, settings.cloudRps, settings.listLagMs, Random(random.nextLong()), 0)
    val watch = HistoryChecker(settings.teams.associate { it.name to it.limit }, settings.cancelMs)
    private val gangs = Gangs(settings.timing)
    private val checkpoints = HashMap<String, Double>()
    private val hosts = LinkedHashMap<String, WorkerHost>()
    private var repeatUntil = 0L
    private var copyCommandsUntil = 0L

    /** The number of copies of executed commands that arrived. */
    var commandCopies = 0
        private set

    /** Copies of heartbeats that are recorded until the next terms. */
    private var keepUntil = 0L
    private val kept = ArrayList<ByteArray>()
    private val copies = ConnectionPool(loop.withHostName(COPIES), maxIdle = 32)
    var keptDelivered = 0
        private set
    private val awaited = ArrayList<Pair<Fault.Moment, CompletableDeferred<Unit>>>()
    private var lastTerm = 0L
    private var nextJournalCheckAt = 0L
    private var ended = 0
    private val stateServers = nodes.map { StateServer(loop.withHostName(STATE), store, Random(random.nextLong()), ::now) }
    private val cloudServer =
        CloudServer(loop.withHostName(CLOUD), cloud, settings.types, settings.zones, ::now) { names -> names.forEach(::remove) }

    val workers: List<FakeWorker> get() = hosts.values.map { it.worker }

    /** Milliseconds since the start. */
    fun now(): Long = loop.clock.steady() - startedAt

    /** Addresses of the state service, node by node, and of the cloud. */
    val stateAddresses: List<String> = stateServers.map { it.listen() }
    val cloudAddress: String = cloudServer.listen()

    /** Suspends until the next such moment. */
    suspend fun await(moment: Fault.Moment) = CompletableDeferred<Unit>().also { awaited += moment to it }.await()

    private fun passed(moment: Fault.Moment) {
        val now = awaited.filter { it.first == moment }
        awaited -= now.toSet()
        now.forEach { it.second.complete(Unit) }
    }

    /** Runs [what] on the fakes' thread, without waiting for it. */
    fun later(what: suspend () -> Unit) {
        loop.scope.launch { what() }
    }

    fun start() {
        stateServers.forEach { it.onWrite = { passed(Fault.Moment.WRITE) } }
        loop.scope.launch {
            while (true) {
                step()
                delay(STEP_MS)
            }
        }
    }

    private fun step() {
        val now = now()
        store.expire(now)
        cloud.note(now)
        for (m in cloud.machines.values) if (m.name !in hosts && cloud.isUp(m.name, now)) boot(m)
        workers.forEach { it.advance(now) }
        gangs.step(workers, now)
        watch.check(workers, now)
        if (now >= nextJournalCheckAt) checkJournal(now)
        if (watch.completed.size != ended) passed(Fault.Moment.END)
        ended = watch.completed.size
        if (term() != lastTerm) {
            passed(Fault.Moment.TERM)
            kept.toList().forEach(::deliver)
            // Half of the copies are delivered again in the term after the next.
            kept.removeIf { random.nextBoolean() }
        }
        lastTerm = term()
    }

    private fun checkJournal(now: Long) {
        nextJournalCheckAt = now + JOURNAL_CHECK_MS
        val pages =
            store.range(JOURNAL_PAGES, null, Int.MAX_VALUE).first.map { (key, page) ->
                JournalPageCodec.read(key.removePrefix(JOURNAL_PAGES).toInt(), page.version, page.value)
            }
        watch.checkRecorded(pages, workers, now)
    }

    /** A copy of an old heartbeat reaches every controller. */
    private fun deliver(report: ByteArray) {
        val after = KEPT_MS[random.nextInt(KEPT_MS.size)]
        for ((_, address) in nodes) {
            loop.scope.launch {
                delay(after + random.nextInt(20))
                keptDelivered++
                try {
                    HttpClient(copies, address).send("POST", WorkerHost.HELLO, report, WorkerHost.ANSWER_MS)
                } catch (_: IOException) {
                    // The loss of a copy is no fault of its own.
                }
            }
        }
    }

    private fun keep(report: ByteArray) {
        if (now() >= keepUntil || random.nextDouble() >= Fault.SHARE) return
        if (kept.size < MOST_KEPT) kept += report else kept[random.nextInt(MOST_KEPT)] = report
    }

    /** What a job's user has uploaded for the workers; jobs that came as files are read from the store, and run as estimated. */
    private fun described(id: String): Work? =
        work(id) ?: store["j/$id"]?.let { kept ->
            val spec = JobCodec.stored(kept.value, kept.version).spec
            Work(spec, spec.estimateS, fails = spec.image.endsWith(FAILING))
        }

    private fun boot(machine: FakeCloud.Machine) {
        val host = WorkerHost(loop.withHostName(machine.name), nodes, settings.reportMs, Random(random.nextLong()), ::now)
        machine.address = host.address
        host.worker =
            FakeWorker(
                specOf(machine, host.address),
                settings.timing,
                now(),
                ::described,
                checkpoints,
                watch.completed,
            )
        host.repeatUntil = repeatUntil
        host.copyCommandsUntil = copyCommandsUntil
        host.copyDelayMs = { Fault.copyDelayMs(it, settings.timing.leaseMs) }
        host.onCopyExecuted = { started -> checkCopy(machine.name, started) }
        host.onReport = ::keep
        host.repeatWithinMs = (settings.timing.leaseMs * 2).toInt()
        hosts[machine.name] = host
        host.start()
    }

    private fun specOf(machine: FakeCloud.Machine, address: String): MachineSpec {
        val type = machine.type
        return MachineSpec(machine.name, address, type.name, type.size, machine.zone, machine.spot, type.cacheGb, type.fetchGbPerS)
    }

    private fun remove(name: String) {
        hosts.remove(name)?.stop()
    }

    /** The index of the node that holds the leader lease, by the state service; null: none. */
    fun leader(): Int? =
        store[LEAD]?.value?.fieldOrNull("holder")?.let { h ->
            nodes.indexOfFirst { it.first == h.textValue() }.takeIf { it >= 0 }
        }

    fun term(): Long = store[TERM]?.value?.fieldOrNull(TERM)?.longValue() ?: 0

    fun refuse(node: Int, forMs: Long) {
        stateServers[node].refusedUntil = now() + forMs
    }

    fun outage(of: Fault.Whom, forMs: Long) {
        if (of == Fault.Whom.State) store.outage(true, now()) else cloud.down = true
        loop.scope.launch {
            delay(forMs)
            if (of == Fault.Whom.State) store.outage(false, now()) else cloud.down = false
        }
    }

    val lateWrites get() = stateServers.sumOf { it.lateWrites }
    val unanswered get() = stateServers.sumOf { it.unanswered }

    fun delayWrites(forMs: Long) = stateServers.forEach { it.lateUntil = now() + forMs }

    fun loseAnswers(forMs: Long) = stateServers.forEach { it.unansweredUntil = now() + forMs }

    fun keepReports(forMs: Long) {
        keepUntil = now() + forMs
    }

    fun lagLists(forMs: Long) {
        cloud.lagFactor = 2
        loop.scope.launch {
            delay(forMs)
            cloud.lagFactor = 1
        }
    }

    /** The ids of the jobs with live tasks on machines. */
    fun running(): Set<String> = workers.flatMapTo(HashSet()) { w -> w.tasks.values.filter { it.live }.map { it.spec.id } }

    /** Up to eight machines with tasks of [jobs] hang for [forMs]. */
    fun hangMachinesOf(jobs: Set<String>, forMs: Long) =
        workers.filter { w -> w.tasks.values.any { it.live && it.spec.id in jobs } }.shuffled(random).take(MOST_HUNG).forEach {
            it.hungUntil = now() + forMs
        }

    fun repeatReports(forMs: Long) {
        repeatUntil = now() + forMs
        hosts.values.forEach { it.repeatUntil = repeatUntil }
    }

    fun copyCommands(forMs: Long) {
        copyCommandsUntil = now() + forMs
        hosts.values.forEach { it.copyCommandsUntil = copyCommandsUntil }
    }

    private fun checkCopy(machine: String, started: Set<FakeWorker.Attempt>) {
        commandCopies++
        if (started.isNotEmpty()) watch.note(now(), "copy_started: $started on $machine")
    }

    /** Machines rented within [forMs] boot as [what] says. */
    fun boots(what: Fault.What, forMs: Long) {
        when (what) {
            Fault.What.SLOW -> cloud.bootFactor = Fault.SLOW_BOOTS
            Fault.What.HURRY -> cloud.hurried = true
            else -> cloud.bootFailsOneIn = Fault.LOST_BOOTS_ONE_IN
        }
        loop.scope.launch {
            delay(forMs)
            when (what) {
                Fault.What.SLOW -> cloud.bootFactor = 1.0
                Fault.What.HURRY -> cloud.hurried = false
                else -> cloud.bootFailsOneIn = 0
            }
        }
    }

    /** Injects a fault into machines, and returns their names. */
    fun strike(fault: Fault): List<String> =
        victims(fault.whom, workers, random)
            .onEach { worker ->
                when (fault.what) {
                    Fault.What.KILL -> kill(worker)
                    Fault.What.HANG -> worker.hungUntil = now() + fault.forMs
                    Fault.What.CUT -> worker.cutUntil = now() + fault.forMs
                    Fault.What.NOTICE -> {
                        worker.noticeS = fault.forMs / 1000.0
                        loop.scope.launch {
                            delay(fault.forMs)
                            kill(worker)
                            cloud.machines.remove(worker.name)
                        }
                    }
                    Fault.What.DEAFEN -> worker.deafUntil = now() + fault.forMs
                    Fault.What.MUTE -> worker.muteUntil = now() + fault.forMs
                    else -> Unit
                }
            }.map { it.name }

    private fun kill(worker: FakeWorker) {
        worker.dead = true
        hosts[worker.name]?.stop()
        loop.scope.launch {
            delay(DEATH_SEEN_MS)
            cloud.machines[worker.name]?.failed = true
        }
    }

    fun close() = loop.close()

    companion object {
        /** Names of processes on the virtual network; machines have their own. */
        const val STATE = "state"
        const val CLOUD = "cloud"
        const val USERS = "users"
        private const val COPIES = "copies"

        /** The one process of all fakes. */
        const val WORLD = "world"
        private const val STEP_MS = 20L
        private const val DEATH_SEEN_MS = 3_000L
        private const val MOST_KEPT = 60
        private const val MOST_HUNG = 8

        /** How long after the record of a new term stale heartbeats arrive: with it, before its leader acts, and after. */
        private val KEPT_MS = listOf(0L, 0L, 100L, 500L, 1_500L, 4_000L)

        /** Keys of the controllers' own records, read only to know who holds the leader lease. */
        private const val LEAD = "lead"

        /** The prefix of the keys of the placement journal's pages. */
        private const val JOURNAL_PAGES = "l/"
        private const val JOURNAL_CHECK_MS = 1_000L

        /** Tasks whose image has such a name fail wherever they start. */
        private const val FAILING = "/fails"
        private const val TERM = "term"
    }
}
