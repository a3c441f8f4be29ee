package org.honeyjunction.core.admission

/** The unit of admission control: all jobs of one class of one team, which share a rate and a token bucket. */
data class TrafficClass(val team: String, val jobClass: String) {
    companion object {
        /** The pool whose rate every class of [team] may use in addition to its own. A job class named `*` has only this rate. */
        fun teamPool(team: String) = TrafficClass(team, "*")
    }
}

/** The rate at which users submit jobs of [trafficClass] to a node; [urgent] jobs go first within their team's rate. */
data class Demand(val trafficClass: TrafficClass, val urgent: Boolean, val jobsPerS: Double)
