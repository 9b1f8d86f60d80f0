"""Drains of storage nodes as a model: every order in which coordinators, members, nodes and operators act.

Coordinators and members are ``rollout.node_drain`` itself. Reading, deciding and writing are transitions of
their own, with anything in between. A member sends to any node that it does not know to be closed, dies
without notice, and comes back as a later incarnation; nodes are taken away once they are drained on the log.
Budgets bound the faults, which makes the states finite; offsets are kept by rank.

What must hold in every state: no member has anything in flight at a drained node, and none would send it
anything; and no drain is begun beyond the budget (``checker``).
"""
