"""Tickets as a model: every order in which coordinators, members, an operator and the log can meet.

Coordinators and members are ``rollout.planner`` and ``rollout.participant`` themselves. Each reads, decides,
and writes later, with anything in between: the log's conditions are all that keeps them apart. A second
coordinator may take over at any time while the first one is paused or goes on; members die without notice,
and are noticed late; an operator halts the plan, or rolls it back. Budgets bound the faults, which makes the
states finite; offsets are kept by rank.

What must hold, at every write: a member goes out under a plan that runs, with fewer than the budget out by a
ticket; a ticket is granted only while all that the log knows to be out leaves capacity for it; and the plan
never stays under way with nothing that could happen.
"""
