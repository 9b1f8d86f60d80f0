"""The mechanism: budget, deadline order, admission; and what embedding callers rely on."""

from __future__ import annotations

import os
import subprocess
import sys
from collections import deque
from dataclasses import replace
from pathlib import Path

import pytest

from sabledyke.policy.actions import Reject
from sabledyke.policy.admission import SAFETY_MARGIN
from sabledyke.policy.concurrency import MAX_BUDGET_REQUESTS, MIN_BUDGET_REQUESTS
from sabledyke.policy.context import LOOKBACK_MS
from sabledyke.policy.events import ClientDisconnected, Outcome, TimerFired
from sabledyke.policy.node_directory import INITIAL_BUDGET_REQUESTS
from sabledyke.policy.state import NodeRecord
from tests.helpers import SETTINGS, Rig, listing, node, of

ROOT = Path(__file__).parent.parent


def the_node(rig: Rig) -> NodeRecord:
    return rig.scheduler.nodes[node(1).node_id]


def next_period(rig: Rig) -> None:
    rig.now = (the_node(rig).period_number + 1.001) * rig.scheduler.context.period_ms
    rig.scheduler.context.now_ms = rig.now
    rig.scheduler.concurrency.close_period(the_node(rig))


def test_the_budget_grows_one_mean_request_when_filled_inside_aim() -> None:
    rig = Rig()
    n = the_node(rig)
    n.budget_units = n.sent_units = n.served_units = 20.0
    n.answer_count = 10
    next_period(rig)
    assert n.budget_units == 20 + SETTINGS.mean_units


def test_the_budget_follows_the_best_recent_period_when_answers_run_past_aim() -> None:
    rig = Rig()
    n = the_node(rig)
    n.budget_units = n.sent_units = 40.0
    n.recent_served_units.append(26.0)
    n.answer_count, n.late_count, n.served_units = 10, 8, 4.0
    next_period(rig)
    assert n.budget_units == 26


def test_the_budget_does_not_shrink_when_little_is_asked_and_keeps_its_bounds() -> None:
    rig = Rig()
    n = the_node(rig)
    n.budget_units, n.sent_units, n.answer_count, n.late_count = 40.0, 2.0, 1, 1
    next_period(rig)
    assert n.budget_units == 40
    n.budget_units = n.sent_units = n.served_units = MAX_BUDGET_REQUESTS * 2.0
    n.answer_count, n.late_count = 5, 0
    next_period(rig)
    assert n.budget_units == MAX_BUDGET_REQUESTS * 2.0
    n.sent_units, n.answer_count, n.late_count = n.budget_units, 5, 5
    n.recent_served_units.clear()
    next_period(rig)
    assert n.budget_units == MIN_BUDGET_REQUESTS * 2.0


@pytest.mark.parametrize("hosts", [3, 50, 270])
def test_the_floors_of_all_hosts_together_stay_within_what_a_node_can_do(hosts: int) -> None:
    scheduler = Rig(scheduler_count=hosts).scheduler
    assert (
        hosts * MIN_BUDGET_REQUESTS * scheduler.context.shortest_objective_ms / scheduler.context.period_ms
        <= 150
    )  # requests an aim, if all had work


def test_a_period_is_as_long_as_the_deployment_is_slow() -> None:
    """A budget is in requests: those of a deployment four times as quick must fit a quarter of the time."""
    quick = tuple(replace(c, latency_objective_ms=c.latency_objective_ms / 4) for c in SETTINGS.classes)
    assert Rig(classes=quick).scheduler.context.period_ms == Rig().scheduler.context.period_ms / 4


def test_a_new_box_starts_with_the_budget_that_its_kind_has() -> None:
    rig = Rig()
    n = the_node(rig)
    n.budget_units = MAX_BUDGET_REQUESTS * 2.0
    for _ in range(50):
        next_period(rig)
    rig.do(listing(node(1), node(2)))
    assert (
        rig.scheduler.nodes[node(2).node_id].budget_units
        > (INITIAL_BUDGET_REQUESTS + MAX_BUDGET_REQUESTS) / 2 * 2.0
    )


def test_the_least_worth_makes_room_before_clients_run_out_of_connections() -> None:
    rig = Rig(max_open_requests=10)
    the_node(rig).window_units, the_node(rig).latency_ms = 0.5, 0.1
    first = rig.ask()
    low = [rig.ask(class_=1) for _ in range(6)]
    assert rig.sends(first) == 1 and not any(rig.answers(r) for r in low)
    worthy = rig.ask(plan=1, class_=0)
    rig.now += 0.5
    last = rig.ask(class_=1)
    assert not rig.answers(worthy)
    gone = [r for r in (*low, last) if rig.answers(r)]
    assert len(gone) == 2 and last in gone  # one for each above the bound, the latest due first
    rig.end(first)
    rig.wait(100)
    assert rig.sends(worthy) == 1 and len([r for r in low if rig.answers(r)]) == 1


def test_errors_do_not_grow_the_budget() -> None:
    rig = Rig()
    n = the_node(rig)
    n.budget_units = 8.0
    for _ in range(4):
        rig.end(rig.ask(), Outcome.ERROR, 2, over=True)
    next_period(rig)
    assert n.budget_units == 8


def test_sends_at_once_while_there_is_room_then_holds_and_leaves_by_due_time() -> None:
    rig = Rig()
    n = the_node(rig)
    n.window_units, n.latency_ms = 4.1, 0.1
    sent = [rig.ask(), rig.ask()]
    slow, quick = rig.ask(class_=1), rig.ask(class_=0)
    assert [rig.sends(r) for r in (*sent, slow, quick)] == [1, 1, 0, 0]
    rig.end(sent[0])
    assert (rig.sends(quick), rig.sends(slow)) == (1, 0)
    rig.end(sent[1])
    assert rig.sends(slow) == 1


def test_the_budget_holds_the_excess_until_the_next_period() -> None:
    rig = Rig()
    n = the_node(rig)
    n.budget_units, n.window_units, n.latency_ms = 4.0, 32.0, 0.1
    rig.now = 1040.0
    ids = [rig.ask() for _ in range(3)]
    assert [rig.sends(r) for r in ids] == [1, 1, 0]
    rig.wait(40)
    assert rig.sends(ids[2]) == 1


def admission(loads: list[float], sessions: int, strained: bool = True) -> bool:
    rig = Rig()
    n = the_node(rig)
    for v in range(sessions):
        rig.end(rig.ask(volume=v))
    n.strained, n.period_loads = strained, deque(loads)
    n.sessions[99] = rig.now - LOOKBACK_MS / 2
    before = len(rig.sent)
    rig.ask(volume=99)
    return len(rig.sent) > before


def test_admission_by_hand_worked_numbers() -> None:
    # r = (0.2 + 0.4) / 2 = 0.3 over the two periods seen; 0.3 * 3 = 0.9 < SAFETY_MARGIN enters, 0.3 * 4 =
    # 1.2 does not
    assert SAFETY_MARGIN == 1.0
    assert admission([0.2, 0.4], 2)
    assert not admission([0.2, 0.4], 3)
    assert admission([0.2, 0.4], 3, strained=False)
    assert admission([], 3)


def test_admission_lets_in_a_volume_inside_its_reservation_or_without_history() -> None:
    rig = Rig()
    n = the_node(rig)
    rig.end(rig.ask(volume=5))
    n.strained, n.period_loads = True, deque([0.9])
    assert rig.sends(rig.ask(volume=50)) == 1
    n.sessions[60] = rig.now - LOOKBACK_MS / 2
    assert rig.sends(rig.ask(volume=60, plan=1)) == 1


def test_least_worth_is_shed_first() -> None:
    rig = Rig()
    n = the_node(rig)
    n.window_units, n.latency_ms = 8.0, 75.0
    rig.ask(units=8)
    poor = [rig.ask(volume=3, units=8) for _ in range(3)]
    worthy = [rig.ask(plan=1, volume=2) for _ in range(2)]
    assert not any(rig.answers(w) for w in worthy) and all(rig.answers(p) for p in poor[1:])


def test_outcomes_departures_and_timers_of_requests_already_over_are_ignored() -> None:
    rig = Rig()
    request_id = rig.ask()
    rig.end(request_id)
    seen = len(rig.log)
    rig.end(request_id)
    rig.do(ClientDisconnected(request_id), TimerFired(77))
    assert len(rig.log) == seen


def test_misuse_raises_a_value_error_that_names_it() -> None:
    rig = Rig()
    request_id = rig.ask()
    rig.ids -= 1
    with pytest.raises(ValueError, match=f"request {request_id} was given twice"):
        rig.ask()
    with pytest.raises(ValueError, match="time went back"):
        rig.scheduler.handle(rig.now - 1, [])


@pytest.mark.parametrize(
    ("field", "name", "value"),
    [
        ("scheduler_count", "hosts", 0),
        ("mean_units", "mean_units", -1.0),
        ("slow_start_fraction", "cold_share", 1.5),
    ],
)
def test_a_settings_value_out_of_range_is_named(field: str, name: str, value: float) -> None:
    with pytest.raises(ValueError, match=f"setting {name} must be"):
        Rig(**{field: value})


def test_same_events_same_actions_across_hash_seeds() -> None:
    code = (
        "from tests.helpers import *\n"
        "r = Rig(node(1), node(2), node(3))\n"
        "for i in range(60):\n"
        "    r.ask(shard=(-1, 1, 2, 3)[i % 4], volume=i % 7, plan=i % 3)\n"
        "    r.wait(3)\n"
        "print(r.log)\n"
    )
    out = [
        subprocess.run(
            [sys.executable, "-c", code],
            cwd=ROOT,
            env={**os.environ, "PYTHONHASHSEED": seed},
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        for seed in ("1", "2")
    ]
    assert out[0] == out[1] and "StartAttempt" in out[0]


def test_the_module_stays_small_enough_to_read() -> None:
    paths = list((ROOT / "sabledyke" / "policy").glob("*.py"))
    assert len(paths) >= 6
    for path in paths:
        lines = path.read_text().splitlines()
        assert sum(1 for line in lines if line.strip()) <= 500
        assert max(map(len, lines)) <= 110


def test_a_refusal_is_given_at_once_and_says_when_to_come_back() -> None:
    rig = Rig(node(1))
    before = len(rig.log)
    request_id = rig.ask(remaining=5)  # due too soon to be met
    gone = rig.ask(shard=9, remaining=5)  # and of a shard that no node holds
    refusals = {a.request_id: a for a in of(rig.log[before:], Reject)}
    assert (
        gone in refusals
        and refusals[gone].retry_after_ms == rig.scheduler.context.settings.max_retry_after_ms
    )
    assert (
        request_id in refusals
        and rig.scheduler.context.shortest_objective_ms / 4 <= refusals[request_id].retry_after_ms <= 500
    )
    silent = Rig(node(1), max_retry_after_ms=0)
    silent.ask(shard=9, remaining=5)
    assert [a.retry_after_ms for a in of(silent.log, Reject)] == [0]
