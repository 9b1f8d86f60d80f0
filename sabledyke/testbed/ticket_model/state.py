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
    """Remaining number of times that each fault may occur.

    Attributes:
        deaths: Crashes of members.
        takeovers: Starts of a coordinator while another one may still run.
        halts: Halts and rollbacks of the plan by an operator.
        expired_requests: Expiries of a member's ticket request.
        turn_timeouts: Timeouts of a coordinator's wait for the members whose turn it is.
    """

    deaths: int = 0
    takeovers: int = 0
    halts: int = 0
    expired_requests: int = 0
    turn_timeouts: int = 0


@dataclass(frozen=True, slots=True)
class Safeguards:
    """Checks of the log and the planner; a test may turn each off to show that it is needed.

    Attributes:
        checks_token: The log rejects a writer under an older token.
        checks_end: The log rejects a coordinator's change if its end has moved since the coordinator's read.
        checks_expected_offsets: The log rejects a member's change if the ticket, plan or epoch has changed
            since the member read it.
        counts_unplanned: The planner counts members that are out of service without a ticket.
    """

    checks_token: bool = True
    checks_end: bool = True
    checks_expected_offsets: bool = True
    counts_unplanned: bool = True


class Instance(NamedTuple):
    """A member's process.

    Attributes:
        incarnation: Number of its incarnation.
        is_up: True while it runs.
        is_out_by_ticket: True while it is out of service because it used its ticket.
        request_number: Number of the unanswered request, or ``NO_REQUEST``.
        last_request_number: Number of the last request of this incarnation, or ``NO_REQUEST``.
        pending: The change that it has decided on and not written yet.
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
        budget: Faults that may still occur.
        violation: The invariant that the last write violated, "" for none.
    """

    records: tuple[Record, ...]
    next_offset: int
    highest_token: int
    instances: tuple[Instance, ...]
    coordinators: tuple[Coordinator, ...]
    budget: FaultBudget
    violation: str = ""


def initial_state(member_count: int, max_out: int, budget: FaultBudget) -> TicketState:
    """Return a fleet whose members are all ready, and a plan to restart all of them."""
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
