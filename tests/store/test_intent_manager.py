"""The decisions of the intent manager, case by case."""

from __future__ import annotations

from sabledyke.policy.retry import WRITE_DELAY_MS
from sabledyke.store.batch_gathering import MAX_PENDING_DRIFTS
from sabledyke.store.database_errors import DatabaseError, DatabaseErrorKind
from sabledyke.store.effects import BlockAttempt, CompleteWrite, Effect, ExpireAttempt, SendAttempt
from sabledyke.store.health import HealthState
from sabledyke.store.intent_manager import IntentManager
from sabledyke.store.types import (
    DriftFinding,
    JournalPosition,
    RecordedWrite,
    SendRecord,
    WriteState,
)
from tests.store.record_model import ENTRY, KEYED, LIMITS, RecordModel


def opened_manager() -> IntentManager:
    manager = IntentManager("n0", LIMITS, 1, 1e9)
    manager.on_opened(JournalPosition(1), [], 0)
    return manager


def begin_attempt(
    manager: IntentManager, now: float, attempt: int, shard: int = 0, name: str = "a"
) -> list[Effect]:
    return manager.on_attempt(now, (attempt, 0), name, SendRecord(now, shard, 0), now + 200, KEYED)


def test_an_attempt_waits_for_its_intent_and_expires_past_its_deadline() -> None:
    manager = opened_manager()
    assert begin_attempt(manager, 0, 1) == []
    assert begin_attempt(manager, 0, 2, name="b") == []
    batch = manager.next_batch(0)
    assert batch is not None
    assert [i.name for i in batch.intents] == ["a", "b"]
    assert manager.next_batch(0) is None
    assert manager.on_attempt_cancelled((2, 0))
    assert not manager.on_attempt_cancelled((2, 0))
    # An attempt whose intent becomes durable after its deadline is not sent.
    assert manager.on_batch_committed(250, {"a", "b"}, {}) == [ExpireAttempt((1, 0))]
    again = manager.next_batch(251)
    assert again is not None
    assert sorted(again.settled) == [("a", WriteState.NEVER), ("b", WriteState.NEVER)]


def test_an_earlier_send_of_another_scheduler_limits_repeats() -> None:
    manager = opened_manager()
    for number, shard in ((1, 0), (2, 1)):
        begin_attempt(manager, 1000, number, shard, name=f"x{shard}")
    assert manager.next_batch(1000)
    other = RecordedWrite(SendRecord(900, 0, 0), WriteState.UNKNOWN)
    effects = manager.on_batch_committed(1001, set(), {"x0": other, "x1": other})
    assert effects == [SendAttempt((1, 0)), BlockAttempt((2, 0))]
    assert manager.earlier_send("x1") == other.first_send
    # A repeat may be decided only so early that it is written inside the deduplication window.
    window_end = 900 + KEYED.deduplication_window_ms - WRITE_DELAY_MS
    assert begin_attempt(manager, window_end - 1, 3, 0, name="x1") == [SendAttempt((3, 0))]
    assert begin_attempt(manager, window_end, 4, 0, name="x1") == [BlockAttempt((4, 0))]


def test_a_write_that_never_ran_may_be_sent_to_another_shard_after_a_new_intent() -> None:
    manager = opened_manager()
    begin_attempt(manager, 0, 1)
    manager.next_batch(0)
    assert manager.on_batch_committed(1, {"a"}, {}) == [SendAttempt((1, 0))]
    manager.on_attempt_completed("a", may_have_run=False)
    # The recorded intent covers another attempt at the same place.
    assert begin_attempt(manager, 2, 2, shard=0) == [SendAttempt((2, 0))]
    manager.on_attempt_completed("a", may_have_run=False)
    assert begin_attempt(manager, 3, 3, shard=1) == []
    batch = manager.next_batch(4)
    assert batch is not None
    assert batch.intents[0].sent.shard == 1


def test_a_stall_rejects_attempts_at_once_and_ends_when_the_batch_commits() -> None:
    manager = opened_manager()
    begin_attempt(manager, 0, 1)
    assert manager.next_batch(0)
    assert not manager.on_tick(99)
    effects = manager.on_tick(100)
    assert ExpireAttempt((1, 0)) in effects
    assert not manager.accepts_writes()
    assert begin_attempt(manager, 101, 2) == [ExpireAttempt((2, 0))]
    effects = manager.on_batch_committed(8000, {"a"}, {})
    assert manager.accepts_writes()
    assert [type(e).__name__ for e in effects] == ["LogLine"]  # the expired attempt is not sent


def test_served_answers_wait_for_their_entries_and_fail_with_the_stall() -> None:
    manager = opened_manager()
    assert manager.on_write_completed("a", ENTRY, 7, 300) == []
    assert manager.next_batch(0)
    assert CompleteWrite(7, journaled=False) in manager.on_tick(100)
    assert manager.corrections == 1
    manager.on_batch_committed(101, set(), {})
    batch = manager.next_batch(101)
    assert batch is not None
    assert [e.outcome for e in batch.entries] == ["unconfirmed"]
    manager.on_batch_committed(102, set(), {})
    assert manager.on_write_completed("b", ENTRY, 8, 104) == []
    assert manager.on_tick(105) == [CompleteWrite(8, journaled=False)]  # the answer's deadline has passed
    assert manager.corrections == 1
    batch = manager.next_batch(106)
    assert batch is not None
    assert batch.entries[0].outcome == "unconfirmed"


def test_a_batch_whose_answer_is_lost_is_written_once() -> None:
    manager, database = opened_manager(), RecordModel()
    database.start()
    manager.on_write_completed("a", ENTRY, 7, 300)
    batch = manager.next_batch(0)
    assert batch is not None
    database.commit(batch)
    assert CompleteWrite(7, journaled=False) in manager.on_batch_failed(
        1, DatabaseError(DatabaseErrorKind.LOST, uncertain=True)
    )
    assert manager.position_unknown
    assert manager.next_batch(1000) is None  # the position must be read first
    manager.on_position_read(1000, database.position)
    batch = manager.next_batch(1001)
    assert batch is not None
    assert [e.outcome for e in batch.entries] == ["unconfirmed"]
    database.commit(batch)
    assert database.audit().passed
    assert len(database.journal) == 2


def test_an_older_incarnation_stops_permanently() -> None:
    manager = opened_manager()
    begin_attempt(manager, 0, 1)
    manager.next_batch(0)
    assert ExpireAttempt((1, 0)) in manager.on_batch_failed(1, DatabaseError(DatabaseErrorKind.FENCED))
    assert not manager.needs_polling
    manager.on_position_read(2, JournalPosition(2))
    assert not manager.accepts_writes()
    assert manager.next_batch(1e9) is None
    assert manager.health.state is HealthState.FENCED
    other = opened_manager()
    other.position_unknown = True
    assert other.on_position_read(0, JournalPosition(2))
    assert other.health.state is HealthState.FENCED


def test_a_batch_in_conflict_is_retried_three_times_without_a_stall() -> None:
    manager = opened_manager()
    begin_attempt(manager, 0, 1)
    for n in range(4):
        batch = manager.next_batch(n)
        assert batch is not None
        assert len(batch.intents) == 1
        effects = manager.on_batch_failed(n, DatabaseError(DatabaseErrorKind.CONFLICT))
        assert (effects == []) is (n < 3)
    assert not manager.accepts_writes()


def test_batches_are_bounded_and_writes_beyond_the_backlog_are_rejected() -> None:
    manager = opened_manager()
    for n in range(10):
        begin_attempt(manager, 0, n, name=str(n))
        manager.on_write_completed(f"x{n}", ENTRY, None)
    for _ in range(3):
        batch = manager.next_batch(0)
        assert batch is not None
        assert len(batch.intents) <= 4 >= len(batch.entries)
        manager.on_batch_committed(0, {i.name for i in batch.intents}, {})
    assert manager.next_batch(0) is None
    for n in range(LIMITS.backlog):
        manager.on_write_completed(f"y{n}", ENTRY, None)
    assert not manager.accepts_writes()
    assert begin_attempt(manager, 0, 99) == [ExpireAttempt((99, 0))]
    for _ in range(2 * MAX_PENDING_DRIFTS):
        manager.on_drift(DriftFinding(0, "", "", "", "", ""))
    assert manager.size <= LIMITS.backlog + MAX_PENDING_DRIFTS + 20
