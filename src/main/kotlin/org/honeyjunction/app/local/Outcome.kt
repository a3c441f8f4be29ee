package org.honeyjunction.app.local

import org.honeyjunction.app.ExitStatus
import org.honeyjunction.app.JobApi
import org.honeyjunction.app.OperatorClient
import org.honeyjunction.app.RulesApi
import org.honeyjunction.fake.FakeUsers
import org.honeyjunction.wire.ExplainCodec
import org.honeyjunction.wire.Json

/** What a run on loopback came to: a table of final answers, and what was broken. */
object Outcome {
    fun print(cluster: LocalCluster, explain: Boolean): Int {
        val jobs = cluster.users.jobs
        val compared = cluster.compareExplanations()
        if (explain) jobs.forEach { explain(cluster, it.spec.id) }
        val rows =
            listOf(listOf("job", "class", "kind", "tasks", "answer", "accepted", "final")) +
                jobs.map { j ->
                    listOf(
                        j.spec.id,
                        j.spec.jobClass,
                        j.spec.kind.name.lowercase(),
                        "${j.spec.tasks}",
                        j.stage.name.lowercase(),
                        j.acceptedMs.seconds(),
                        j.finalMs.seconds() + if (j.why.isEmpty()) "" else "  ${j.why}",
                    )
                }
        println(table(rows))
        val broken = cluster.loopback.watch.broken
        broken.forEach { println("BROKEN  $it") }
        compared.differences.forEach { println("DIFFERS  $it") }
        if (compared.told + compared.gone > 0) {
            println(
                "${compared.told} placements explained, ${compared.differences.size} not as the stand-ins saw them; " +
                    "${compared.gone} explanations are gone with the leader or the attempt",
            )
        }
        val left = jobs.filter { !it.over }
        println(
            "${jobs.size} jobs, ${jobs.count {
                it.stage == FakeUsers.Stage.DONE
            }} done, ${jobs.count { it.stage == FakeUsers.Stage.CANCELLED }} cancelled, " +
                "${jobs.count { it.stage == FakeUsers.Stage.REFUSED }} refused, ${left.size} without a final answer; " +
                "${cluster.loopback.watch.started} starts, ${broken.size} rules broken",
        )
        return if (left.isEmpty() && broken.isEmpty() && compared.differences.isEmpty()) ExitStatus.OK else ExitStatus.FAILED
    }

    private fun explain(cluster: LocalCluster, id: String) {
        val r = OperatorClient(cluster.nodes).ask("GET", "${JobApi.JOBS_PATH}/$id${RulesApi.EXPLAIN_SUFFIX}")
        if (r.status == 200) ExplainCodec.lines(Json.readObject(r.body)).forEach(::println) else println("$id  ${OperatorClient.reason(r)}")
    }

    private fun Long?.seconds() = this?.let { "%.1f s".format(it / 1000.0) } ?: "-"

    fun table(rows: List<List<String>>): String {
        val widths = rows[0].indices.map { c -> rows.maxOf { it[c].length } }
        return rows.joinToString("\n") { r -> r.mapIndexed { c, cell -> cell.padEnd(widths[c]) }.joinToString("  ").trimEnd() }
    }
}
