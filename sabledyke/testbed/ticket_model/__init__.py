"""Model of tickets, checked for every order of steps of coordinators, members, an operator and the log.

The model runs the code of ``rollout.planner`` and ``rollout.participant`` itself. Each process reads, decides
and writes in separate steps, and any other step may happen between them: only the conditions that the log
checks at a write protect against conflicts. A second coordinator may start at any time while the first one
is paused or still runs. Members may crash at any time, and their crashes may be detected late. An operator
may halt the plan or roll it back. A budget limits the faults, so that the number of states is finite; offsets
are replaced by their ranks.

Invariants, checked at every write: a member goes out of service only under an active plan, with fewer members
than the disruption budget out of service by ticket; a ticket is granted only if the members that the log
records as out of service leave capacity for it. An active plan always has a possible next transition.
"""
