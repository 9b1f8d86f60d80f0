"""The coordinator's decisions on members: grants, halts and returns."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from sabledyke.errors import PlanError
from sabledyke.rollout import change_tracker, disruption_budget, plan_changes
from sabledyke.rollout.change_tracker import ChangeTracker
from sabledyke.rollout.participant import GOES_OUT, Participant
from sabledyke.rollout.records import MemberState, Plan, PlanStage, Record, Ticket
from sabledyke.testbed import model_log
from tests.rollout.support import LEAVING, OUT, READY, WARMING, decide, fleet


@pytest.mark.parametrize(
    ("states", "options", "granted"),
    [
        ((READY, READY, READY), {}, "n0"),
        ((READY, READY, READY), {"max_out": 0}, ""),
        ((READY, LEAVING, READY), {}, ""),  # n1 is out, planned or not
        ((READY, OUT, READY), {}, ""),
        ((READY, WARMING, READY), {"max_out": 2}, "n0"),
        ((OUT, READY, READY), {"max_out": 2}, "n1"),  # a member that is out does not delay the others
        (
            (READY, READY, READY),
            {"max_out": 3, "max_out_fraction": 0.3},
            "",
        ),  # a third of three, rounded down
        ((READY, READY, READY), {"max_out": 3, "max_out_fraction": 1 / 3}, "n0"),
        (
            (READY, OUT, READY, READY),
            {"max_out": 4, "max_out_per_site": 1, "sites": 2},
            "n0",
        ),  # n1 and n3 share a site
        (
            (READY, OUT, READY, READY),
            {"max_out": 4, "max_out_per_site": 1, "sites": 2, "released": ("n0", "n2")},
            "",
        ),
        ((READY,), {}, "n0"),  # a fleet, or a site, of one
        ((READY, READY), {"stage": PlanStage.HALTED}, ""),
        ((READY, READY, READY), {"released": ("n0",)}, "n1"),
        ((READY, READY, READY), {"released": ("n0",), "canary": True}, ""),  # the canary is still observed
        (
            (READY, READY, READY),
            {"released": ("n0", "n1"), "stage": PlanStage.ROLLING_BACK, "target": "2", "previous": "1"},
            "n1",
        ),
    ],
)
def test_a_ticket_is_granted_within_all_budgets_and_in_order(
    states: tuple[MemberState, ...], options: dict[str, Any], granted: str
) -> None:
    state_change = decide(fleet(*states, **options))
    tickets = (
        [record for record in state_change.records if isinstance(record, Ticket)] if state_change else []
    )
    assert [ticket.name for ticket in tickets] == ([granted] if granted else [])
    # The change is written only if nothing was written since the view.
    assert state_change is None or state_change.expected_end == 100


def test_a_member_without_a_request_delays_others_only_until_a_timeout() -> None:
    view = fleet(READY, READY)
    tracker = ChangeTracker()
    del view.requests["n0"]
    for now, granted in ((0.0, False), (99.0, False), (101.0, True)):
        tracker.observe(
            now,
            {k: v for k, v in change_tracker.tracked_values(view, {}).items() if not k.startswith("beat")},
        )
        assert (decide(view, now, tracker) is not None) is granted


class LargeFleet:
    """A fleet of ready members under one plan, whose changes are counted and written at once."""

    def __init__(self, size: int, max_out: int) -> None:
        self.view = fleet(*[READY] * size, sites=5, max_out=max_out, max_out_per_site=1)
        self.view.requests.clear()
        self.participants = {name: Participant(name, 1) for name in self.view.members}
        self.request_count = 0
        self.going_out_count = 0
        self.deferral_count = 0
        self._size = size
        self._max_out = max_out
        self._tracker = ChangeTracker()

    @property
    def plan(self) -> Plan:
        return self.view.plans["p"]

    def release(self, silent_count: int) -> None:
        """Run the plan to its end; the first members send no request while others can be released."""
        for step in range(2 * self._size):
            remaining = self._size - len(self.plan.released)
            self._step_members(step, silent_count if remaining > silent_count else 0)
            self._step_coordinator(step)
            if self.plan.stage is PlanStage.DONE:
                break

    def _step_members(self, step: int, silent_count: int) -> None:
        for name, participant in list(self.participants.items())[silent_count:]:
            state_change = participant.step(self.view, step * 1000.0)
            if state_change is None:
                continue
            self._write(*state_change.records, deleted_keys=state_change.deleted_keys)
            if state_change.description != GOES_OUT:
                self.request_count += 1
                continue
            self.going_out_count += 1
            self.participants[name] = Participant(name, 2)
            self._write(replace(self.view.members[name], incarnation=2))

    def _step_coordinator(self, step: int) -> None:
        """Write the coordinator's changes until there is none left to decide."""
        heartbeats = dict.fromkeys(self.participants, step)
        while True:
            self._tracker.observe(step * 1000.0, change_tracker.tracked_values(self.view, heartbeats))
            state_change = decide(self.view, step * 1000.0, self._tracker)
            if state_change is None:
                return
            assert len(disruption_budget.members_out(self.view)) <= self._max_out
            self.deferral_count += "no request in time" in state_change.description
            self._write(*state_change.records, deleted_keys=state_change.deleted_keys)

    def _write(self, *records: Record, deleted_keys: tuple[str, ...] = ()) -> None:
        log = model_log.append(model_log.LogContents((), self.view.next_offset), records, deleted_keys)
        self.view.next_offset = log.next_offset
        for record in log.records:
            self.view.put(record)
        for key in deleted_keys:
            self.view.tickets.pop(key.partition("/")[2])


@pytest.mark.parametrize("silent_count", [0, 30])
def test_a_large_fleet_writes_few_requests_beyond_one_for_each_member(silent_count: int) -> None:
    """Guards against requests of all members at once, whose conflicts prevented every grant.

    Members that are alive but send no request do not delay others, and are released once they send one.
    """
    size = 200
    large_fleet = LargeFleet(size, max_out=4)
    large_fleet.release(silent_count)
    assert large_fleet.request_count < 1.3 * size
    assert large_fleet.going_out_count == size
    assert len(large_fleet.plan.released) == size
    assert set(large_fleet.plan.deferred) == set(list(large_fleet.participants)[:silent_count])
    assert large_fleet.deferral_count < 10


def test_budgets_of_two_plans_apply_together() -> None:
    view = fleet(READY, READY, READY, READY, max_out=3)
    view.plans["p"] = replace(view.plans["p"], members=("n0", "n1"))
    view.plans["q"] = Plan("q", ("n2", "n3"), max_out=1, offset=51)
    view.tickets["n2"] = Ticket("n2", "q", 1, 1, 1, offset=70)
    assert decide(view) is None  # the stricter budget is used up
    with pytest.raises(PlanError, match="in plan p"):
        plan_changes.validate(Plan("r", ("n0",)), view)


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"tickets": {"n0": Ticket("n0", "p", 1, 1, 1, used=True, offset=70)}}, "n0 is not back in time"),
        ({"bad": ["p"]}, "fail more than the others"),
        ({"states": (READY, OUT, OUT)}, "2 members are out unplanned"),
    ],
)
def test_a_plan_halts_by_itself(change: dict[str, Any], reason: str) -> None:
    view = fleet(*change.get("states", (READY, READY, READY)))
    tracker = ChangeTracker()
    view.tickets.update(change.get("tickets", {}))
    for now in (0.0, 1001.0):
        tracker.observe(
            now,
            {k: v for k, v in change_tracker.tracked_values(view, {}).items() if not k.startswith("beat")},
        )
    state_change = decide(view, 1001.0, tracker, failing=change.get("bad", ()))
    assert state_change is not None
    assert reason in state_change.description
    assert isinstance(state_change.records[0], Plan)
    assert state_change.records[0].stage is PlanStage.HALTED


def test_a_member_that_returns_with_another_version_halts_the_plan_and_ends_its_ticket() -> None:
    view = fleet(READY, READY, target="2", previous="1")
    view.tickets["n0"] = Ticket("n0", "p", 1, 1, 1, "2", used=True, offset=70)
    assert decide(view) is None  # the same incarnation has not left yet, or is leaving
    view.members["n0"] = replace(view.members["n0"], incarnation=2)
    state_change = decide(view)
    assert state_change is not None
    assert "came back as 1, not 2" in state_change.description
    assert state_change.deleted_keys == ("ticket/n0",)
    view.members["n0"] = replace(view.members["n0"], version="2")
    done = decide(view)
    assert done is not None
    assert isinstance(done.records[0], Plan)
    assert done.records[0].released == ("n0",)
