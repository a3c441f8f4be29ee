package org.honeyjunction.io

/** Outcome of a compare-and-swap transaction on the key-value store. */
sealed interface CompareAndSwapOutcome {
    /** Every condition held and every write was applied at [revision] of the store. */
    class Applied(val revision: Long) : CompareAndSwapOutcome

    /** A condition failed, so nothing was written. */
    data object Conflict : CompareAndSwapOutcome

    /** No response arrived: the transaction may have been applied, or may still be applied later. */
    data object Unknown : CompareAndSwapOutcome
}
