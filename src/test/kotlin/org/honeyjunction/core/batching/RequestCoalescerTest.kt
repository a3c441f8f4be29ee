package org.honeyjunction.core.batching

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.util.PriorityQueue
import java.util.Random

class RequestCoalescerTest {
    @ParameterizedTest(name = "{0}")
    @CsvSource(
        delimiter = '|',
        value = [
            // Interval 40 ms, two keys a batch, longest wait 80 ms; requests as key@ms, batches as keys@ms.
            "a single request is sent at once          | a@100                                  | a@100",
            "requests within the interval are batched  | a@100 b@110 c@120                      | a@100 bc@140",
            "requests for one key are coalesced        | a@100 b@110 b@111 b@112 c@113          | a@100 bc@140",
            "a request in flight is not joined         | a@100 a@105                            | a@100 a@140",
            "excess keys wait for the next batch       | a@100 b@110 c@111 d@112                | a@100 bc@140 d@180",
            "a long queue rejects new keys only        | a@100 b@101 c@101 d@101 e@101 f@101 g@102 d@103 | a@100 bc@140 de@180",
            "a request after a pause is sent at once   | a@100 b@200                            | a@100 b@200",
        ],
    )
    fun `requests are coalesced into paced batches`(case: String, requests: String, expected: String) {
        val coalescer = RequestCoalescer<Int>(40, 2, 80)
        val pending = requests.split(' ').map { it.substringBefore('@') to it.substringAfter('@').toLong() }.toMutableList()
        val batches = ArrayList<String>()
        for (now in 0L..400L) {
            while (pending.firstOrNull()?.second == now) coalescer.enqueue(pending.removeFirst().first, 0, now)
            coalescer.takeBatch(now).keys.takeIf { it.isNotEmpty() }?.let { batches += it.joinToString("") + "@$now" }
        }
        assertEquals(expected, batches.joinToString(" "), case)
        assertEquals(RequestCoalescer.State.IDLE, coalescer.state(400))
        assertEquals(0.0, coalescer.pressure(400))
    }

    /**
     * Simulates three nodes whose users request the status of jobs. Each node asks the leader first (step 0) and, if that response is
     * lost, reads the stored record (step 1). Responses are slow and may be outdated when they arrive. Returns the number of responses
     * that are older than a response which any user received before the request was made.
     */
    private fun countStaleResponses(seed: Long, joinsInFlight: Boolean): Int {
        class StatusRequest(val at: Long, val node: Int, val job: Int)

        class Event(val at: Long, val action: (Long) -> Unit)
        val random = Random(seed)
        // The stage of a job increases when the job is accepted, done, and so on. A response must not show a lower stage than any
        // response that a user received before the request.
        val changes = List(4) { List(6) { random.nextInt(3_000).toLong() }.sorted() }

        fun stage(job: Int, at: Long) = changes[job].count { it <= at }
        val events = PriorityQueue<Event>(compareBy { it.at })
        val queues = List(3) { listOf(RequestCoalescer<StatusRequest>(40, 3, 400), RequestCoalescer<StatusRequest>(10, 1, 400)) }
        val inFlight = HashMap<Pair<Int, Int>, MutableList<StatusRequest>>()
        val responses = ArrayList<Triple<Int, Long, Int>>()
        var staleResponses = 0

        fun respond(request: StatusRequest, stage: Int, now: Long) {
            if (responses.any { it.first == request.job && it.second < request.at && it.third > stage }) staleResponses++
            responses += Triple(request.job, now, stage)
        }

        fun send(request: StatusRequest, step: Int, now: Long) {
            val sent = inFlight[request.node to request.job]
            if (joinsInFlight && sent != null) sent += request else queues[request.node][step].enqueue(request.job.toString(), request, now)
        }

        fun sendBatch(node: Int, step: Int, now: Long) {
            for ((key, queuedRequests) in queues[node][step].takeBatch(now)) {
                val job = key.toInt()
                val sent = queuedRequests.toMutableList()
                inFlight[node to job] = sent
                val readAt = now + 1 + random.nextInt(120)
                val lost = step == 0 && random.nextInt(5) == 0
                events +=
                    Event(readAt) { _ ->
                        val observedStage = stage(job, readAt)
                        events +=
                            Event(readAt + 1 + random.nextInt(300)) { at ->
                                inFlight.remove(node to job, sent)
                                sent.forEach { if (lost) send(it, 1, at) else respond(it, observedStage, at) }
                            }
                    }
            }
        }
        repeat(400) {
            val request = StatusRequest(random.nextInt(3_000).toLong(), random.nextInt(3), random.nextInt(4))
            events += Event(request.at) { send(request, 0, it) }
        }
        for (now in 0L..6_000L) {
            while (events.isNotEmpty() && events.peek().at <= now) events.poll().action(now)
            for (node in 0..2) for (step in 0..1) sendBatch(node, step, now)
        }
        assertTrue(responses.size > 200, "${responses.size} responses")
        return staleResponses
    }

    @Test
    fun `no request gets a response older than one received before it, even if responses are slow or lost`() {
        assertEquals(0, (1L..60L).sumOf { countStaleResponses(it, joinsInFlight = false) })
        // The test detects the error of joining a request that is in flight.
        assertTrue((1L..60L).sumOf { countStaleResponses(it, joinsInFlight = true) } > 0)
    }
}
