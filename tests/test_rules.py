"""Each of the seven rules: a test that fails if the guard is taken out."""

from __future__ import annotations

from dataclasses import replace

import pytest

from sabledyke.policy.actions import Fail, Reject, WatchList
from sabledyke.policy.events import (
    AttemptCompleted,
    ClientDisconnected,
    Outcome,
    PossibleExecution,
    Request,
)
from sabledyke.policy.nodes import EndpointList, ListKind, NodeState
from sabledyke.policy.retry import WRITE_DELAY_MS
from sabledyke.policy.settings import DeduplicationScope, Plan, RepeatSafety, RequestClass
from tests.helpers import READ, WRITE, Rig, listing, node, of


def test_no_request_is_lost_every_one_ends_once_before_its_deadline() -> None:
    rig = Rig()
    start = rig.now
    ids = [rig.ask() for _ in range(60)]
    rig.wait(980)
    for request_id in ids:
        if not rig.sends(request_id):
            assert len(rig.answers(request_id)) == 1
    rig.now = start + 1000
    for request_id in ids:
        if rig.sends(request_id):
            rig.end(request_id, Outcome.TIMEOUT, 1000)
    assert all(len(rig.answers(request_id)) == 1 for request_id in ids)


def test_nothing_is_sent_after_the_client_left() -> None:
    rig = Rig()
    ids = [rig.ask() for _ in range(8)]
    held = [request_id for request_id in ids if not rig.sends(request_id) and not rig.answers(request_id)]
    assert held
    rig.do(*[ClientDisconnected(request_id) for request_id in held])
    for request_id in ids:
        if rig.sends(request_id):
            rig.end(request_id)
    assert not any(rig.sends(request_id) for request_id in held)


def kind(repeat: RepeatSafety, group: DeduplicationScope) -> RequestClass:
    return replace(
        READ, repeat_safety=repeat, deduplication_scope=group, deduplication_window_ms=100 + WRITE_DELAY_MS
    )


def test_at_most_once_is_not_repeated_and_not_refused_once_it_may_have_run() -> None:
    rig = Rig(classes=(kind(RepeatSafety.AT_MOST_ONCE, DeduplicationScope.ALL),))
    request_id = rig.ask()
    rig.end(request_id, Outcome.ERROR)
    assert rig.sends(request_id) == 1
    assert isinstance(rig.answers(request_id)[0], Fail)


def test_at_most_once_may_go_again_when_it_never_ran() -> None:
    rig = Rig(classes=(kind(RepeatSafety.AT_MOST_ONCE, DeduplicationScope.ALL),))
    request_id = rig.ask()
    rig.scheduler.nodes[node(1).node_id].latency_updated_ms = rig.now
    rig.end(request_id, Outcome.REJECTED, 2)
    rig.wait(30)
    assert rig.sends(request_id) == 2


@pytest.mark.parametrize(
    ("group", "after", "again", "last"),
    [
        (DeduplicationScope.ALL, 5, True, None),
        (DeduplicationScope.ALL, 150, False, Fail),
        (DeduplicationScope.CELL, 5, True, None),
        (DeduplicationScope.CELL, 150, False, Fail),
    ],
)
def test_deduplicated_goes_again_only_inside_group_and_window(
    group: DeduplicationScope, after: float, again: bool, last: type | None
) -> None:
    rig = Rig(classes=(kind(RepeatSafety.DEDUPLICATED, group),))
    request_id = rig.ask()
    rig.wait(after)
    rig.end(request_id, Outcome.ERROR, after)
    rig.wait(120)
    assert (rig.sends(request_id) == 2) is again
    if last:
        assert isinstance(rig.answers(request_id)[0], last)


def test_deduplicated_new_object_stays_in_its_zone() -> None:
    rig = Rig(node(1), node(2, zone=1), classes=(kind(RepeatSafety.DEDUPLICATED, DeduplicationScope.ZONE),))
    request_id = rig.ask(shard=-1)
    first = rig.sent[-1][2]
    rig.do(AttemptCompleted(request_id, first, 0, Outcome.ERROR, False, 5, 0, 0, ()))
    rig.wait(50)
    assert {where for _, r, where in rig.sent if r == request_id} == {first}


@pytest.mark.parametrize("state", [NodeState.DRAINING, NodeState.GONE])
def test_drains_are_kept_at_once_even_for_held_work(state: NodeState) -> None:
    rig = Rig()
    ids = [rig.ask() for _ in range(8)]
    before = len(rig.sent)
    rig.do(listing(node(1, state=state), kind=ListKind.DELTA))
    for request_id in ids:
        if rig.sends(request_id):
            rig.end(request_id)
    rig.ask()
    rig.wait(500)
    assert len(rig.sent) == before


def test_a_node_missing_from_a_full_list_is_gone_and_its_replacement_takes_over() -> None:
    rig = Rig(node(1), node(2))
    rig.do(listing(node(2)))
    request_id = rig.ask()
    assert not rig.sends(request_id)
    rig.do(listing(node(3, shard=1), kind=ListKind.DELTA))
    assert rig.sends(request_id) == 1 and rig.sent[-1][2] == node(3).node_id


def test_a_cold_node_gets_no_more_than_this_hosts_part() -> None:
    rig = Rig()
    rig.do(listing(node(1, started=rig.now), kind=ListKind.DELTA))
    start = rig.now
    for _ in range(100):
        request_id = rig.ask()
        if rig.sends(request_id):
            rig.end(request_id, took=5)
        rig.wait(20)
    assert 0 < sum(2 for at, _, _ in rig.sent if at <= start + 2000) <= 20 / 2


def test_a_restarted_node_counts_what_it_was_sent_just_before() -> None:
    rig = Rig()
    for _ in range(5):
        rig.end(rig.ask())
    rig.do(listing(node(1, started=rig.now), kind=ListKind.DELTA))
    request_id = rig.ask()
    rig.wait(100)
    assert rig.sends(request_id) == 0


def ordered() -> RequestClass:
    return replace(WRITE, ordered=True)


def test_order_one_at_a_time_and_rest_after_a_reset() -> None:
    rig = Rig(classes=(ordered(),), order_settle_ms=200)
    first, second = rig.ask(key=9), rig.ask(key=9)
    other = rig.ask(key=8)
    assert (rig.sends(first), rig.sends(second), rig.sends(other)) == (1, 0, 1)
    rig.end(first, Outcome.RESET, over=True)
    rig.wait(180)
    assert rig.sends(second) == 0
    rig.wait(40)
    assert rig.sends(second) == 1


def test_order_waits_for_the_outcome_of_a_request_already_over() -> None:
    rig = Rig(classes=(ordered(),))
    first, second = rig.ask(key=9), rig.ask(key=9)
    rig.do(ClientDisconnected(first))
    rig.wait(50)
    assert rig.sends(second) == 0
    rig.end(first, over=True)
    rig.wait(20)
    assert rig.sends(second) == 1


def test_further_attempts_stay_within_budget() -> None:
    rig = Rig(retry_budget_window_ms=5000, retry_budget_free=1, retry_budget_ratio=0.1)
    for _ in range(20):
        request_id = rig.ask()
        for _ in range(3):
            if rig.sends(request_id) and not rig.answers(request_id):
                rig.end(request_id, Outcome.ERROR, 2)
        rig.wait(60)
    assert 0 < len(rig.sent) - len(rig.tries) <= 1 + 0.1 * 20


def test_limits_are_kept_and_what_is_beyond_is_refused_early() -> None:
    rig = Rig(plans=(Plan("capped", 5, 0, 10, 32, 8, 1, 1),))
    start = rig.now
    rig.wait(1000)
    for _ in range(200):
        request_id = rig.ask(hosts=2)
        if rig.sends(request_id):
            rig.end(request_id, took=5)
        rig.wait(10)
    spent = 2 * len(rig.sent)
    assert 0 < spent <= 10 / 2 * (rig.now - start) / 1000
    assert any(isinstance(a, Reject) for a in rig.log)


def test_a_restarted_host_starts_with_an_empty_store() -> None:
    rig = Rig()
    assert rig.sends(rig.ask(plan=2, units=8)) == 0


def test_watch_at_start_and_again_after_failure_with_backoff() -> None:
    rig = Rig(polls_endpoint_list=True)
    rig.wait(rig.scheduler.discovery.first_call_spread_ms)
    assert len(of(rig.log, WatchList)) == 1
    waits = []
    for _ in range(4):
        rig.do(EndpointList(ListKind.FAILED, 0, ()))
        before, asked = rig.now, len(of(rig.log, WatchList))
        while len(of(rig.log, WatchList)) == asked:
            rig.wait(50)
        waits.append(rig.now - before)
    assert waits[-1] > 2 * waits[0]


def test_a_write_that_a_former_life_sent_runs_only_as_its_key_allows() -> None:
    keyed = replace(
        WRITE,
        repeat_safety=RepeatSafety.DEDUPLICATED,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_window_ms=500,
    )
    for age, shard, sent in ((100, 1, True), (500, 1, False), (100, 2, False)):
        rig = Rig(node(1), node(2), classes=(keyed,))
        ran = PossibleExecution(rig.now - age, node(1))
        rig.do(Request(1, 0, 0, 0, 2000, 1, 2, shard, 1, False, True, ran))
        assert (rig.sends(1) > 0) is sent
        if age == 500:  # nothing can change: it fails at once
            assert rig.answers(1) == [Fail(1)]
        rig.wait(3000)
        assert sent or rig.answers(1) == [Fail(1)]
