package org.honeyjunction.core.control.leader

import org.honeyjunction.core.rules.Rule
import org.honeyjunction.core.rules.RuleSet

/** Combines the operators' rules with the rules of jobs and puts them in force. */
internal class RulesInForce(private val state: ClusterState, private var operatorRules: RuleSet) {
    private var jobRules = emptyList<Rule>()

    /** Replaces the operators' rules if [rules] have a higher version. */
    fun useOperatorRules(rules: RuleSet) {
        if (rules.version <= operatorRules.version) return
        operatorRules = rules
        state.useRules(combinedRules())
    }

    /** Replaces the rules of all jobs. */
    fun useJobRules(rules: List<Rule>) {
        if (rules == jobRules) return
        jobRules = rules
        state.useRules(combinedRules())
    }

    private fun combinedRules() = RuleSet(operatorRules.version, operatorRules.rules + jobRules, operatorRules.topology)
}
