"""The keyed writes in memory: their first sends, attempts that wait for an intent, and states to be recorded.

Decides whether an attempt may be sent, must wait for its intent to be durable, has expired or is blocked.
Knows neither a database nor a clock: the time is passed in, in Unix milliseconds.

Bounds: attempts wait, and intents are unrecorded, only while their requests are open in the core; a write is
evicted once its last attempt has ended and it is past any window in which it could be repeated.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from sabledyke.policy.retry import may_repeat
from sabledyke.policy.settings import RequestClass
from sabledyke.store.effects import AttemptId, BlockAttempt, Effect, ExpireAttempt, SendAttempt
from sabledyke.store.settlements import merge_settlements, take_states
from sabledyke.store.tracked_writes import TrackedWrite, WaitingAttempt
from sabledyke.store.types import Intent, RecordedWrite, SendRecord, Settlement, WriteState

EVICT_INTERVAL_MS = 1000.0  # between searches for writes that memory need not hold any longer


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
        """Entries in all tables, for what watches their bounds."""
        return len(self._writes) + len(self._unrecorded) + len(self._waiting) + len(self._settlements)

    @property
    def unrecorded(self) -> int:
        """Intents that no batch has taken yet."""
        return len(self._unrecorded)

    @property
    def has_waiting_attempts(self) -> bool:
        """Whether any attempt waits for its intent."""
        return bool(self._waiting)

    @property
    def needs_batch(self) -> bool:
        """Whether there are intents or states to be recorded."""
        return bool(self._unrecorded or self._settlements)

    def load(self, writes: Iterable[tuple[str, RecordedWrite]], retain_until_ms: float) -> None:
        """Add the writes of earlier incarnations, each of which may have run."""
        for name, write in writes:
            self._writes[name] = TrackedWrite(
                write.first_send, retain_until_ms, durable=True, may_have_run=True
            )

    def earlier_send(self, name: str) -> SendRecord | None:
        """Return the send of this write that may have run already, as far as memory has it."""
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
        """Decide about an attempt; without an effect, it waits for its intent.

        Args:
            now_ms: The time.
            attempt: The attempt.
            name: What the write is recorded by.
            send: When and where the attempt is to be sent.
            deadline_ms: When the attempt is over.
            request_class: The class of the write, whose window bounds its repeats.
        """
        write = self._writes.get(name)
        if write is not None and write.durable:
            if write.was_sent and not self._may_repeat(now_ms, write, request_class, send):
                return [BlockAttempt(attempt)]
            if write.was_sent or write.first_send.place == send.place:  # never ran, same place: same intent
                write.in_flight += 1
                return [SendAttempt(attempt)]
        if write is None or write.durable:  # the first send, or one that never ran and goes elsewhere now
            retained_ms = request_class.deduplication_window_ms + request_class.deadline_ms
            self._begin(name, send, now_ms + retained_ms)
        self._waiting[attempt] = WaitingAttempt(name, send, deadline_ms, request_class)
        return []

    def on_attempt_cancelled(self, attempt: AttemptId) -> bool:
        """Drop a waiting attempt; False where it does not wait here, and so was sent or is over."""
        waiting = self._waiting.pop(attempt, None)
        if waiting is None:
            return False
        self._drop_if_unwanted(waiting.name)
        return True

    def on_attempt_completed(self, name: str, *, may_have_run: bool) -> None:
        """Note that an attempt that was sent is over."""
        write = self._writes.get(name)
        if write is not None:
            write.in_flight -= 1
            write.may_have_run |= may_have_run

    def on_write_completed(self, name: str, *, served: bool) -> WriteState | None:
        """Return the state to record for a write that has its final answer.

        None where nothing is on record, or where the write is being settled as never sent.
        """
        if served:
            return WriteState.SERVED
        write = self._writes.get(name)
        if write is None:
            return None
        if write.was_sent:
            return WriteState.UNKNOWN
        self._drop_if_unwanted(name)
        return WriteState.NEVER

    def expire(self, now_ms: float) -> list[Effect]:
        """Drop the attempts that have waited past their deadlines."""
        effects: list[Effect] = []
        for attempt, waiting in list(self._waiting.items()):
            if now_ms >= waiting.deadline_ms:
                del self._waiting[attempt]
                self._drop_if_unwanted(waiting.name)
                effects.append(ExpireAttempt(attempt))
        return effects

    def release_waiting(self, now_ms: float) -> list[Effect]:
        """Decide about the waiting attempts whose intents are durable now."""
        effects: list[Effect] = []
        for attempt, waiting in list(self._waiting.items()):
            write = self._writes.get(waiting.name)
            if write is not None and write.durable:
                del self._waiting[attempt]
                effects.append(self._release(now_ms, attempt, waiting, write))
        return effects

    def give_up(self, intents: Iterable[Intent]) -> list[Effect]:
        """Expire all waiting attempts, and forget unsent writes, with those of the batch in flight.

        Args:
            intents: The intents of the batch in flight: recorded after all, they are settled as never sent.
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
            limit: The number of waiting states to take.
            completed: States that come with the journal entries of the same batch.
            intents: The intents of the same batch: what is sent anew is not settled as never sent.
        """
        states = take_states(self._settlements, limit, completed)
        sent_anew = {intent.name for intent in intents}
        return [
            Settlement(name, state)
            for name, state in states.items()
            if state is not WriteState.NEVER or not (name in self._writes or name in sent_anew)
        ]

    def restore_settlements(self, settlements: Iterable[Settlement]) -> None:
        """Take back the states of a batch that failed."""
        merge_settlements(self._settlements, settlements)

    def restore_intents(self, intents: Iterable[Intent]) -> None:
        """Take back the intents of a batch that did not take effect, before all others."""
        wanted = {intent.name: intent for intent in intents if intent.name in self._writes}
        self._unrecorded = wanted | self._unrecorded

    def settle_as_never_sent(self, intents: Iterable[Intent]) -> None:
        """Settle intents that may be on record and whose attempts are not sent."""
        for intent in intents:
            self._settlements.setdefault(intent.name, WriteState.NEVER)

    def on_recorded(
        self, intents: Iterable[Intent], accepted: set[str], existing: Mapping[str, RecordedWrite]
    ) -> None:
        """Note the outcome of the intents of a committed batch.

        Args:
            intents: The intents of the batch.
            accepted: Names of those that the record accepted.
            existing: What the record had already, by name, for those that it did not.
        """
        for intent in intents:
            write = self._writes.get(intent.name)
            if write is None:
                self._settlements[intent.name] = WriteState.NEVER
            elif write.first_send != intent.sent:
                continue  # begun anew meanwhile: its own intent is still to come
            elif intent.name in accepted:
                write.durable = True
            else:
                self._adopt_existing(write, intent, existing.get(intent.name))

    def drop_unwanted(self, intents: Iterable[Intent]) -> None:
        """Drop the writes of these intents that nobody waits for any more."""
        for intent in intents:
            self._drop_if_unwanted(intent.name)

    def evict(self, now_ms: float) -> None:
        """Evict writes past any window; the database retains them longer and checks each intent."""
        if now_ms - self._evicted_at_ms < EVICT_INTERVAL_MS:
            return
        self._evicted_at_ms = now_ms
        for name, write in list(self._writes.items()):
            if not write.in_flight and now_ms >= write.retain_until_ms and not self._is_awaited(name):
                del self._writes[name]

    # Helpers.

    def _begin(self, name: str, send: SendRecord, retain_until_ms: float) -> None:
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
            # Also where nothing has run yet: what is on record names another place than this attempt's.
            return BlockAttempt(attempt) if write.was_sent else ExpireAttempt(attempt)
        write.in_flight += 1
        return SendAttempt(attempt)

    def _adopt_existing(self, write: TrackedWrite, intent: Intent, existing: RecordedWrite | None) -> None:
        if existing is None or existing.state is WriteState.NEVER:  # it changed meanwhile: ask once more
            write.durable = False
            self._unrecorded[intent.name] = intent
            return
        write.durable = True
        write.first_send = existing.first_send
        write.may_have_run = True

    def _is_awaited(self, name: str) -> bool:
        return any(waiting.name == name for waiting in self._waiting.values())

    def _drop_if_unwanted(self, name: str) -> None:
        """Drop an intent that nobody waits for: not recorded, or settled as never sent."""
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
