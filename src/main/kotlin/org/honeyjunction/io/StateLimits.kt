package org.honeyjunction.io

import java.io.IOException

/**
 * The limits that the key-value store sets.
 *
 * @property requestsPerS requests a second that one controller may send
 * @property writesPerS writes a second that all controllers may make together
 * @property transactionWrites writes in one transaction
 * @property nodes number of controllers that share [writesPerS]
 * @property valueBytes size of one value, in bytes
 */
class StateLimits(val requestsPerS: Double, val writesPerS: Double, val transactionWrites: Int, val nodes: Int, val valueBytes: Int)

/** The key-value store rejected a request or did not answer it; whether a write was applied is unknown. */
class StateUnavailableException(message: String) : IOException(message)
