package org.honeyjunction.core.control.messages

/** A machine in the cloud's list of rented instances; [rentedForS] is the time in seconds since it was rented. */
data class ListedMachine(
    val name: String,
    val address: String?,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val failed: Boolean,
    val rentedForS: Double,
)
