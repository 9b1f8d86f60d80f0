"""Admission of handshakes."""

from __future__ import annotations

from sabledyke.tls.handshake_admission import HandshakeAdmission, HandshakeBudget

BUDGET = HandshakeBudget(
    scheduler_count=20,
    initial_capacity_share=0.2,
    warm_up_ms=10_000,
    handshake_share=0.2,
    cores=2,
    full_handshake_ms=1.0,
    resumed_handshake_ms=0.5,
)


def test_a_crowd_of_schedulers_stays_within_what_a_starting_storage_node_can_do() -> None:
    """20 schedulers each want 50 connections to a storage node that has just come back, all at one moment."""
    schedulers = [HandshakeAdmission(BUDGET, seed) for seed in range(20)]
    spent: list[tuple[float, float]] = []
    waiting = 0
    for n, one in enumerate(schedulers):
        for attempt in range(50):
            answer = one.request(0, b"node", 0, attempt, 3000, resumes=False)
            if answer:
                spent.append((0, 1.0))
                one.on_handshake_completed(0, b"node", good=True)
            waiting += answer is False
        assert one.entry_count <= 51, n
    for ms in range(1, 4000):
        for one in schedulers:
            while one.next_due_ms(ms, b"node") <= ms:
                go, late = one.pop_due(ms, b"node")
                spent += [(ms, 1.0)] * len(go)
                waiting -= len(go) + len(late)
                for _ in go:
                    one.on_handshake_completed(ms, b"node", good=True)
                if not go and not late:
                    break
    assert waiting == 0
    assert len(spent) > 150
    for start in range(0, 4000, 250):  # any second: what handshakes may take, and a bucket at the start
        work = sum(cost for at, cost in spent if start <= at < start + 1000)
        capacity_share = 0.2 + 0.8 * min(1.0, (start + 1000) / 10_000)
        assert work <= capacity_share * 2 * 0.2 * 1000 * 2 + 20


def test_waiting_attempts_begin_by_deadline_and_hopeless_ones_are_rejected_at_once() -> None:
    one = HandshakeAdmission(BUDGET, 1)
    began = 0
    while one.request(0, b"node", 0, began, 100_000, resumes=False):
        began += 1
    assert began >= 1
    assert one.request(0, b"node", 0, 100, 50_000, resumes=False) is False
    assert one.request(0, b"node", 0, 101, 20_000, resumes=False) is False
    assert one.request(0, b"node", 0, 102, 1, resumes=False) is None  # at once
    at = one.next_due_ms(0, b"node")
    while not (go := one.pop_due(at, b"node")[0]):
        at = one.next_due_ms(at, b"node") + 0.01
    assert go == [101]
    one.withdraw(b"node", 100)
    assert one.pop_due(1e9, b"node")[1] == [began]  # the first that waited is out of time by then


def test_a_storage_node_whose_handshakes_fail_is_tried_singly_with_backoff() -> None:
    one, now, gaps = HandshakeAdmission(BUDGET, 2), 0.0, []
    assert one.request(now, b"node", -1e6, 0, now + 500, resumes=False)
    for attempt in range(1, 8):
        one.on_handshake_completed(now, b"node", good=False)
        assert one.request(now, b"node", -1e6, attempt, now + 60_000, resumes=False) is False
        trial = one.next_due_ms(now, b"node")
        gaps.append(trial - now)
        now = trial
        assert one.pop_due(now, b"node")[0] == [attempt]
        assert one.request(now, b"node", -1e6, 99, now + 100, resumes=False) is None  # one at a time
    assert gaps[0] <= 100
    assert gaps[-1] > 2000
    assert max(gaps) <= BUDGET.max_backoff_ms
    one.on_handshake_completed(now, b"node", good=True)
    assert one.request(now, b"node", -1e6, 100, now + 1, resumes=False)


def test_idle_storage_nodes_are_forgotten() -> None:
    one = HandshakeAdmission(BUDGET, 3)
    for n in range(500):
        one.request(n, b"%d" % n, -1e6, n, n + 10, resumes=True)
        one.on_handshake_completed(n, b"%d" % n, good=True)
    one.evict_idle(1e6)
    assert one.entry_count == 0
    one.request(0, b"a", 0, 1, 10, resumes=True)
    assert one.forget(b"a") == []
    assert one.entry_count == 0
