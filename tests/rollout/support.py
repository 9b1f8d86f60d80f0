"""Fleets and decisions for tests of releases."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from sabledyke.rollout import planner, state_changes
from sabledyke.rollout.change_tracker import ChangeTracker
from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.records import Epoch, Member, MemberState, Plan, TicketRequest
from sabledyke.rollout.timeouts import Timeouts

TIMEOUTS = Timeouts(heartbeat_timeout_ms=100, return_timeout_ms=1000, canary_soak_ms=50)


def fleet(*states: MemberState, sites: int = 1, **fields: Any) -> FleetView:
    """Return members n0, n1, ... in these states, a plan for all of them, and requests of the ready ones.

    Args:
        states: States of the members.
        sites: Number of sites over which the members are spread.
        fields: Fields of the plan.
    """
    view = FleetView(100, epoch=Epoch("c", 1, 1))
    for i, state in enumerate(states):
        view.members[f"n{i}"] = Member(f"n{i}", 1, "1", f"s{i % sites}", state, i + 2)
    names = tuple(view.members)
    view.plans["p"] = replace(Plan("p", names, offset=50), **fields)
    for i, name in enumerate(names):
        if states[i] is MemberState.READY:
            view.requests[name] = TicketRequest(name, "p", 1, 1, 60 + i)
    return view


def decide(
    view: FleetView, now_ms: float = 0.0, tracker: ChangeTracker | None = None, **fields: Any
) -> state_changes.StateChange | None:
    return planner.decide(view, "c", 1, now_ms, tracker or ChangeTracker(), TIMEOUTS, **fields)


READY = MemberState.READY
LEAVING = MemberState.LEAVING
OUT = MemberState.OUT
WARMING = MemberState.WARMING
RETIRED = MemberState.RETIRED
