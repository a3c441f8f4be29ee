package org.honeyjunction.app

import com.fasterxml.jackson.databind.node.IntNode
import kotlinx.coroutines.launch
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.honeyjunction.fake.FakeKeyValueStore
import org.honeyjunction.fake.StateServer
import org.honeyjunction.io.KeyValueClient
import org.honeyjunction.io.StateLimits
import org.honeyjunction.simulation.VirtualEventLoop
import org.honeyjunction.simulation.VirtualNetwork
import org.honeyjunction.simulation.VirtualTime
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import java.util.Random

class StateReaderTest {
    /** Keys of different lengths, as users choose them, in any mixture of wanted, unwanted and absent ones. */
    @Property(tries = 60)
    fun `readAll reads exactly the wanted entries that exist`(
        @ForAll seed: Long,
        @ForAll @IntRange(max = 2_000) stored: Int,
        @ForAll @IntRange(min = 1, max = 20) oneInWanted: Int,
    ) {
        val random = Random(seed)
        val present = List(stored) { "f/j-${random.nextInt(stored * 3)}" }.toSet()
        val absent = List(stored / 20) { "f/j-${stored * 3 + random.nextInt(1_000)}" }
        val wanted = present.filter { random.nextInt(oneInWanted) == 0 } + absent
        val others = listOf("e/j-1", "g/j-1", "j/j-1")
        assertEquals(wanted.filter { it in present }.sorted(), read(present + others, wanted).sorted())
    }

    private fun read(present: Collection<String>, wanted: Collection<String>): List<String> {
        val time = VirtualTime()
        val failures = ArrayList<Throwable>()
        val loop = VirtualEventLoop("n", VirtualNetwork(time, Random(1))) { failures += it }
        val store = FakeKeyValueStore(FakeKeyValueStore.Limits(RATE, RATE, 16, 4_096), 0)
        store.preload(present.map { FakeKeyValueStore.Put(it, IntNode(1), null) })
        val address = StateServer(loop, store, Random(1)) { time.now }.listen()
        val client = KeyValueClient(loop, address, StateLimits(RATE, RATE, 16, 1, 4_096), loop.clock)
        val found = ArrayList<String>()
        val reading = loop.scope.launch { StateReader(client) { true }.readAll("f/", wanted) { page -> page.mapTo(found) { it.key } } }
        time.runUntil(READ_MS)
        assertEquals(emptyList<Throwable>(), failures)
        assertTrue(reading.isCompleted, "read within $READ_MS ms")
        return found
    }

    private companion object {
        const val RATE = 10_000.0
        const val READ_MS = 600_000L
    }
}
