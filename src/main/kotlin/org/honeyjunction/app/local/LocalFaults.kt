package org.honeyjunction.app.local

import kotlinx.coroutines.delay
import org.honeyjunction.fake.Fault
import org.honeyjunction.fake.LoopbackCluster

/** Injects faults into a [LocalCluster] and reports them; [names]: of the controllers on the network. */
class LocalFaults(private val cluster: LocalCluster, private val place: ClusterEnvironment, private val names: List<String>) {
    private val loopback = cluster.loopback
    private val users = cluster.users
    private val nodes = cluster.nodes.indices

    /** Returns when the fault is over where it has to be ended from here; others end by themselves. */
    suspend fun inject(fault: Fault) {
        reportShared(fault)
        when (val target = fault.whom) {
            Fault.Whom.State, Fault.Whom.Cloud -> {
                loopback.outage(target, fault.forMs)
                val service = if (target == Fault.Whom.State) "the state service" else "the cloud"
                cluster.say("outage of $service for ${fault.forMs / 1000.0} s")
            }
            is Fault.Whom.Hosts -> cluster.say("${fault.what.name.lowercase()} ${summary(loopback.strike(fault))}")
            Fault.Whom.AllNodes -> injectIntoNodes(fault, nodes.toList())
            Fault.Whom.Leader -> injectIntoNodes(fault, listOfNotNull(loopback.leader()))
            Fault.Whom.Others -> injectIntoNodes(fault, nodes - setOfNotNull(loopback.leader()))
            is Fault.Whom.Node -> injectIntoNodes(fault, listOf(target.number).filter { it in nodes })
            is Fault.Whom.Shared -> injectIntoShared(fault, target)
        }
    }

    private fun reportShared(fault: Fault) {
        val outage = fault.whom == Fault.Whom.State || fault.whom == Fault.Whom.Cloud
        if (fault.whom !is Fault.Whom.Shared || outage) return
        cluster.say("${fault.what.name.lowercase()} ${fault.whom.toString().lowercase()} for ${fault.forMs / 1000.0} s")
    }

    private suspend fun injectIntoShared(fault: Fault, target: Fault.Whom.Shared) {
        when (target) {
            Fault.Whom.State, Fault.Whom.Cloud -> Unit
            Fault.Whom.Boots -> loopback.boots(fault.what, fault.forMs)
            Fault.Whom.Polls -> {
                users.pollsAtOnce = Fault.STORM_POLLS
                delay(fault.forMs)
                users.pollsAtOnce = 1
            }
            Fault.Whom.Writes -> loopback.delayWrites(fault.forMs)
            Fault.Whom.Answers -> loopback.loseAnswers(fault.forMs)
            Fault.Whom.Reports ->
                if (fault.what == Fault.What.KEEP) loopback.keepReports(fault.forMs) else loopback.repeatReports(fault.forMs)
            Fault.Whom.Commands -> loopback.copyCommands(fault.forMs)
            Fault.Whom.Lists -> loopback.lagLists(fault.forMs)
            is Fault.Whom.Jobs -> {
                users.pressing.press(fault, loopback::running)
                val cancelled = users.jobs.filter { it.cancelWanted }.mapTo(HashSet()) { it.spec.id }
                loopback.hangMachinesOf(cancelled, fault.forMs)
            }
            Fault.Whom.Ends, Fault.Whom.Accepted, Fault.Whom.Looks, Fault.Whom.Requests ->
                users.pressing.press(fault, loopback::running)
        }
    }

    private fun summary(machines: List<String>) =
        when {
            machines.isEmpty() -> "no machine, as none has tasks"
            machines.size <= MOST_NAMED -> machines.joinToString()
            else -> "${machines.size} machines"
        }

    private suspend fun injectIntoNodes(fault: Fault, numbers: List<Int>) {
        cluster.say("${fault.what.name.lowercase()} ${if (numbers.isEmpty()) "no node" else hives(numbers)}")
        numbers.forEach { injectIntoNode(fault, it) }
        if (fault.what != Fault.What.KILL) return
        delay(fault.forMs)
        // A node that was killed twice is started once.
        val restarted = numbers.filter { !cluster.controllers.up(it) }.onEach(cluster.controllers::start)
        if (restarted.isNotEmpty()) cluster.say("${hives(restarted)} back")
    }

    private fun injectIntoNode(fault: Fault, number: Int) {
        when (fault.what) {
            Fault.What.KILL -> cluster.controllers.kill(number)
            Fault.What.HANG -> cluster.controllers.hang(number, fault.forMs)
            Fault.What.REFUSE -> loopback.refuse(number, fault.forMs)
            Fault.What.ISOLATE -> cut(number, fault) { it == LoopbackCluster.STATE || it in names }
            Fault.What.MUTE -> cut(number, fault, ::isWorker)
            else -> Unit
        }
    }

    private fun isWorker(name: String) = name !in SERVICES && name !in names

    private fun cut(number: Int, fault: Fault, from: (String) -> Boolean) {
        if (!place.cut(names[number], from, fault.forMs)) cluster.say("hive-$number can't be cut from others here")
    }

    private fun hives(numbers: List<Int>) = numbers.joinToString { "hive-$it" }

    private companion object {
        const val MOST_NAMED = 3
        val SERVICES = setOf(LoopbackCluster.STATE, LoopbackCluster.CLOUD, LoopbackCluster.USERS)
    }
}
