package org.honeyjunction.fake

import org.honeyjunction.core.model.JobSpec
import org.honeyjunction.core.rules.Attribute
import org.honeyjunction.core.rules.ComparisonOperator
import org.honeyjunction.core.rules.RuleBook
import org.honeyjunction.core.rules.RuleSet
import org.honeyjunction.core.rules.Shape
import org.honeyjunction.core.rules.Test
import org.honeyjunction.core.rules.Topology
import org.honeyjunction.core.rules.Value

/** Rules judged by what the stand-ins saw, straight from the language and by names: to be compared with what is explained. */
class ReferenceModel(private val set: RuleSet) {
    /** One clause on one start; [sure] is false where it depends on what else was there at the moment of the decision. */
    class Verdict(val rule: String, val test: Test, val must: Boolean, val met: Boolean, val sure: Boolean)

    fun judge(spec: JobSpec, box: MachineSpec, beside: List<JobSpec>, jobsBoxes: List<MachineSpec>): List<Verdict> =
        set.rules.filter { RuleBook.matches(it.selector, Shape(spec)) }.flatMap { rule ->
            rule.clauses.map { c ->
                Verdict(rule.name, c.test, c.weight == null, holds(c.test, box, beside, jobsBoxes), sure(c.test, jobsBoxes))
            }
        }

    private fun sure(test: Test, boxes: List<MachineSpec>): Boolean =
        when (test) {
            is Test.Static -> true
            // Of two places with as many tasks either may be the one that the others are away from.
            is Test.Same -> boxes.groupingBy { value(test.attribute, it) }.eachCount().values.let { n -> n.count { it == n.max() } == 1 }
            is Test.Runs, is Test.Caches -> false
            is Test.Not -> sure(test.of, boxes)
            is Test.And -> sure(test.left, boxes) && sure(test.right, boxes)
            is Test.Or -> sure(test.left, boxes) && sure(test.right, boxes)
        }

    private fun holds(test: Test, box: MachineSpec, beside: List<JobSpec>, boxes: List<MachineSpec>): Boolean =
        when (test) {
            is Test.Compare -> compare(value(test.attribute, box), test.op, test.value)
            is Test.OneOf -> value(test.attribute, box) in test.values
            is Test.Runs -> beside.any { RuleBook.matches(test.selector, Shape(it)) }
            is Test.Caches -> false
            is Test.Same -> {
                // In the place where most of the job's tasks are.
                val mine = value(test.attribute, box)
                val counts = boxes.map { value(test.attribute, it) }.groupingBy { it }.eachCount()
                mine != null && counts.getValue(mine) == counts.values.max()
            }
            is Test.Not -> !holds(test.of, box, beside, boxes)
            is Test.And -> holds(test.left, box, beside, boxes) && holds(test.right, box, beside, boxes)
            is Test.Or -> holds(test.left, box, beside, boxes) || holds(test.right, box, beside, boxes)
        }

    private fun value(a: Attribute, box: MachineSpec): Value? =
        when (a) {
            Attribute.Type -> Value.Text(box.type)
            Attribute.Zone -> Value.Text(box.zone)
            Attribute.Spot -> Value.Flag(box.spot)
            Attribute.Amount.CPUS -> Value.Number(box.size.cpus)
            Attribute.Amount.GPUS -> Value.Number(box.size.gpus)
            Attribute.Amount.MEMORY -> Value.Number(box.size.memoryGb)
            is Attribute.Label ->
                set.topology
                    .labels(
                        box.name,
                        box.type,
                        box.zone,
                    )[a.word]
                    ?.takeIf { it != Topology.UNKNOWN }
                    ?.let { Value.Text(it) }
        }

    private fun compare(have: Value?, op: ComparisonOperator, want: Value): Boolean {
        if (op == ComparisonOperator.EQ) return have == want
        if (op == ComparisonOperator.NE) return have != want
        val a = (have as? Value.Number)?.number ?: return false
        val b = (want as? Value.Number)?.number ?: return false
        return if (op == ComparisonOperator.LT) {
            a < b
        } else if (op == ComparisonOperator.LE) {
            a <= b
        } else if (op == ComparisonOperator.GT) {
            a > b
        } else {
            a >= b
        }
    }
}
