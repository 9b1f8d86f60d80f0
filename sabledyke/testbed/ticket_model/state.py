"""States of the ticket model: the log, members and coordinators."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from sabledyke.rollout.records import Member, MemberState, Plan, Record
from sabledyke.rollout.state_changes import StateChange
from sabledyke.testbed.fleet_transitions import PLAN_NAME
from sabledyke.testbed.model_log import Coordinator

NO_REQUEST = 0
FIRST_TOKEN = 1


class FaultBudget(NamedTuple):
    """How often each fault may still come.

    Attributes:
        deaths: Members that die without notice.
        takeovers: Coordinators that start while another one may go on.
        halts: Times that an operator halts the plan, or rolls it back.
        expired_requests: Times that a member finds its request too old.
        turn_timeouts: Times that a coordinator has waited long enough for the members whose turn it is.
    """

    deaths: int = 0
    takeovers: int = 0
    halts: int = 0
    expired_requests: int = 0
    turn_timeouts: int = 0


@dataclass(frozen=True, slots=True)
class Safeguards:
    """What the log and the planner check; each may be left out, to show that it is needed.

    Attributes:
        checks_token: A writer under an older token is rejected.
        checks_end: A coordinator's move needs the end of the log as it was read.
        checks_expected_offsets: A member's move needs its ticket, plan and epoch as they were read.
        counts_unplanned: A member that is out without a ticket counts.
    """

    checks_token: bool = True
    checks_end: bool = True
    checks_expected_offsets: bool = True
    counts_unplanned: bool = True


class Instance(NamedTuple):
    """A member's process.

    Attributes:
        incarnation: Its incarnation.
        is_up: It runs.
        is_out_by_ticket: It is down because it used its ticket.
        request_number: Number of the request that waits for its answer, or ``NO_REQUEST``.
        last_request_number: Number of the last request of this incarnation, or ``NO_REQUEST``.
        pending: A move that it decided on and has not written yet.
    """

    incarnation: int = 1
    is_up: bool = True
    is_out_by_ticket: bool = False
    request_number: int = NO_REQUEST
    last_request_number: int = NO_REQUEST
    pending: StateChange | None = None


class TicketState(NamedTuple):
    """A state of the fleet.

    Attributes:
        records: Records of the log, in the order of their keys.
        next_offset: Offset of the next record.
        highest_token: The highest token under which a coordinator has written.
        instances: The members' processes.
        coordinators: The coordinators.
        budget: Faults that may still come.
        violation: What did not hold at the last write, "" for nothing.
    """

    records: tuple[Record, ...]
    next_offset: int
    highest_token: int
    instances: tuple[Instance, ...]
    coordinators: tuple[Coordinator, ...]
    budget: FaultBudget
    violation: str = ""


def initial_state(member_count: int, max_out: int, budget: FaultBudget) -> TicketState:
    """Return a fleet at rest, and a plan to restart all of it."""
    members = tuple(
        Member(f"n{i}", 1, state=MemberState.READY, offset=offset)
        for i, offset in enumerate(range(1, member_count + 1))
    )
    names = tuple(member.name for member in members)
    plan = Plan(PLAN_NAME, names, max_out, offset=member_count + 1)
    return TicketState(
        records=(*members, plan),
        next_offset=member_count + 2,
        highest_token=0,
        instances=(Instance(),) * member_count,
        coordinators=(Coordinator(FIRST_TOKEN),),
        budget=budget,
    )
