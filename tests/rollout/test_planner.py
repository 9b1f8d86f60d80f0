"""The coordinator's decisions on members: grants, halts and returns."""

from __future__ import annotations

from collections import Counter
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
    "states, of, granted",
    [
        ((READY, READY, READY), {}, "n0"),
        ((READY, READY, READY), {"max_out": 0}, ""),
        ((READY, LEAVING, READY), {}, ""),  # one is out, planned or not
        ((READY, OUT, READY), {}, ""),
        ((READY, WARMING, READY), {"max_out": 2}, "n0"),
        ((OUT, READY, READY), {"max_out": 2}, "n1"),  # who is out already keeps nobody waiting
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
        ((READY, READY, READY), {"released": ("n0",), "canary": True}, ""),  # the canary is still looked at
        (
            (READY, READY, READY),
            {"released": ("n0", "n1"), "stage": PlanStage.ROLLING_BACK, "target": "2", "previous": "1"},
            "n1",
        ),
    ],
)
def test_a_ticket_is_granted_inside_all_budgets_and_in_order(
    states: tuple[MemberState, ...], of: dict[str, Any], granted: str
) -> None:
    sites = of.pop("sites", 1) if "sites" in of else 1
    move = decide(fleet(*states, sites=sites, **of))
    tickets = [w for w in move.records if isinstance(w, Ticket)] if move else []
    assert [t.name for t in tickets] == ([granted] if granted else [])
    assert move is None or move.expected_end == 100  # written only if nothing was said since


def test_a_member_is_waited_for_in_its_turn_but_not_for_ever() -> None:
    seen, watch = fleet(READY, READY), ChangeTracker()
    del seen.requests["n0"]
    for now, granted in ((0.0, False), (99.0, False), (101.0, True)):
        watch.observe(
            now,
            {k: v for k, v in change_tracker.tracked_values(seen, {}).items() if not k.startswith("beat")},
        )
        assert (decide(seen, now, watch) is not None) is granted


@pytest.mark.parametrize("mute", [0, 30])
def test_a_fleet_of_hundreds_says_little_more_than_what_moves_it(mute: int) -> None:
    """Only whose turn is near asks: in a fleet in which all did, nobody was granted anything. Who lives and
    never asks keeps nobody from going out, and goes once it asks.
    """
    size, out = 200, 4
    seen, said, watch = (
        fleet(*[READY] * size, sites=5, max_out=out, max_out_per_site=1),
        Counter[str](),
        ChangeTracker(),
    )
    seen.requests.clear()
    participants = {name: Participant(name, 1) for name in seen.members}

    def put(*records: Record, ends: tuple[str, ...] = ()) -> None:
        log = model_log.append(model_log.LogContents((), seen.next_offset), records, ends)
        seen.next_offset = log.next_offset
        for record in log.records:
            seen.put(record)
        for name in ends:
            seen.tickets.pop(name.partition("/")[2])

    for look in range(2 * size):
        done_but = size - len(seen.plans["p"].released)
        for name, participant in list(participants.items())[mute if done_but > mute else 0 :]:
            if (move := participant.step(seen, look * 1000.0)) is not None:
                said[move.description if move.description == GOES_OUT else "asks"] += 1
                put(*move.records, ends=move.deleted_keys)
                if move.description == GOES_OUT:
                    participants[name] = Participant(name, 2)
                    put(replace(seen.members[name], incarnation=2))
        while True:
            watch.observe(
                look * 1000.0, change_tracker.tracked_values(seen, dict.fromkeys(participants, look))
            )
            if (done := decide(seen, look * 1000.0, watch)) is None:
                break
            assert len(disruption_budget.members_out(seen)) <= out
            said["passes"] += "no ask in its turn" in done.description
            put(*done.records, ends=done.deleted_keys)
        if seen.plans["p"].stage is PlanStage.DONE:
            break
    assert said["asks"] < 1.3 * size and said[GOES_OUT] == size == len(seen.plans["p"].released)
    assert set(seen.plans["p"].deferred) == set(list(participants)[:mute]) and said["passes"] < 10


def test_budgets_of_two_plans_hold_together() -> None:
    seen = fleet(READY, READY, READY, READY, max_out=3)
    seen.plans["p"] = replace(seen.plans["p"], members=("n0", "n1"))
    seen.plans["q"] = Plan("q", ("n2", "n3"), max_out=1, offset=51)
    seen.tickets["n2"] = Ticket("n2", "q", 1, 1, 1, offset=70)
    assert decide(seen) is None  # the stricter one's is spent
    with pytest.raises(PlanError, match="in plan p"):
        plan_changes.validate(Plan("r", ("n0",)), seen)


@pytest.mark.parametrize(
    "change, why",
    [
        ({"tickets": {"n0": Ticket("n0", "p", 1, 1, 1, used=True, offset=70)}}, "not back in its time"),
        ({"bad": ["p"]}, "fail more than the others"),
        ({"states": (READY, OUT, OUT)}, "2 are out unplanned"),
    ],
)
def test_a_plan_halts_by_itself(change: dict[str, Any], why: str) -> None:
    seen, watch = fleet(*change.get("states", (READY, READY, READY))), ChangeTracker()
    seen.tickets.update(change.get("tickets", {}))
    for now in (0.0, 1001.0):
        watch.observe(
            now,
            {k: v for k, v in change_tracker.tracked_values(seen, {}).items() if not k.startswith("beat")},
        )
    move = decide(seen, 1001.0, watch, failing=change.get("bad", ()))
    assert move is not None and why in move.description
    assert isinstance(move.records[0], Plan) and move.records[0].stage is PlanStage.HALTED


def test_who_comes_back_as_another_version_halts_the_plan_and_frees_its_ticket() -> None:
    seen = fleet(READY, READY, target="2", previous="1")
    seen.tickets["n0"] = Ticket("n0", "p", 1, 1, 1, "2", used=True, offset=70)
    assert decide(seen) is None  # the same life: it has not gone yet, or is on its way
    seen.members["n0"] = replace(seen.members["n0"], incarnation=2)
    move = decide(seen)
    assert (
        move is not None
        and "came back as 1, not 2" in move.description
        and move.deleted_keys == ("ticket/n0",)
    )
    seen.members["n0"] = replace(seen.members["n0"], version="2")
    done = decide(seen)
    assert done is not None and isinstance(done.records[0], Plan) and done.records[0].released == ("n0",)
