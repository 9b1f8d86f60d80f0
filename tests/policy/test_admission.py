"""Admission of volumes that start a session at a storage node whose capacity is used up."""

from __future__ import annotations

from collections import deque

from sabledyke.policy.admission import SAFETY_MARGIN
from sabledyke.policy.context import LOOKBACK_MS
from tests.support.scheduler_rig import SchedulerRig, mark_strained, rig_with_small_budget

RESERVED_PLAN = 1  # an index into SETTINGS.plans


def admits(loads: list[float], session_count: int, *, strained: bool = True) -> bool:
    """Return whether a volume with an earlier session is admitted to a node with these loads and sessions."""
    rig = SchedulerRig()
    for volume in range(session_count):
        rig.complete(rig.submit(volume=volume))
    node = rig.node()
    node.strained = strained
    node.period_loads = deque(loads)
    node.sessions[99] = rig.now_ms - LOOKBACK_MS / 2
    sent_before = len(rig.sent)
    rig.submit(volume=99)
    return len(rig.sent) > sent_before


def test_admission_agrees_with_values_calculated_by_hand() -> None:
    # A session's mean load over the two periods is (0.2 + 0.4) / 2 = 0.3. As the third session the volume is
    # admitted, since 0.3 * 3 = 0.9 < SAFETY_MARGIN; as the fourth it is not, since 0.3 * 4 = 1.2.
    assert SAFETY_MARGIN == 1.0
    assert admits([0.2, 0.4], 2)
    assert not admits([0.2, 0.4], 3)
    assert admits([0.2, 0.4], 3, strained=False)
    assert admits([], 3)


def test_a_volume_inside_its_reservation_or_without_history_is_admitted() -> None:
    rig = SchedulerRig()
    rig.complete(rig.submit(volume=5))
    node = rig.node()
    node.strained = True
    node.period_loads = deque([0.9])
    assert rig.attempt_count(rig.submit(volume=50)) == 1
    node.sessions[60] = rig.now_ms - LOOKBACK_MS / 2
    assert rig.attempt_count(rig.submit(volume=60, plan_index=RESERVED_PLAN)) == 1


def test_the_budget_and_the_admission_test_hold_with_3_and_with_200_schedulers() -> None:
    for scheduler_count in (3, 200):
        rig = rig_with_small_budget(scheduler_count)
        request_ids = [rig.submit() for _ in range(6)]
        assert sum(rig.attempt_count(request_id) for request_id in request_ids) == 4
        mark_strained(rig, volume=99)
        assert rig.answers(rig.submit(volume=99))
