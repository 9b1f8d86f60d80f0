"""Fleets, plans and drains that tests of releases decide by."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from sabledyke.rollout import planner, state_changes
from sabledyke.rollout.change_tracker import ChangeTracker
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.records import Epoch, Member, MemberState, Plan, TicketRequest
from sabledyke.rollout.timeouts import Timeouts

TIMEOUTS = Timeouts(heartbeat_timeout_ms=100, return_timeout_ms=1000, canary_soak_ms=50)


def fleet(*states: MemberState, sites: int = 1, **of: Any) -> FleetView:
    """Members n0, n1, ... in these states, a plan for all of them, and requests of those that are ready.

    Args:
        states: The members' states.
        sites: The number of sites, over which the members are spread.
        of: Fields of the plan.
    """
    seen = FleetView(100, epoch=Epoch("c", 1, 1))
    for i, state in enumerate(states):
        seen.members[f"n{i}"] = Member(f"n{i}", 1, "1", f"s{i % sites}", state, i + 2)
    names = tuple(seen.members)
    seen.plans["p"] = replace(Plan("p", names, offset=50), **of)
    for i, name in enumerate(names):
        if states[i] is MemberState.READY:
            seen.requests[name] = TicketRequest(name, "p", 1, 1, 60 + i)
    return seen


def decide(
    seen: FleetView, now: float = 0.0, watch: ChangeTracker | None = None, **of: Any
) -> state_changes.StateChange | None:
    return planner.decide(seen, "c", 1, now, watch or ChangeTracker(), TIMEOUTS, **of)


READY = MemberState.READY
LEAVING = MemberState.LEAVING
OUT = MemberState.OUT
WARMING = MemberState.WARMING
RETIRED = MemberState.RETIRED
