"""Tests of the admission of handshakes."""

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


def test_handshakes_of_many_schedulers_stay_within_the_capacity_of_a_starting_node() -> None:
    """20 schedulers each request 50 connections to a restarted storage node at the same time."""
    schedulers = [HandshakeAdmission(BUDGET, seed) for seed in range(20)]
    spent: list[tuple[float, float]] = []
    waiting = 0
    for n, admission in enumerate(schedulers):
        for attempt in range(50):
            admitted = admission.request(0, b"node", 0, attempt, 3000, resumes=False)
            if admitted:
                spent.append((0, 1.0))
                admission.on_handshake_completed(0, b"node", succeeded=True)
            waiting += admitted is False
        assert admission.entry_count <= 51, n
    for ms in range(1, 4000):
        for admission in schedulers:
            while admission.next_due_ms(ms, b"node") <= ms:
                admitted_attempts, expired_attempts = admission.pop_due(ms, b"node")
                spent += [(ms, 1.0)] * len(admitted_attempts)
                waiting -= len(admitted_attempts) + len(expired_attempts)
                for _ in admitted_attempts:
                    admission.on_handshake_completed(ms, b"node", succeeded=True)
                if not admitted_attempts and not expired_attempts:
                    break
    assert waiting == 0
    assert len(spent) > 150
    # Bound in any second: the work that handshakes may cause in it, plus the contents of full buckets.
    for start in range(0, 4000, 250):
        work = sum(cost for time_ms, cost in spent if start <= time_ms < start + 1000)
        capacity_share = 0.2 + 0.8 * min(1.0, (start + 1000) / 10_000)
        assert work <= capacity_share * 2 * 0.2 * 1000 * 2 + 20


def test_attempts_begin_in_deadline_order_and_those_without_capacity_in_time_are_rejected_at_once() -> None:
    admission = HandshakeAdmission(BUDGET, 1)
    began = 0
    while admission.request(0, b"node", 0, began, 100_000, resumes=False):
        began += 1
    assert began >= 1
    assert admission.request(0, b"node", 0, 100, 50_000, resumes=False) is False
    assert admission.request(0, b"node", 0, 101, 20_000, resumes=False) is False
    assert admission.request(0, b"node", 0, 102, 1, resumes=False) is None  # rejected at once
    due_ms = admission.next_due_ms(0, b"node")
    while not (admitted := admission.pop_due(due_ms, b"node")[0]):
        due_ms = admission.next_due_ms(due_ms, b"node") + 0.01
    assert admitted == [101]
    admission.withdraw(b"node", 100)
    assert admission.pop_due(1e9, b"node")[1] == [began]  # the attempt that waited first has expired


def test_handshakes_with_a_failing_node_run_one_at_a_time_with_backoff() -> None:
    admission, now, backoffs_ms = HandshakeAdmission(BUDGET, 2), 0.0, []
    assert admission.request(now, b"node", -1e6, 0, now + 500, resumes=False)
    for attempt in range(1, 8):
        admission.on_handshake_completed(now, b"node", succeeded=False)
        assert admission.request(now, b"node", -1e6, attempt, now + 60_000, resumes=False) is False
        retry_at = admission.next_due_ms(now, b"node")
        backoffs_ms.append(retry_at - now)
        now = retry_at
        assert admission.pop_due(now, b"node")[0] == [attempt]
        assert admission.request(now, b"node", -1e6, 99, now + 100, resumes=False) is None  # one at a time
    assert backoffs_ms[0] <= 100
    assert backoffs_ms[-1] > 2000
    assert max(backoffs_ms) <= BUDGET.max_backoff_ms
    admission.on_handshake_completed(now, b"node", succeeded=True)
    assert admission.request(now, b"node", -1e6, 100, now + 1, resumes=False)


def test_entries_of_idle_and_removed_nodes_are_dropped() -> None:
    admission = HandshakeAdmission(BUDGET, 3)
    for n in range(500):
        admission.request(n, b"%d" % n, -1e6, n, n + 10, resumes=True)
        admission.on_handshake_completed(n, b"%d" % n, succeeded=True)
    admission.evict_idle(1e6)
    assert admission.entry_count == 0
    admission.request(0, b"a", 0, 1, 10, resumes=True)
    assert admission.forget(b"a") == []
    assert admission.entry_count == 0
