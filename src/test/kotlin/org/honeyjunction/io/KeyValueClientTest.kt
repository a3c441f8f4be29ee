package org.honeyjunction.io

import com.fasterxml.jackson.databind.node.IntNode
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.honeyjunction.fake.FakeKeyValueStore
import org.honeyjunction.fake.StateServer
import org.honeyjunction.wire.Condition
import org.honeyjunction.wire.Write
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.util.Random

class KeyValueClientTest {
    /** If the two transactions were joined, one condition would replace the other, and a write based on another version would be applied. */
    @ParameterizedTest
    @CsvSource("false, true", "true, false")
    fun `queued transactions that expect different versions of a key are not joined`(firstHolds: Boolean, secondHolds: Boolean) {
        EventLoop().use { loop ->
            val store = FakeKeyValueStore(FakeKeyValueStore.Limits(1_000.0, 1_000.0, 8, 4_096), 0)
            val address = StateServer(loop, store, Random(1)) { Clock.steady() }.listen()
            val client = KeyValueClient(loop, address, StateLimits(1_000.0, 1_000.0, 8, 1, 4_096), Clock)
            val outcomes =
                runBlocking {
                    loop.scope
                        .async {
                            val first = client.commit(emptyList(), listOf(Write("head", IntNode(1))))
                            val version = (first as CompareAndSwapOutcome.Applied).revision
                            // Both are queued before the loop's thread can send either.
                            listOf(firstHolds, secondHolds)
                                .mapIndexed { i, holds ->
                                    async {
                                        client.commit(
                                            listOf(Condition("head", if (holds) version else version + 7)),
                                            listOf(Write("k$i", IntNode(i))),
                                        )
                                    }
                                }.map { it.await() is CompareAndSwapOutcome.Applied }
                        }.await()
                }
            assertEquals(listOf(firstHolds, secondHolds), outcomes)
            assertEquals(outcomes, listOf(store["k0"] != null, store["k1"] != null))
        }
    }

    /** A store that accepts fewer writes a second than a transaction may have would reject a full transaction forever. */
    @Test
    fun `a joined transaction has no more writes than the key-value store accepts at once`() {
        EventLoop().use { loop ->
            val store = FakeKeyValueStore(FakeKeyValueStore.Limits(1_000.0, 8.0, 16, 4_096), Clock.steady())
            val address = StateServer(loop, store, Random(1)) { Clock.steady() }.listen()
            val client = KeyValueClient(loop, address, StateLimits(1_000.0, 8.0, 16, 1, 4_096), Clock)
            val applied =
                runBlocking {
                    loop.scope
                        .async {
                            List(14) { i -> async { client.commit(emptyList(), listOf(Write("k$i", IntNode(i)))) } }
                                .map { it.await() is CompareAndSwapOutcome.Applied }
                        }.await()
                }
            assertEquals(List(14) { true }, applied)
        }
    }
}
