"""The keyed writes in memory: their first sends, attempts that wait for an intent, and states to be recorded.

Decides whether an attempt may be sent, must wait for its intent to be durable, has expired or is blocked.
Accesses neither a database nor a clock: callers pass the time in Unix milliseconds.

Memory is bounded: waiting attempts and unrecorded intents exist only while their requests are open in the
core. A write is evicted after its last attempt has ended and every window for repeating it has passed.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from sabledyke.policy.retry import may_repeat
from sabledyke.policy.settings import RequestClass
from sabledyke.store.effects import AttemptId, BlockAttempt, Effect, ExpireAttempt, SendAttempt
from sabledyke.store.settlements import merge_settlements, take_states
from sabledyke.store.tracked_writes import TrackedWrite, WaitingAttempt
from sabledyke.store.types import Intent, RecordedWrite, SendRecord, Settlement, WriteState

EVICT_INTERVAL_MS = 1000.0  # time between searches for writes to evict


class IntentTable:
    """Keyed writes by name, and the attempts that wait for their intents."""

    def __init__(self) -> None:
        self._writes: dict[str, TrackedWrite] = {}
        self._unrecorded: dict[str, Intent] = {}
        self._waiting: dict[AttemptId, WaitingAttempt] = {}
        self._settlements: dict[str, WriteState] = {}
        self._evicted_at_ms = 0.0

    @property
    def size(self) -> int:
        """Number of entries in all tables, for checks of the memory bounds."""
        return len(self._writes) + len(self._unrecorded) + len(self._waiting) + len(self._settlements)

    @property
    def unrecorded(self) -> int:
        """Number of intents that are not part of a batch yet."""
        return len(self._unrecorded)

    @property
    def has_waiting_attempts(self) -> bool:
        """True if any attempt waits for its intent."""
        return bool(self._waiting)

    @property
    def needs_batch(self) -> bool:
        """True if intents or states are to be recorded."""
        return bool(self._unrecorded or self._settlements)

    def load(self, writes: Iterable[tuple[str, RecordedWrite]], retain_until_ms: float) -> None:
        """Add writes of earlier incarnations; each of them may have run."""
        for name, write in writes:
            self._writes[name] = TrackedWrite(
                write.first_send, retain_until_ms, durable=True, may_have_run=True
            )

    def earlier_send(self, name: str) -> SendRecord | None:
        """Return the first send of a write that may have run; None if none is in memory."""
        write = self._writes.get(name)
        return write.first_send if write is not None and write.was_sent else None

    # Attempts.

    def on_attempt(
        self,
        now_ms: float,
        attempt: AttemptId,
        name: str,
        send: SendRecord,
        deadline_ms: float,
        request_class: RequestClass,
    ) -> list[Effect]:
        """Send or block an attempt, or let it wait for its intent.

        Args:
            now_ms: The time.
            attempt: The attempt.
            name: The name under which the write is recorded.
            send: Time and place of the send.
            deadline_ms: Time at which the attempt expires.
            request_class: The class of the write; its deduplication window bounds repeats.

        Returns:
            The effect of the decision; empty if the attempt waits for its intent.
        """
        write = self._writes.get(name)
        if write is not None and write.durable:
            if write.was_sent and not self._may_repeat(now_ms, write, request_class, send):
                return [BlockAttempt(attempt)]
            # The recorded intent also covers a write that never ran if its place is the same.
            if write.was_sent or write.first_send.place == send.place:
                write.in_flight += 1
                return [SendAttempt(attempt)]
        # A first send, and one to another place of a write that never ran, need a new intent.
        if write is None or write.durable:
            retained_ms = request_class.deduplication_window_ms + request_class.deadline_ms
            self._add_write(name, send, now_ms + retained_ms)
        self._waiting[attempt] = WaitingAttempt(name, send, deadline_ms, request_class)
        return []

    def on_attempt_cancelled(self, attempt: AttemptId) -> bool:
        """Drop a waiting attempt; return False if it was already sent or has ended."""
        waiting = self._waiting.pop(attempt, None)
        if waiting is None:
            return False
        self._drop_if_not_awaited(waiting.name)
        return True

    def on_attempt_completed(self, name: str, *, may_have_run: bool) -> None:
        """Record the end of an attempt that was sent."""
        write = self._writes.get(name)
        if write is not None:
            write.in_flight -= 1
            write.may_have_run |= may_have_run

    def on_write_completed(self, name: str, *, served: bool) -> WriteState | None:
        """Return the state to record for a write that received its final answer.

        Returns None if no intent is known: nothing was recorded, or NEVER is already queued for it.
        """
        if served:
            return WriteState.SERVED
        write = self._writes.get(name)
        if write is None:
            return None
        if write.was_sent:
            return WriteState.UNKNOWN
        self._drop_if_not_awaited(name)
        return WriteState.NEVER

    def expire(self, now_ms: float) -> list[Effect]:
        """Drop the waiting attempts whose deadlines have passed."""
        effects: list[Effect] = []
        for attempt, waiting in list(self._waiting.items()):
            if now_ms >= waiting.deadline_ms:
                del self._waiting[attempt]
                self._drop_if_not_awaited(waiting.name)
                effects.append(ExpireAttempt(attempt))
        return effects

    def release_waiting(self, now_ms: float) -> list[Effect]:
        """Send, block or expire the waiting attempts whose intents are now durable."""
        effects: list[Effect] = []
        for attempt, waiting in list(self._waiting.items()):
            write = self._writes.get(waiting.name)
            if write is not None and write.durable:
                del self._waiting[attempt]
                effects.append(self._release(now_ms, attempt, waiting, write))
        return effects

    def expire_all_waiting(self, intents: Iterable[Intent]) -> list[Effect]:
        """Expire all waiting attempts and drop all unsent writes, including those of the batch in flight.

        Args:
            intents: The intents of the batch in flight. If the batch commits after all, they are settled as
                never sent.
        """
        effects: list[Effect] = [ExpireAttempt(attempt) for attempt in self._waiting]
        names = {waiting.name for waiting in self._waiting.values()} | set(self._unrecorded)
        names |= {intent.name for intent in intents}
        self._waiting.clear()
        self._unrecorded.clear()
        for name in names:
            write = self._writes.get(name)
            if write is not None and not write.was_sent:
                del self._writes[name]
        return effects

    # Batches.

    def take_intents(self, limit: int) -> list[Intent]:
        """Remove and return the intents for the next batch, oldest first."""
        return [self._unrecorded.pop(name) for name in list(self._unrecorded)[:limit]]

    def take_settlements(
        self, limit: int, completed: Iterable[Settlement | None], intents: Iterable[Intent]
    ) -> list[Settlement]:
        """Remove and return the states for the next batch.

        Args:
            limit: The maximum number of waiting states to take.
            completed: States that belong to the journal entries of the same batch.
            intents: The intents of the same batch. A write that is sent again is not settled as never sent.
        """
        states = take_states(self._settlements, limit, completed)
        sent_again = {intent.name for intent in intents}
        return [
            Settlement(name, state)
            for name, state in states.items()
            if state is not WriteState.NEVER or not (name in self._writes or name in sent_again)
        ]

    def restore_settlements(self, settlements: Iterable[Settlement]) -> None:
        """Queue the states of a failed batch again."""
        merge_settlements(self._settlements, settlements)

    def restore_intents(self, intents: Iterable[Intent]) -> None:
        """Queue the intents of a batch that did not take effect ahead of all others."""
        tracked = {intent.name: intent for intent in intents if intent.name in self._writes}
        self._unrecorded = tracked | self._unrecorded

    def settle_as_never_sent(self, intents: Iterable[Intent]) -> None:
        """Settle intents that may be recorded although their attempts are not sent."""
        for intent in intents:
            self._settlements.setdefault(intent.name, WriteState.NEVER)

    def on_recorded(
        self, intents: Iterable[Intent], accepted: set[str], existing: Mapping[str, RecordedWrite]
    ) -> None:
        """Apply the results of a committed batch to its intents.

        Args:
            intents: The intents of the batch.
            accepted: Names of the intents that were recorded.
            existing: Writes found in the record in place of the other intents, by name.
        """
        for intent in intents:
            write = self._writes.get(intent.name)
            if write is None:
                self._settlements[intent.name] = WriteState.NEVER
            elif write.first_send != intent.sent:
                continue  # a newer intent of this write is still queued
            elif intent.name in accepted:
                write.durable = True
            else:
                self._adopt_existing(write, intent, existing.get(intent.name))

    def drop_not_awaited(self, intents: Iterable[Intent]) -> None:
        """Drop the unsent writes of these intents for which no attempt waits."""
        for intent in intents:
            self._drop_if_not_awaited(intent.name)

    def evict(self, now_ms: float) -> None:
        """Evict writes that can no longer be repeated; the database retains them longer for its checks."""
        if now_ms - self._evicted_at_ms < EVICT_INTERVAL_MS:
            return
        self._evicted_at_ms = now_ms
        for name, write in list(self._writes.items()):
            if not write.in_flight and now_ms >= write.retain_until_ms and not self._is_awaited(name):
                del self._writes[name]

    # Helpers.

    def _add_write(self, name: str, send: SendRecord, retain_until_ms: float) -> None:
        self._writes[name] = TrackedWrite(send, retain_until_ms)
        self._unrecorded[name] = Intent(name, send)
        if self._settlements.get(name) is WriteState.NEVER:
            del self._settlements[name]

    def _release(
        self, now_ms: float, attempt: AttemptId, waiting: WaitingAttempt, write: TrackedWrite
    ) -> Effect:
        if now_ms >= waiting.deadline_ms:
            return ExpireAttempt(attempt)
        if not self._may_repeat(now_ms, write, waiting.request_class, waiting.send):
            # An unsent write reaches this line if its recorded intent is for another place.
            return BlockAttempt(attempt) if write.was_sent else ExpireAttempt(attempt)
        write.in_flight += 1
        return SendAttempt(attempt)

    def _adopt_existing(self, write: TrackedWrite, intent: Intent, existing: RecordedWrite | None) -> None:
        # The row has changed since the intent was rejected, so the intent is recorded again.
        if existing is None or existing.state is WriteState.NEVER:
            write.durable = False
            self._unrecorded[intent.name] = intent
            return
        write.durable = True
        write.first_send = existing.first_send
        write.may_have_run = True

    def _is_awaited(self, name: str) -> bool:
        return any(waiting.name == name for waiting in self._waiting.values())

    def _drop_if_not_awaited(self, name: str) -> None:
        """Drop an unsent write for which no attempt waits; settle a recorded one as never sent."""
        write = self._writes.get(name)
        if write is None or write.was_sent or self._is_awaited(name):
            return
        del self._writes[name]
        if self._unrecorded.pop(name, None) is None and write.durable:
            self._settlements[name] = WriteState.NEVER

    @staticmethod
    def _may_repeat(
        now_ms: float, write: TrackedWrite, request_class: RequestClass, send: SendRecord
    ) -> bool:
        first = write.first_send
        return may_repeat(request_class, first.sent_at_ms, first.place, now_ms, send.place)
