package org.honeyjunction.simulation

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.disposeOnCancellation
import org.honeyjunction.io.Clock
import org.honeyjunction.io.Connection
import org.honeyjunction.io.EventLoop
import org.honeyjunction.io.Listener
import kotlin.coroutines.CoroutineContext

/**
 * Clocks of a simulated process: the steady clock has an arbitrary origin and runs fast by the fraction [drift] (slow if
 * negative), the wall clock is off by [skewMs].
 */
class VirtualClock(private val time: VirtualTime, private val drift: Double = 0.0, private val skewMs: Long = 0) : Clock {
    override fun steady() = STEADY_ORIGIN_MS + (time.now * (1 + drift)).toLong()

    override fun wall() = EPOCH_MS + time.now + skewMs

    private companion object {
        const val STEADY_ORIGIN_MS = 1_000_000L
        const val EPOCH_MS = 1_764_630_000_000L
    }
}

/**
 * Event loop of a simulated process in virtual time, which connects through [net]. The process can be killed, after which none of
 * its code runs, and suspended while its clocks run on: events that are due meanwhile are handled afterwards, in order.
 */
@OptIn(InternalCoroutinesApi::class)
class VirtualEventLoop private constructor(
    private val name: String,
    private val net: VirtualNetwork,
    override val clock: Clock,
    private val process: Process,
) : EventLoop {
    constructor(
        name: String,
        net: VirtualNetwork,
        clock: Clock = VirtualClock(net.time),
        onFailure: (Throwable) -> Unit,
    ) : this(name, net, clock, Process(net.time, onFailure))

    /** State shared by all host names of one process. */
    private class Process(private val time: VirtualTime, onFailure: (Throwable) -> Unit) :
        CoroutineDispatcher(),
        Delay {
        var dead = false
        var frozenUntil = 0L
        val scope = CoroutineScope(SupervisorJob() + this + CoroutineExceptionHandler { _, e -> onFailure(e) })

        private fun schedule(moment: Long, run: () -> Unit): () -> Unit = time.schedule(moment) { runUnlessFrozen(run) }

        private fun runUnlessFrozen(run: () -> Unit) {
            if (dead) return
            if (time.now < frozenUntil) time.schedule(frozenUntil) { runUnlessFrozen(run) } else run()
        }

        override fun dispatch(context: CoroutineContext, block: Runnable) {
            schedule(time.now) { block.run() }
        }

        override fun scheduleResumeAfterDelay(timeMillis: Long, continuation: CancellableContinuation<Unit>) {
            val cancel = schedule(time.now + maxOf(timeMillis, 0)) { with(continuation) { resumeUndispatched(Unit) } }
            continuation.disposeOnCancellation(DisposableHandle { cancel() })
        }

        override fun invokeOnTimeout(timeMillis: Long, block: Runnable, context: CoroutineContext): DisposableHandle {
            val cancel = schedule(time.now + maxOf(timeMillis, 0)) { block.run() }
            return DisposableHandle { cancel() }
        }
    }

    override val scope get() = process.scope

    override suspend fun connect(address: String): Connection = net.connect(name, address)

    override fun listen(address: String): Listener = net.listen(name, address)

    override fun blockFor(ms: Long) {
        process.frozenUntil = maxOf(process.frozenUntil, net.time.now + ms)
    }

    override fun withHostName(name: String): EventLoop = VirtualEventLoop(name, net, clock, process)

    /** Kills the process; the network closes its connections and listeners. */
    override fun close() {
        process.dead = true
        net.closeAll(name)
    }
}
