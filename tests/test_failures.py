"""One test for each failure found on incidents and hard days; each fails if its defence is removed."""

from __future__ import annotations

import pytest

from sabledyke.policy.actions import CancelAttempt, Log, Reject, StartAttempt
from sabledyke.policy.concurrency import SESSION_IDLE_PERIODS
from sabledyke.policy.events import AttemptCompleted, Outcome, Request, TimerFired
from sabledyke.policy.node_directory import USED_DRAIN_GRACE
from sabledyke.policy.nodes import ListKind, NodeState
from sabledyke.policy.scheduler import EVICTION_INTERVAL_MS
from tests.helpers import SETTINGS, Rig, listing, node, of


def test_held_work_of_a_restarted_node_is_sent_once() -> None:
    rig = Rig(hedging_allowed=False)
    n = rig.scheduler.nodes[node(1).node_id]
    n.window_units, n.latency_ms = 2.1, 5.0
    first, second = rig.ask(), rig.ask()
    assert (rig.sends(first), rig.sends(second)) == (1, 0)
    rig.do(listing(node(1, started=rig.now), kind=ListKind.DELTA))
    assert rig.sends(second) == 1
    rig.end(first, Outcome.RESET)
    assert rig.sends(second) == 1


def test_repeats_that_lost_their_aim_take_no_room_from_others() -> None:
    rig = Rig()
    busy = rig.ask()
    assert rig.sends(busy) == 1
    late = rig.ask(remaining=300)  # 700 of 1000 ms are gone, the aim was 200
    assert rig.sends(late) == 0 and rig.answers(late)
    rig.end(busy)  # that this host has nothing there doesn't mean that the node is idle
    assert not rig.sends(rig.ask(remaining=300))


def test_work_beyond_reservations_leaves_room_for_reserved_work() -> None:
    rig = Rig()
    n = rig.scheduler.nodes[node(1).node_id]
    n.window_units, n.latency_ms = 8.0, 80.0
    spare = [rig.ask() for _ in range(4)]
    assert 0 < sum(rig.sends(r) for r in spare) < 4
    assert rig.sends(rig.ask(plan=1, volume=2)) == 1


def test_a_silent_node_is_tried_sparingly_and_told_once() -> None:
    rig = Rig()
    rig.ask()
    for _ in range(20):
        rig.ask(volume=2)
        rig.wait(100)
    sent = [at for at, _, _ in rig.sent if at > 1500]
    assert len(sent) <= 5
    assert len(of(rig.log, Log)) == 1


def test_with_many_hosts_the_cap_starts_small_and_may_fall_under_one_request() -> None:
    few, many = Rig(scheduler_count=2), Rig(scheduler_count=12)
    windows = [r.scheduler.nodes[node(1).node_id].window_units for r in (few, many)]
    assert windows[1] < windows[0]
    n = many.scheduler.nodes[node(1).node_id]
    n.window_units, n.latency_ms = 0.25, 50.0
    many.end(many.ask(), took=50)
    assert many.sends(many.ask()) == 0


def test_a_node_back_from_silence_is_not_held_to_the_cold_part() -> None:
    rig = Rig()
    request_id = rig.ask()
    rig.wait(900)
    rig.ask()
    rig.wait(5)
    rig.end(request_id, took=900)
    assert rig.scheduler.slow_start.fraction(rig.scheduler.nodes[node(1).node_id]) == 1


def request(request_id: int, shard: int = 1, volume: int = 1) -> Request:
    return Request(request_id, 0, 0, 0, 1000, volume, 2, shard, 1, False, False)


def test_a_late_batch_with_requests_first_and_answers_last_darkens_nothing() -> None:
    rig = Rig()
    rig.scheduler.nodes[node(1).node_id].window_units = 20.0
    first, second = rig.ask(), rig.ask()
    rig.now += 800
    answers = [
        AttemptCompleted(r, node(1).node_id, 0, Outcome.OK, True, 800, 0, 0, ()) for r in (first, second)
    ]
    out = rig.do(TimerFired(1), request(90), *answers)
    assert not of(out, Log) and [a.request_id for a in of(out, StartAttempt)] == [90]


def test_a_hosts_own_stall_does_not_count_as_answer_time() -> None:
    rig = Rig()
    before = rig.scheduler.nodes[node(1).node_id].latency_ms
    request_id = rig.ask()
    rig.now += 800
    rig.do(TimerFired(1), AttemptCompleted(request_id, node(1).node_id, 0, Outcome.OK, True, 800, 0, 0, ()))
    assert rig.scheduler.nodes[node(1).node_id].latency_ms < before + 20


def test_a_draining_notice_last_in_the_batch_stops_its_sends() -> None:
    rig = Rig()
    draining = listing(node(1, state=NodeState.DRAINING), kind=ListKind.DELTA)
    assert not of(rig.do(request(90), draining), StartAttempt)


def test_an_overtaken_attempt_is_made_again_inside_its_aim() -> None:
    for copies in (True, False):
        rig = Rig(hedging_allowed=copies)
        n = rig.scheduler.nodes[node(1).node_id]
        n.window_units, n.latency_ms = 20.0, 20.0
        lost = rig.ask()
        rig.wait(5)
        rig.end(rig.ask(volume=2), took=20)
        rig.wait(100)
        if not copies:
            assert [a.request_id for a in of(rig.log, CancelAttempt)] == [lost]
            rig.end(lost, Outcome.CANCELLED, 100, over=False)
        assert rig.sends(lost) == 2 and not of(rig.log, Log)


def test_slow_attempts_alone_are_not_made_again() -> None:
    rig = Rig()
    n = rig.scheduler.nodes[node(1).node_id]
    n.window_units, n.latency_ms = 20.0, 20.0
    slow = rig.ask()
    rig.wait(190)
    assert rig.sends(slow) == 1


def test_an_attempt_ends_with_the_aim_and_is_refused_then() -> None:
    rig = Rig()
    request_id = rig.ask()
    assert of(rig.log, StartAttempt)[-1].timeout_ms == 200
    rig.end(request_id, Outcome.TIMEOUT, 200)
    assert isinstance(rig.answers(request_id)[0], Reject)


def test_trials_of_a_silent_node_grow_rarer() -> None:
    rig = Rig()
    for i in range(600):
        request_id = rig.ask(volume=i)
        rig.wait(50)
        if rig.sends(request_id):
            rig.wait(150)
            rig.end(request_id, Outcome.TIMEOUT, 200)
    late = [at for at, _, _ in rig.sent if at > rig.now - 10000]
    assert 0 < len(late) <= 5


def test_new_objects_held_at_a_node_that_went_silent_move() -> None:
    rig = Rig(node(1), node(2))
    quiet, other = (rig.scheduler.nodes[node(n).node_id] for n in (1, 2))
    other.latency_ms = 100.0
    held = rig.ask(shard=-1)
    job = rig.scheduler.requests.requests[held]
    assert rig.sent[-1][2] == node(1).node_id
    job.attempts_started, job.open_attempts = 0, {}
    quiet.queue.append(job)
    rig.scheduler.outliers.mark_unresponsive(quiet)
    rig.do()
    assert rig.sent[-1][1:] == (held, node(2).node_id)


def test_old_news_of_a_node_gives_way_to_what_its_kind_shows() -> None:
    rig = Rig(node(1), node(2))
    one = rig.scheduler.nodes[node(1).node_id]
    one.latency_ms = 180.0
    for _ in range(60):
        rig.wait(500)
        rig.end(rig.ask(shard=2), took=30, where=2)
    rig.ask(shard=1)
    assert one.latency_ms < 80


def test_several_hundred_hosts_keep_a_young_node_within_its_safe_units() -> None:
    hosts = 300
    rigs = [Rig(node(1), node(2), scheduler_count=hosts) for _ in range(hosts)]
    for i, rig in enumerate(rigs):
        rig.scheduler.context.random.seed(i)
        for _ in range(12):  # usual demand, at the other node
            rig.wait(500)
            rig.end(rig.ask(shard=2), took=20, where=2)
        rig.do(listing(node(1, started=rig.now), kind=ListKind.DELTA))
    start, sent = rigs[0].now, list[float]()
    for i, rig in enumerate(rigs):
        rig.wait(i % 50 * 10)
        for k in range(10):
            request_id = rig.ask(shard=1 + k % 2)
            if rig.sends(request_id):
                rig.end(request_id, took=20, where=1 + k % 2)
                sent += [rig.now] if k % 2 == 0 else []
            rig.wait(500)
    safe, window = SETTINGS.slow_start_units, SETTINGS.overload_window_ms
    for t in (t for t in sent if t < start + 2 * window):
        span = sum(2 for at in sent if t <= at < t + window)
        aged = 1 + (1 / SETTINGS.slow_start_fraction - 1) * (t - start) / SETTINGS.warm_up_ms
        # As safe units grow with age, in the second window too; and with little slack for chance.
        assert span <= 1.5 * safe * (aged if t >= start + window else 1)
    assert min(sent) < start + 2 * window


def test_with_200_hosts_as_with_3_the_budget_holds_and_the_admission_test_refuses() -> None:
    for hosts in (3, 200):
        rig = Rig(scheduler_count=hosts)
        n = rig.scheduler.nodes[node(1).node_id]
        rig.now = (rig.now // rig.scheduler.context.period_ms + 1) * rig.scheduler.context.period_ms
        n.budget_units, n.window_units, n.latency_ms = 8.0, 32.0, 1.0
        ids = [rig.ask() for _ in range(6)]
        assert sum(rig.sends(r) for r in ids) == 4
        n.strained, n.sessions[99] = (
            True,
            rig.now - rig.scheduler.context.period_ms * (SESSION_IDLE_PERIODS + 0.5),
        )
        n.period_loads.extend([0.9, 0.9])
        assert rig.answers(rig.ask(volume=99))


def test_a_large_request_is_given_more_patience() -> None:
    rig = Rig(hedging_allowed=True)
    n = rig.scheduler.nodes[node(1).node_id]
    n.window_units, n.latency_ms = 40.0, 20.0
    large = rig.ask(units=8)
    rig.wait(5)
    rig.end(rig.ask(volume=2), took=20)
    rig.wait(100)
    assert rig.sends(large) == 1


def test_nothing_is_kept_of_boxes_that_are_gone_and_volumes_that_rest() -> None:
    rig = Rig()
    for n in range(2, 200):
        rig.do(listing(node(n)))
        rig.end(rig.ask(shard=n, plan=n % 2, volume=n), where=n)
        rig.wait(500)
    longest = 2 * EVICTION_INTERVAL_MS + SETTINGS.overload_window_ms
    assert len(rig.scheduler.nodes) <= longest / 500 and len(rig.scheduler.quotas.volumes) <= longest / 500


def test_a_client_that_names_another_plan_spends_nothing_of_this_one() -> None:
    rig = Rig()
    rig.end(rig.ask(plan=0))
    request_id = rig.ask(plan=1)
    assert rig.scheduler.requests.requests[request_id].reserved


@pytest.mark.parametrize("how", [Outcome.OK, Outcome.REJECTED])
def test_a_draining_box_serves_its_shard_until_another_does_or_it_turns_work_away(how: Outcome) -> None:
    rig = Rig(drain_grace_ms=2000)
    drains = listing(node(1, state=NodeState.DRAINING), kind=ListKind.DELTA)
    rig.do(drains)
    first = rig.ask()
    assert rig.sends(first) == 1 and rig.sends(rig.ask(shard=-1)) == 0  # what may go anywhere waits
    rig.end(first, how)
    rig.wait(50)
    assert rig.sends(rig.ask()) == (how is Outcome.OK)
    rig.wait(USED_DRAIN_GRACE * 2000)
    rig.do(drains)  # told again: that does not lengthen it
    late = rig.ask()
    assert rig.sends(late) == 0
    rig.do(listing(node(1), kind=ListKind.DELTA))
    assert rig.sends(late) == 1
    rig.do(listing(node(2)))  # missing, so told gone: that it drains is old news, and gives it no time anew
    rig.do(drains)
    rig.end(late)
    assert rig.sends(rig.ask()) == 0


def test_what_is_held_at_a_draining_box_is_not_sent_past_its_time() -> None:
    rig = Rig(drain_grace_ms=200)
    rig.do(listing(node(1, state=NodeState.DRAINING), kind=ListKind.DELTA))
    rig.scheduler.nodes[node(1).node_id].window_units = 2.0
    first, held = rig.ask(), rig.ask(class_=1)
    assert (rig.sends(first), rig.sends(held)) == (1, 0)
    rig.wait(USED_DRAIN_GRACE * 200 + 1)
    rig.end(first)
    assert rig.sends(held) == 0
