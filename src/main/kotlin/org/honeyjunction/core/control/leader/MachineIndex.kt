package org.honeyjunction.core.control.leader

import org.honeyjunction.core.model.Machine
import org.honeyjunction.core.model.NameTable

/** The machines that the leader knows, by name and by dense index, and those among them that are not gone. */
internal class MachineIndex {
    private val slots = ArrayList<Machine?>()
    private val names = NameTable()
    private val presentMachines = LinkedHashSet<Machine>()

    /** All machines except those that are gone. */
    val present: Collection<Machine> get() = presentMachines

    /** The machine called [name]; null if it is not known. */
    fun find(name: String): Machine? = at(names.find(name))

    /** The machine with the dense index [index]; null if it is not known. */
    fun at(index: Int): Machine? = slots.getOrNull(index)

    /** The dense index that the machine called [name] has or will have. */
    fun indexOf(name: String): Int = names.index(name)

    /** Adds [machine], whose index [indexOf] has returned last. */
    fun add(machine: Machine) {
        slots += machine
        presentMachines += machine
    }

    /** Takes [machine], which is gone, off the present ones. It can still be found by its name until [forget] is called. */
    fun remove(machine: Machine) {
        presentMachines -= machine
    }

    /** Forgets the name of [machine]. Its index is not used again. */
    fun forget(machine: Machine) {
        slots[machine.index] = null
        names.forget(machine.name)
    }
}
