package org.honeyjunction.app.local

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.honeyjunction.core.control.Tuning
import org.honeyjunction.standin.Fault
import org.honeyjunction.standin.Loopback
import org.honeyjunction.standin.PlannedJob
import org.honeyjunction.standin.Users
import java.net.ServerSocket

/** The whole service on loopback: real controllers, stand-ins of what is round them, and users. */
class LocalCluster(settings: LocalSettings, controllers: Int, tuning: Tuning, seed: Long, planned: List<PlannedJob>, private val tell: (String) -> Unit) {
    private val ports = ports(controllers * 2).map { "127.0.0.1:$it" }
    val nodes: List<String> = ports.take(controllers)
    private val peers = ports.drop(controllers)
    private val work = planned.associate { it.work.spec.id to it.work }
    val loopback: Loopback
    private val controllers: Controllers
    val users: Users

    init {
        val sample = settings.forNode(0, nodes, peers, 1, 1)
        loopback = Loopback(settings.loopback(sample), nodes.mapIndexed { i, a -> settings.name(i) to a }, seed) { work[it] }
        this.controllers = Controllers(nodes.indices.map { settings.forNode(it, nodes, peers, loopback.statePorts[it], loopback.cloudPort) }, tuning)
        users = Users(loopback.loop, nodes, loopback.watch, loopback::now)
    }

    fun start(faults: List<Fault>) {
        loopback.start()
        nodes.indices.forEach(controllers::start)
        for (f in faults) loopback.loop.scope.launch {
            delay((f.atMs - loopback.now()).coerceAtLeast(0))
            strike(f)
        }
    }

    private suspend fun strike(f: Fault) {
        when (val whom = f.whom) {
            Fault.Whom.State, Fault.Whom.Cloud -> {
                loopback.outage(whom, f.forMs)
                say("outage of ${if (whom == Fault.Whom.State) "the state service" else "the cloud"} for ${f.forMs / 1000.0} s")
            }
            Fault.Whom.Machine -> say("${f.what.name.lowercase()} ${loopback.strike(f.what, f.forMs) ?: "no machine, as none has tasks"}")
            Fault.Whom.AllNodes -> strikeNodes(f, nodes.indices.toList())
            Fault.Whom.Holder -> strikeNodes(f, listOfNotNull(loopback.holder()))
            is Fault.Whom.Node -> strikeNodes(f, listOf(whom.number).filter { it in nodes.indices })
        }
    }

    private suspend fun strikeNodes(f: Fault, numbers: List<Int>) {
        say("${f.what.name.lowercase()} ${if (numbers.isEmpty()) "no node" else numbers.joinToString { "hive-$it" }}")
        for (n in numbers) {
            when (f.what) {
                Fault.What.KILL -> controllers.kill(n)
                Fault.What.HANG -> controllers.hang(n, f.forMs)
                Fault.What.REFUSE -> loopback.refuse(n, f.forMs)
                Fault.What.CUT, Fault.What.NOTICE, Fault.What.OUTAGE -> Unit
            }
        }
        if (f.what != Fault.What.KILL) return
        delay(f.forMs)
        numbers.forEach(controllers::start)
        if (numbers.isNotEmpty()) say("${numbers.joinToString { "hive-$it" }} back")
    }

    fun say(text: String) = tell("%6.1f s  %s".format(loopback.now() / 1000.0, text))

    /** One line of how things stand. */
    fun status(): String {
        val workers = loopback.workers
        val tasks = workers.flatMap { w -> w.tasks.values.filter { it.live } }.groupingBy { it.state.toString().lowercase() }.eachCount().toSortedMap()
        val jobs = users.jobs.groupingBy { it.stage }.eachCount().toSortedMap()
        return "holder ${loopback.holder()?.let { "hive-$it" } ?: "none"} term ${loopback.term()}, machines ${workers.size} of ${loopback.cloud.machines.size}, " +
            "tasks ${tasks.entries.joinToString { (state, n) -> "$n $state" }.ifEmpty { "none" }}, jobs ${jobs.entries.joinToString { (s, n) -> "$n ${s.name.lowercase()}" }}"
    }

    fun close() {
        controllers.close()
        loopback.close()
    }

    private companion object {
        /** Free ports, as the system chooses them. */
        fun ports(count: Int): List<Int> = List(count) { ServerSocket(0) }.onEach { it.close() }.map { it.localPort }
    }
}
