package org.honeyjunction.core.control.jobs

/**
 * The result of an exploration: the sequences of actions that break an invariant, the situations that occurred, and the number
 * of states that were reached.
 */
data class JobTerminationExploration(val violations: List<String>, val observed: Set<String>, val states: Int) {
    companion object {
        /** Explores all sequences of up to [depth] actions, breadth first; does not continue from a state that was reached before. */
        fun explore(depth: Int, actions: List<String>, newModel: () -> JobTerminationModel): JobTerminationExploration {
            val violations = ArrayList<String>()
            val observed = HashSet<String>()
            val reached = HashSet<List<Any?>>()
            var level = listOf(emptyList<String>())
            repeat(depth) {
                val nextLevel = ArrayList<List<String>>()
                for (path in level) {
                    for (action in actions) {
                        val longer = path + action
                        val model = longer.fold(newModel()) { model, step -> if (model.violation == null) model.act(step) else model }
                        if (model.violation == null) {
                            if (!reached.add(model.key)) continue
                            observed += model.observed
                            model.end()
                        }
                        model.violation?.let { violations += longer.joinToString() + ": " + it } ?: nextLevel.add(longer)
                    }
                }
                level = nextLevel
                if (violations.isNotEmpty()) return JobTerminationExploration(violations, observed, reached.size)
            }
            return JobTerminationExploration(violations, observed, reached.size)
        }
    }
}
