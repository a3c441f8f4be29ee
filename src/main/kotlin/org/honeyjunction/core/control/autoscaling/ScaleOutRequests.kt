package org.honeyjunction.core.control.autoscaling

import org.honeyjunction.core.capacity.Offer
import org.honeyjunction.core.control.leader.ClusterState
import org.honeyjunction.core.control.messages.Effect
import org.honeyjunction.core.model.MachinePhase

/**
 * The scale-out requests to the cloud, each kept until it is answered. A request whose outcome is unknown is retried under the same
 * name, which makes it idempotent. Times are monotonic milliseconds.
 */
internal class ScaleOutRequests(private val state: ClusterState) {
    /** A scale-out request; while it is not [inFlight], it is sent again at [retryAt]. */
    class Request(val offer: Offer, val effect: Effect.ScaleOut, var inFlight: Boolean, var retryAt: Long)

    private val requests = LinkedHashMap<String, Request>()
    private val refusedUntil = HashMap<Offer, Long>()

    /** Whether no request is pending. */
    val none get() = requests.isEmpty()

    /** The requests that the cloud has not answered yet. */
    val pending: Collection<Request> get() = requests.values

    /** Whether the cloud has recently refused instances of [offer]. */
    fun refused(offer: Offer, now: Long): Boolean = now < refusedUntil.getOrDefault(offer, 0L)

    /** Requests [count] instances, unless a request for the same offer is pending. */
    fun request(offer: Offer, count: Int, now: Long) {
        if (requests.values.any { it.offer == offer }) return
        // The term and the sequence number make the name unique across leaders and restarts.
        val name = "r-${state.term}-${state.nextSequence() and 0xFFFFFF}"
        val type = state.cluster.types.getValue(offer.type).name
        val zone = state.cluster.zones.name(offer.zone)
        val effect = Effect.ScaleOut(name, offer, type, zone, count)
        requests[name] = Request(offer, effect, true, now)
        state.effects += effect
    }

    /** Sends the requests whose outcome is unknown again. */
    fun retry(now: Long) {
        for (request in requests.values) {
            if (request.inFlight || now < request.retryAt) continue
            request.inFlight = true
            state.effects += request.effect
        }
    }

    /** Adds the [machines] that the cloud has rented for the request [name], which may be fewer than requested. */
    fun confirmed(name: String, machines: List<String>, now: Long) {
        val request = requests.remove(name) ?: return
        for (machineName in machines) {
            val machine = state.addMachine(machineName, now)
            val undescribed = machine.phase == MachinePhase.BOOTING && machine.type < 0
            if (undescribed) state.describe(machine, null, request.effect.type, request.effect.zone, request.offer.spot)
        }
        if (machines.size < request.effect.count) refusedUntil[request.offer] = now + state.tuning.refusedOfferBackoffMs
    }

    /** Handles the cloud's refusal of the request [name]: its offer is avoided for a while. */
    fun refused(name: String, now: Long) {
        val request = requests.remove(name) ?: return
        refusedUntil[request.offer] = now + state.tuning.refusedOfferBackoffMs
    }

    /** Schedules a retry of the request [name], whose outcome is unknown. */
    fun outcomeUnknown(name: String, now: Long) {
        val request = requests[name] ?: return
        request.inFlight = false
        request.retryAt = now + RETRY_MS
    }

    private companion object {
        const val RETRY_MS = 1_000L
    }
}
