package org.honeyjunction.app.local

import org.honeyjunction.app.Status
import org.honeyjunction.standin.Users

/** What a run on loopback came to: a table of final answers, and what was broken. */
object Outcome {
    fun print(cluster: LocalCluster): Int {
        val jobs = cluster.users.jobs
        val rows = listOf(listOf("job", "class", "kind", "tasks", "answer", "accepted", "final")) + jobs.map { j ->
            listOf(
                j.spec.id, j.spec.jobClass, j.spec.kind.name.lowercase(), "${j.spec.tasks}", j.stage.name.lowercase(),
                j.acceptedMs.seconds(), j.finalMs.seconds() + if (j.why.isEmpty()) "" else "  ${j.why}",
            )
        }
        println(table(rows))
        val broken = cluster.loopback.watch.broken
        broken.forEach { println("BROKEN  $it") }
        val left = jobs.filter { !it.over }
        println(
            "${jobs.size} jobs, ${jobs.count { it.stage == Users.Stage.DONE }} done, ${jobs.count { it.stage == Users.Stage.CANCELLED }} cancelled, " +
                "${jobs.count { it.stage == Users.Stage.REFUSED }} refused, ${left.size} without a final answer; " +
                "${cluster.loopback.watch.started} starts, ${broken.size} rules broken",
        )
        return if (left.isEmpty() && broken.isEmpty()) Status.OK else Status.FAILED
    }

    private fun Long?.seconds() = this?.let { "%.1f s".format(it / 1000.0) } ?: "-"

    fun table(rows: List<List<String>>): String {
        val widths = rows[0].indices.map { c -> rows.maxOf { it[c].length } }
        return rows.joinToString("\n") { r -> r.mapIndexed { c, cell -> cell.padEnd(widths[c]) }.joinToString("  ").trimEnd() }
    }
}
