package org.honeyjunction.nomad

import com.cronutils.model.CronType
import com.cronutils.model.definition.CronDefinitionBuilder
import com.cronutils.model.time.ExecutionTime
import com.cronutils.parser.CronParser
import java.time.DateTimeException
import java.time.Instant
import java.time.ZoneId

/** When a periodic job is due. */
class Cron private constructor(private val times: List<ExecutionTime>, private val zone: ZoneId) {
    /** The first time after [afterMs], both in milliseconds of the epoch; null where there is none. */
    fun next(afterMs: Long): Long? {
        val after = Instant.ofEpochMilli(afterMs).atZone(zone)
        return times.mapNotNull { it.nextExecution(after).orElse(null) }.minOfOrNull { it.toInstant().toEpochMilli() }
    }

    companion object {
        private val parser = CronParser(CronDefinitionBuilder.instanceDefinitionFor(CronType.UNIX))
        private val nicknames =
            mapOf(
                "@hourly" to "0 * * * *",
                "@daily" to "0 0 * * *",
                "@midnight" to "0 0 * * *",
                "@weekly" to "0 0 * * 0",
                "@monthly" to "0 0 1 * *",
                "@yearly" to "0 0 1 1 *",
                "@annually" to "0 0 1 1 *",
            )

        /** Throws [IllegalArgumentException] with what is wrong. */
        fun of(p: Periodic): Cron {
            val zone =
                try {
                    ZoneId.of(p.zone)
                } catch (_: DateTimeException) {
                    throw IllegalArgumentException("there is no time zone \"${p.zone}\"")
                }
            require(p.crons.isNotEmpty()) { "periodic needs cron" }
            return Cron(p.crons.map { spec -> ExecutionTime.forCron(parse(spec)) }, zone)
        }

        private fun parse(spec: String) =
            try {
                parser.parse(nicknames[spec.trim()] ?: spec)
            } catch (e: IllegalArgumentException) {
                throw IllegalArgumentException("\"$spec\" is no cron of five fields")
            }
    }
}
