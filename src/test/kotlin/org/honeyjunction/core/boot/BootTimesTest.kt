package org.honeyjunction.core.boot

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

class BootTimesTest {
    private val kind = InstanceKind(0, 0, false)

    /**
     * Each observation `rented-took` is a machine with a nominal boot time of 30 s, rented at that second, that took that many seconds
     * to boot. Then a machine that was rented at 100 s is assessed.
     */
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        "nothing observed; recently rented,                           '',                                      150, EXPECTED",
        "nothing observed; late but no other machine is up,           '',                                      200, EXPECTED",
        "nothing observed; twice as late,                             '',                                      210, LATE",
        "nothing observed; far beyond the usual time,                 '',                                      430, ABANDONED",
        "two rented later and one of its own request are up,          '101-20 102-20 103-20',                  160, LATE",
        "three rented later are up,                                   '104-20 105-20 106-20',                  165, ABANDONED",
        "only two rented later are up,                                '104-20 105-20',                         165, LATE",
        "only machines of its own request are up,                     '100-20 100-21 100-22 101-23',           165, LATE",
        "all boots take four times as long,                           '0-120 1-118 2-122 3-119 4-121 5-120 6-120 7-120 8-120 9-120 " +
            "10-120 11-120 12-120 13-120 14-120 15-120 16-120 17-120 18-120 19-120', 230, EXPECTED",
        "all earlier ones booted at once and none since,              '0-1 1-1 2-1 3-1 4-1 5-1 6-1 7-1 8-1 9-1 10-1 11-1 12-1 " +
            "13-1 14-1 15-1 16-1 17-1 18-1 19-1', 150, EXPECTED",
        "all booted at once; past the nominal time,                   '100-1 1-1 2-1 3-1 4-1 5-1 6-1 7-1 8-1 9-1 10-1 11-1 12-1 " +
            "13-1 14-1 15-1 16-1 17-1 18-1 19-1', 132, LATE",
        "all booted at once; before the nominal time,                 '0-1 1-1 2-1 3-1 4-1 5-1 6-1 7-1 8-1 9-1 10-1 11-1 12-1 13-1 " +
            "14-1 15-1 16-1 17-1 18-1 19-1', 128, EXPECTED",
    )
    fun `a boot is assessed by the boot times of its instance kind`(case: String, observed: String, nowS: Long, progress: BootProgress) {
        val boots = BootTimes()
        val observations = observed.split(' ').filter { it.isNotEmpty() }.map { it.split('-').map(String::toLong) }
        observations.forEach { (rentedS, tookS) -> boots.recordBoot(kind, rentedS * 1000, (rentedS + tookS) * 1000) }
        assertEquals(progress, boots.assess(kind, 100_000, 30_000, 5_000, nowS * 1000), case)
    }

    @Test
    fun `the next leader restores the observations, and slow boots are forgotten`() {
        val boots = BootTimes(windowMs = 60_000)
        (0L until 30).forEach { boots.recordBoot(kind, it * 1000, it * 1000 + 120_000) }
        val checkpoint = boots.checkpoint { "t" to "z" }.single()
        assertEquals(BootTimeCheckpoint("t", "z", false, 20, checkpoint.medianMs, checkpoint.lateMs), checkpoint)
        assertTrue(checkpoint.medianMs in 118_000..122_000 && checkpoint.lateMs in 118_000..122_000, "$checkpoint")
        val next = BootTimes(windowMs = 60_000)
        next.restore(kind, checkpoint, 0)
        assertTrue(next.lateThresholdMs(kind, 30_000) in 140_000..160_000, "${next.lateThresholdMs(kind, 30_000)}")
        for (minute in 1L..3) {
            for (i in 0L until 30) {
                val rentedAt = minute * 60_000 + i * 100
                next.recordBoot(kind, rentedAt, rentedAt + 30_000)
            }
        }
        assertTrue(next.lateThresholdMs(kind, 30_000) in 35_000..40_000, "${next.lateThresholdMs(kind, 30_000)}")
    }
}
