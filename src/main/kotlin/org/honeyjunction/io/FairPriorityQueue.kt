package org.honeyjunction.io

/**
 * A fair queue: first in, first out within a lane, and round robin between the lanes that have items. A priority queue is made
 * of one such queue for each priority; see [WriteQueue].
 */
class FairPriorityQueue<T> {
    private val lanes = LinkedHashMap<String, ArrayDeque<T>>()

    /** Items of all lanes. */
    var size = 0
        private set

    /** Appends [item] to [lane]. */
    fun addLast(lane: String, item: T) {
        lanes.getOrPut(lane, ::ArrayDeque).addLast(item)
        size++
    }

    fun isEmpty() = size == 0

    /** The item that [removeFirst] removes; the queue must not be empty. */
    fun first(): T = lanes.values.first().first()

    /** Removes and returns the next item; the queue must not be empty. */
    fun removeFirst(): T {
        val (lane, items) = lanes.entries.first()
        val item = items.removeFirst()
        size--
        // A lane that was served moves to the end of the round-robin order; an empty lane is removed.
        lanes.remove(lane)
        if (items.isNotEmpty()) lanes[lane] = items
        return item
    }
}
