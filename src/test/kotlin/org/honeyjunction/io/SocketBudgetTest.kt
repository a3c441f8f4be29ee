package org.honeyjunction.io

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.Size
import org.honeyjunction.app.retryAfterS
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

class SocketBudgetTest {
    @Test
    fun `a thousand workers that connect at once leave a socket for a user`() {
        val budget = SocketBudget<Int>(100)
        for (worker in 1..1_000) {
            val admission = budget.admit(worker)
            if (admission is SocketBudget.Admission.Evicting) assertTrue(admission.evicted < worker)
            budget.requestStarted(worker)
            if (!budget.requestFinished(worker, worker = true)) budget.closed(worker)
        }
        assertTrue(budget.open <= 75, "open ${budget.open}")
        assertTrue(budget.admit(-1) !is SocketBudget.Admission.Rejected)
    }

    @Test
    fun `idle worker connections are evicted, the least recently used first, user and busy connections never`() {
        val budget = SocketBudget<String>(4)
        for (connection in listOf("user", "busy", "worker 1")) {
            assertEquals(SocketBudget.Admission.Admitted, budget.admit(connection))
            budget.requestStarted(connection)
        }
        assertTrue(budget.requestFinished("user", worker = false))
        assertFalse(budget.requestFinished("worker 1", worker = true), "more than half of the sockets are open")
        assertEquals("worker 1", (budget.admit("worker 2") as SocketBudget.Admission.Evicting).evicted)
        budget.requestStarted("worker 2")
        budget.requestFinished("worker 2", worker = true)
        assertEquals("worker 2", (budget.admit("user 2") as SocketBudget.Admission.Evicting).evicted)
        budget.requestStarted("user 2")
        assertEquals(SocketBudget.Admission.Admitted, budget.admit("user 3"))
        budget.requestStarted("user 3")
        assertEquals(SocketBudget.Admission.Rejected, budget.admit("user 4"))
        // The evicted connection's coroutine reports its end later.
        budget.requestFinished("worker 2", worker = true)
        assertEquals(null, budget.stateOf("worker 2"))
    }

    /** Each drawn number encodes one of ten connections and an event. The limit is never exceeded, and no closed connection is counted. */
    @Property(tries = 500, seed = "8")
    fun `the limit holds for every sequence of events`(
        @ForAll @Size(max = 60) drawn: List<Int>,
    ) {
        val steps = drawn.map { Math.floorMod(it, 40) }
        val budget = SocketBudget<Int>(6)
        val open = HashSet<Int>()
        for ((turn, step) in steps.withIndex()) {
            val connection = step / 4
            when (step % 4) {
                0 ->
                    if (connection !in open) {
                        val admission = budget.admit(connection)
                        if (admission is SocketBudget.Admission.Evicting) open -= admission.evicted
                        if (admission !is SocketBudget.Admission.Rejected) open += connection
                    }
                1 -> budget.requestStarted(connection)
                2 ->
                    if (!budget.requestFinished(connection, worker = turn % 2 == 0)) {
                        budget.closed(connection)
                        open -= connection
                    }
                else -> {
                    budget.closed(connection)
                    open -= connection
                }
            }
            assertEquals(open.size, budget.open)
            assertTrue(open.size <= 6)
        }
    }

    @ParameterizedTest(name = "after {0} ms of an outage: {1} to {2} s")
    @CsvSource("0,1,1", "14000,1,1", "20000,1,2", "50000,1,4", "9000000,1,4")
    fun `the retry delay grows with the outage and is spread over the jobs`(outageMs: Long, least: Int, most: Int) {
        val delays = (0 until 200).map { retryAfterS(outageMs, "j-$it") }
        assertEquals((least..most).toSet(), delays.toSet())
    }
}
