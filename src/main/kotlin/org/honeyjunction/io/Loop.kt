package org.honeyjunction.io

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import java.nio.channels.AsynchronousChannelGroup
import java.util.concurrent.ScheduledThreadPoolExecutor

/** The one thread on which everything runs; channels hand their completions to it, so nothing needs a lock. */
class Loop : AutoCloseable {
    private val executor = ScheduledThreadPoolExecutor(1) { Thread(it, "loop") }.apply { removeOnCancelPolicy = true }
    val group: AsynchronousChannelGroup = AsynchronousChannelGroup.withThreadPool(executor)
    private val dispatcher = executor.asCoroutineDispatcher()
    val scope = CoroutineScope(SupervisorJob() + dispatcher)

    /** The thread does nothing else for [ms] milliseconds, as if the process hung. */
    fun occupy(ms: Long) {
        executor.execute { Thread.sleep(ms) }
    }

    override fun close() {
        group.shutdownNow()
        executor.shutdownNow()
    }
}

/** Steady and wall time in milliseconds. */
interface Clock {
    fun steady(): Long

    fun wall(): Long

    companion object : Clock {
        override fun steady() = System.nanoTime() / 1_000_000

        override fun wall() = System.currentTimeMillis()
    }
}
