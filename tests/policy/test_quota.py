"""Quotas: reservations and limits of volumes, shared by several schedulers."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from sabledyke.policy.actions import Log, Reject
from sabledyke.policy.settings import Plan
from tests.support.nodes import node_entry
from tests.support.scheduler_rig import START_MS, SchedulerRig, actions_of
from tests.support.settings import CAPPED, SETTINGS

RESERVED_PLAN = 1  # indices into SETTINGS.plans
CAPPED_PLAN = 2


def test_a_limit_holds_and_requests_beyond_it_are_rejected_early() -> None:
    capped = Plan(
        "capped",
        usual_rate=5,
        reservation=0,
        limit=10,
        limit_burst=32,
        limit_slack=8,
        weight=1,
        value_factor=1,
    )
    rig = SchedulerRig(plans=(capped,))
    start_ms = rig.now_ms
    rig.advance(1000)
    for _ in range(200):
        request_id = rig.submit(scheduler_count=2)
        if rig.was_sent(request_id):
            rig.complete(request_id, elapsed_ms=5)
        rig.advance(10)
    used_units = 2 * len(rig.sent)
    assert 0 < used_units <= 10 / 2 * (rig.now_ms - start_ms) / 1000
    assert any(isinstance(action, Reject) for action in rig.actions)


def test_a_restarted_scheduler_starts_with_an_empty_limit_bucket() -> None:
    rig = SchedulerRig()
    assert not rig.was_sent(rig.submit(plan_index=CAPPED_PLAN, units=8))


def test_requests_beyond_reservations_leave_capacity_for_reserved_requests() -> None:
    rig = SchedulerRig()
    rig.node().window_units = 8.0
    rig.node().latency_ms = 80.0
    unreserved = [rig.submit() for _ in range(4)]
    assert 0 < sum(rig.attempt_count(request_id) for request_id in unreserved) < 4
    assert rig.attempt_count(rig.submit(plan_index=RESERVED_PLAN, volume=2)) == 1


def test_a_client_that_names_another_plan_uses_no_quota_of_this_one() -> None:
    rig = SchedulerRig()
    rig.complete(rig.submit(plan_index=0))
    request_id = rig.submit(plan_index=RESERVED_PLAN)
    assert rig.scheduler.requests.requests[request_id].reserved


def test_schedulers_keep_a_limit_together_while_their_number_for_a_volume_changes() -> None:
    """Guards against shares that add up past the limit where the scheduler count changes during the day."""
    steps_per_phase = 1000
    step_ms = 20
    units = 4.0
    rigs = [SchedulerRig(node_entry(1), scheduler_count=3) for _ in range(3)]
    for step in range(2 * steps_per_phase):
        only_one = step < steps_per_phase or step > 1.5 * steps_per_phase
        for rig in rigs[: 1 if step < steps_per_phase else 3]:
            rig.submit(plan_index=CAPPED_PLAN, scheduler_count=1 if only_one else 3, units=units)
            for sent in rig.sent[-2:]:
                rig.complete(sent.request_id, elapsed_ms=5)
            rig.advance(0)
        for rig in rigs:
            rig.advance(step_ms)
    total_s = 2 * steps_per_phase * step_ms / 1000
    assert units_within_limit(rigs, units) >= 0.8 * CAPPED.limit * total_s  # most of the limit is used


@pytest.mark.parametrize("saved_ms", [0, 1000, 4000])
def test_an_old_and_a_new_process_of_one_scheduler_keep_a_limit_together(saved_ms: float) -> None:
    """Guards against two processes that each spend the whole share while one replaces the other."""
    step_ms = 20
    units = 2.0
    old = SchedulerRig(node_entry(1))
    old.submit(plan_index=CAPPED_PLAN, units=units)
    old.advance(saved_ms)
    new = SchedulerRig(node_entry(1))
    new.now_ms = old.now_ms
    new.advance(0)
    old.scheduler.shut_down_by(old.now_ms, old.now_ms + 3600)
    for step in range(500):
        for rig in (old, new) if step < 180 else (new,):
            rig.submit(plan_index=CAPPED_PLAN, units=units)
            for sent in rig.sent[-2:]:
                rig.complete(sent.request_id, elapsed_ms=5)
            rig.advance(step_ms)
    served = units_within_limit((old, new), units)
    assert served >= 0.8 * CAPPED.limit * (new.now_ms - START_MS) / 1000  # most of the limit is used


def units_within_limit(rigs: Sequence[SchedulerRig], units: float) -> float:
    """Check that these schedulers together stayed within the limit; return the units that they sent."""
    sent_at_ms = sorted(sent.at_ms for rig in rigs for sent in rig.sent)
    tokens = 0.0
    previous_ms = START_MS
    for at_ms in sent_at_ms:
        refilled = tokens + (at_ms - previous_ms) / 1000 * CAPPED.limit
        tokens = min(CAPPED.limit_burst, refilled) - units
        previous_ms = at_ms
        assert tokens >= -CAPPED.limit_slack, at_ms
    return units * len(sent_at_ms)


def test_in_its_first_second_a_scheduler_reserves_its_share_and_logs_when_the_scheduler_count_grows() -> None:
    rig = SchedulerRig(node_entry(1), scheduler_count=4)
    rig.advance(500)
    rig.submit(plan_index=RESERVED_PLAN, scheduler_count=4, units=2)
    (volume,) = rig.scheduler.quotas.volumes.values()
    assert volume.reserved_tokens == SETTINGS.max_units + 5 * 0.5 / 4 - 2
    for scheduler_count in (4, 8, 8):
        rig.submit(plan_index=RESERVED_PLAN, scheduler_count=scheduler_count)
    logged = [action.text for action in actions_of(rig.actions, Log)]
    assert logged == ["volume 1 comes through 8 hosts from now on"]


def test_a_number_of_schedulers_that_one_request_stated_is_forgotten_in_time() -> None:
    """Guards against one client that permanently lowers a volume's limit for all of its clients."""
    rig = SchedulerRig(node_entry(1), scheduler_count=4)
    rig.submit(plan_index=CAPPED_PLAN, scheduler_count=4)
    (volume,) = rig.scheduler.quotas.volumes.values()
    shares = []
    for _ in range(70):
        rig.submit(plan_index=CAPPED_PLAN, scheduler_count=1)
        rig.advance(1000)
        shares.append(volume.quota_share)
    assert shares[:59] == [0.25] * 59  # other schedulers may still spend saved tokens
    assert shares[-1] == 1
    assert volume.limit_tokens <= CAPPED.limit_burst
