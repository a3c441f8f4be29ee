package org.honeyjunction.simulation

import org.honeyjunction.core.control.messages.TaskState
import org.honeyjunction.core.model.JobKind
import org.honeyjunction.core.model.JobSpec
import org.honeyjunction.core.model.MachineType

/**
 * Records the service levels and the cost of a [Scenario]: running replicas, waiting times, money. Sampled once per second of
 * virtual time. Replicas of a service count from [graceMs] after its submission.
 */
class ServiceLevelRecorder(private val cluster: SimulatedCluster, private val type: MachineType, private val graceMs: Long) {
    private class TrackedJob(val spec: JobSpec, val submittedAt: Long) {
        /** Time at which all tasks of the job had started; null if some have not. */
        var startedAt: Long? = null
    }

    private class ReplicaSample(val wanted: Int, val running: Int)

    private val jobs = ArrayList<TrackedJob>()
    private val replicas = ArrayList<ReplicaSample>()
    private var paidGpuS = 0.0
    private var usedGpuS = 0.0

    /** Money paid for machines so far, in the unit of [MachineType.price]. */
    var spent = 0.0
        private set

    /** The share of paid accelerator time in which the accelerators were in use. */
    val utilization get() = if (paidGpuS == 0.0) 0.0 else usedGpuS / paidGpuS

    /** Records that the job [spec] was submitted now. */
    fun submitted(spec: JobSpec) {
        jobs += TrackedJob(spec, cluster.now)
    }

    /** Takes the sample of one second; must be called once per second. */
    fun sample() {
        val held = cluster.workers.values.filter { it.holds(cluster.now) }
        val running = held.flatMap { worker -> worker.tasks.values.filter { it.state == TaskState.Running } }
        recordStarts()
        sampleReplicas(running.groupingBy { it.spec.id }.eachCount())
        val (ordinary, spot) = cluster.cloud.paid()
        spent += (ordinary * type.price + spot * type.spotPrice) / SECONDS_PER_HOUR
        paidGpuS += (ordinary + spot) * type.size.gpus
        usedGpuS += running.sumOf { it.spec.need.gpus }
    }

    private fun recordStarts() {
        for (job in jobs) {
            if (job.startedAt != null) continue
            val allStarted = (0 until job.spec.tasks).all { "${job.spec.id}/$it" in cluster.history.starts }
            if (allStarted) job.startedAt = cluster.now
        }
    }

    private fun sampleReplicas(runningByJob: Map<String, Int>) {
        val due = jobs.filter { it.spec.kind == JobKind.SERVICE && cluster.now - it.submittedAt > graceMs }
        val running = due.sumOf { minOf(it.spec.tasks, runningByJob[it.spec.id] ?: 0) }
        replicas += ReplicaSample(due.sumOf { it.spec.tasks }, running)
    }

    /** The share of the wanted replica time in which the replicas ran. */
    fun availability(): Double = availability(replicas)

    /** The lowest availability in any [seconds] consecutive seconds. */
    fun worstAvailability(seconds: Int): Double = replicas.windowed(seconds).minOfOrNull(::availability) ?: 1.0

    private fun availability(samples: List<ReplicaSample>): Double {
        val wanted = samples.sumOf { it.wanted }
        return if (wanted == 0) 1.0 else samples.sumOf { it.running }.toDouble() / wanted
    }

    /**
     * Seconds from submission until all tasks of a job of [kind] had started: median, 90th percentile and maximum; null where
     * that job has tasks that never started.
     */
    fun waitQuantiles(kind: JobKind): List<Double?> {
        val waits = jobs.filter { it.spec.kind == kind }.map(::waitS).sorted()
        if (waits.isEmpty()) return listOf(null, null, null)
        val quantiles = listOf(waits[waits.size / 2], waits[waits.size * 9 / 10], waits.last())
        return quantiles.map { wait -> wait.takeIf { it < Double.MAX_VALUE } }
    }

    private fun waitS(job: TrackedJob): Double = job.startedAt?.let { (it - job.submittedAt) / 1000.0 } ?: Double.MAX_VALUE

    private companion object {
        const val SECONDS_PER_HOUR = 3600.0
    }
}
