package org.honeyjunction.io

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory

/**
 * Runs [block], which is expected never to return, and restarts it with exponential backoff when an unexpected exception ends
 * it. The same exception in succession is logged with its stack trace once only.
 *
 * @param name name of the block, for the log
 * @param onFailure called before the restart; releases resources that must not be held while the block is not running
 */
fun CoroutineScope.supervise(name: String, clock: Clock, onFailure: () -> Unit = {}, block: suspend () -> Unit) =
    launch {
        val log = LoggerFactory.getLogger("supervisor")
        var pauseMs = FIRST_PAUSE_MS
        var lastLogged: String? = null
        while (true) {
            val startedAt = clock.steady()
            try {
                block()
                return@launch
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                val summary = "$e at ${e.stackTrace.firstOrNull()}"
                if (summary == lastLogged) {
                    log.error("{} failed again: {}", name, summary)
                } else {
                    log.error("{} failed and is restarted", name, e)
                }
                lastLogged = summary
                onFailure()
            }
            if (clock.steady() - startedAt > STABLE_RUN_MS) pauseMs = FIRST_PAUSE_MS
            delay(pauseMs)
            pauseMs = minOf(pauseMs * 2, MAX_PAUSE_MS)
        }
    }

private const val FIRST_PAUSE_MS = 200L
private const val MAX_PAUSE_MS = 10_000L

/** A run that lasted longer than this resets the backoff. */
private const val STABLE_RUN_MS = 60_000L
