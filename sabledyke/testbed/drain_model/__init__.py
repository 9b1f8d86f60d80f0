"""Model of drains of storage nodes, checked for every order of steps of coordinators, members and operators.

The model runs the code of ``rollout.node_drain`` itself. Reading, deciding and writing are separate
transitions, and any other transition may happen between them. A member sends to any node that is not closed
as of its last read, may crash at any time, and restarts as a later incarnation. A node restarts only once the
log records it as drained. A budget limits the faults, so that the number of states is finite; offsets are
replaced by their ranks.

Invariants, which hold in every state (``checker``): no member has a request in flight at a drained node, no
member would send a request to one, and no drain begins beyond the disruption budget.
"""
