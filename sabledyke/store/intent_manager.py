"""What is recorded, when, and what may be sent: every decision of the record of sends and the receipt
journal.

Told: attempts and their ends, finished writes, how batches fared, and that time passes; clock and seed are
passed in. Decides: what goes into the next transaction; which attempts go out, wait, are moot or blocked;
which served answers may be passed on. Never knows a database, a socket or the module. Each call returns the
effects that a driver carries out.

Bounds: ``_waiting`` and ``_asking`` hold attempts that are out in the core; ``_entries`` at most ``backlog``
before nothing is taken any more, and never more beyond that than there are open requests; ``_writes`` are
forgotten with their last attempt and ``until``; ``_drifts`` holds at most ``DRIFTS``.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, replace
from itertools import islice

from sabledyke.policy.retry import may_repeat
from sabledyke.policy.settings import RequestClass
from sabledyke.store import audit_journal
from sabledyke.store.database_errors import Kind, StoreFault
from sabledyke.store.health import Health, Limits, State
from sabledyke.store.types import (
    NEVER,
    SERVED,
    UNKNOWN,
    Batch,
    Drift,
    Entry,
    Found,
    Intent,
    Position,
    Sent,
)

DRIFTS = 64  # findings of drift that may wait for a batch
FORGET_EVERY = 1000.0  # ms between batches that also drop what is too old
TIDY = 1000.0  # ms between looks at what memory can forget
CONFLICTS = 3  # batches in a row that are simply written again where the database says so
_RANK = {"": 0, NEVER: 1, UNKNOWN: 2, SERVED: 3}  # the stronger word on a write stands

Attempt = tuple[int, int]  # a request and the number of an attempt


@dataclass(slots=True, frozen=True)
class Go:
    """The intent is durable: send the attempt."""

    attempt: Attempt


@dataclass(slots=True, frozen=True)
class Moot:
    """The attempt is not sent: its intent could not be made durable in time."""

    attempt: Attempt


@dataclass(slots=True, frozen=True)
class Blocked:
    """The attempt is not sent: the write may have run where or when its key does not reach."""

    attempt: Attempt


@dataclass(slots=True, frozen=True)
class Told:
    """What a box served may be passed on, as its entry is durable; or it may not, and the write failed."""

    ticket: int
    kept: bool


@dataclass(slots=True, frozen=True)
class Say:
    """A line for the on-call staff."""

    text: str


Effect = Go | Moot | Blocked | Told | Say


@dataclass(slots=True)
class _Write:
    """A keyed write in work, or one whose earlier send may have run."""

    first: Sent
    until: float  # memory keeps it so long; the database keeps it longer
    durable: bool = False
    ran: bool = False
    out: int = 0


@dataclass(slots=True)
class _Waiting:
    name: str
    sent: Sent
    deadline: float
    kind: RequestClass


@dataclass(slots=True)
class _Pending:
    entry: Entry
    name: str
    state: str
    ticket: int | None = None
    deadline: float = 0.0


class Keeper:
    """One instance's record. Open it with ``opened`` before anything else."""

    def __init__(self, instance: str, limits: Limits, seed: int, kept: float) -> None:
        self.instance, self.limits, self._kept = instance, limits, kept
        self.health = Health(limits, seed)
        self.position = Position(0)
        self.flight: Batch | None = None
        self.unsure = False  # the position must be read anew before the next batch
        self._lost: Batch | None = None  # the batch of which nobody knows whether it took effect
        self._writes: dict[str, _Write] = {}
        self._asking: dict[str, Intent] = {}
        self._waiting: dict[Attempt, _Waiting] = {}
        self._entries: deque[_Pending] = deque()
        self._in_flight: list[_Pending] = []
        self._settles: dict[str, str] = {}
        self._drifts: list[Drift] = []
        self._forgot = self._tidied = 0.0
        self._conflicts = 0  # batches in a row that the database gave up for another transaction
        self.corrections = 0  # entries that say an earlier one's answer was not passed on

    def opened(self, position: Position, recent: Iterable[tuple[str, Found]], until: float) -> None:
        """The store is open at this position; ``recent`` is what earlier sends can still matter."""
        self.position = position
        for name, found in recent:
            self._writes[name] = _Write(found.sent, until, durable=True, ran=True)

    # What drivers ask.

    def takes(self) -> bool:
        """Whether a keyed write may be taken in now."""
        return self.health.fit and len(self._entries) + len(self._asking) < self.limits.backlog

    def earlier(self, name: str) -> Sent | None:
        """The send of this write that may have run already, as far as memory has it."""
        write = self._writes.get(name)
        return write.first if write is not None and (write.ran or write.out) else None

    @property
    def busy(self) -> bool:
        """Something waits for the database."""
        waits = self._asking or self._entries or self._settles or self._waiting or self._drifts
        return bool(waits or self.flight)

    @property
    def restless(self) -> bool:
        """It wants to be called again soon: something waits, or a stall is to be ended."""
        return self.health.state is not State.FENCED and (self.busy or not self.health.fit)

    @property
    def unwritten(self) -> int:
        """Entries that are not in the journal yet."""
        return len(self._entries) + len(self._in_flight)

    @property
    def size(self) -> int:
        """Entries in all tables, for what watches their bounds."""
        return (
            len(self._writes)
            + len(self._asking)
            + len(self._waiting)
            + len(self._entries)
            + len(self._settles)
            + len(self._drifts)
        )

    # Attempts.

    def attempt(
        self, now: float, attempt: Attempt, name: str, sent: Sent, deadline: float, kind: RequestClass
    ) -> list[Effect]:
        """The module sends a keyed write; ``deadline`` is when its attempt is over."""
        if not self.takes():
            return [Moot(attempt)]
        write = self._writes.get(name)
        if write is not None and write.durable:
            if write.ran or write.out:
                if not may_repeat(kind, write.first.at, write.first.place, now, sent.place):
                    return [Blocked(attempt)]
                write.out += 1
                return [Go(attempt)]
            if write.first.place == sent.place:  # it never ran: the same intent serves
                write.out += 1
                return [Go(attempt)]
        if write is None or write.durable:  # the first, or one that never ran and goes elsewhere now
            self._writes[name] = _Write(sent, now + kind.deduplication_window_ms + kind.deadline_ms)
            self._asking[name] = Intent(name, sent)
            if self._settles.get(name) == NEVER:
                del self._settles[name]
        self._waiting[attempt] = _Waiting(name, sent, deadline, kind)
        return []

    def withdrawn(self, attempt: Attempt) -> bool:
        """The module called an attempt off; whether it was still waiting here, and so never went out."""
        waiting = self._waiting.pop(attempt, None)
        if waiting is None:
            return False
        self._drop_unwanted(waiting.name)
        return True

    def ended(self, name: str, *, may_have_run: bool) -> None:
        """An attempt that went out is over."""
        write = self._writes.get(name)
        if write is not None:
            write.out -= 1
            write.ran |= may_have_run

    def finished(
        self, now: float, name: str, entry: Entry, ticket: int | None, deadline: float = 0.0
    ) -> list[Effect]:
        """A keyed write has its final answer; one that was served waits, under its ticket, to be told it."""
        write = self._writes.get(name)
        if entry.outcome == "served":
            state = SERVED
        elif write is None:
            state = ""  # nothing is on record, or it is being settled as never sent
        elif write.ran or write.out:
            state = UNKNOWN
        else:
            state = NEVER
            self._drop_unwanted(name)
        if ticket is not None and not self.health.fit:
            self._entries.append(_Pending(replace(entry, outcome="unconfirmed"), name, state))
            return [Told(ticket, False)]
        self._entries.append(_Pending(entry, name, state, ticket, deadline))
        return []

    def drifted(self, drift: Drift) -> None:
        """A box showed something else than the journal has; beyond the bound it is only logged."""
        if len(self._drifts) < DRIFTS:
            self._drifts.append(drift)

    # Batches.

    def next_batch(self, now: float) -> Batch | None:
        """What the database is to do now, if anything; ``unsure`` must be cleared first."""
        if self.flight is not None or self.unsure or not self.health.may_try(now):
            return None
        forget = now - self._forgot >= FORGET_EVERY
        trial = self.health.state is State.STALLED
        if not (self._asking or self._entries or self._settles or self._drifts or trial):
            return None
        most = self.limits.batch
        pending = [self._entries.popleft() for _ in range(min(most, len(self._entries)))]
        after, hashes = audit_journal.extend(self.position, self.instance, [p.entry for p in pending])
        batch = Batch(self.position, after, entries=[p.entry for p in pending], hashes=hashes)
        for name in list(self._asking)[:most]:
            batch.intents.append(self._asking.pop(name))
        names = {i.name for i in batch.intents}
        settled = dict(islice(self._settles.items(), most))
        for name in settled:
            del self._settles[name]
        for p in pending:
            if _RANK[p.state] > _RANK[settled.get(p.name, "")]:
                settled[p.name] = p.state
        batch.settled = [  # what is sent anew is not settled as never sent
            (n, s) for n, s in settled.items() if s != NEVER or not (n in self._writes or n in names)
        ]
        batch.drifts, self._drifts = self._drifts, []
        if forget:
            self._forgot, batch.forget_before = now, now - self._kept
        self.flight, self._in_flight = batch, pending
        self.health.began(now)
        return batch

    def committed(self, now: float, taken: set[str], found: dict[str, Found]) -> list[Effect]:
        """The batch took effect; ``found`` are writes that the record had already, for the intents not
        taken."""
        batch, self.flight = self.flight, None
        assert batch is not None
        self.position, self._conflicts = batch.after, 0
        out: list[Effect] = []
        if stalled := self.health.succeeded(now):
            out.append(Say(f"it answers again after {stalled:.0f} ms; keyed writes are taken"))
        for pending in self._in_flight:
            if pending.ticket is not None:
                out.append(Told(pending.ticket, True))
        self._in_flight = []
        for intent in batch.intents:
            write = self._writes.get(intent.name)
            if write is None:
                self._settles[intent.name] = NEVER
                continue
            if write.first != intent.sent:  # begun anew meanwhile: its own intent is still to come
                continue
            write.durable = True
            if intent.name not in taken:
                other = found.get(intent.name)
                if other is None or other.state == NEVER:  # it changed meanwhile: ask once more
                    write.durable, self._asking[intent.name] = False, intent
                else:
                    write.first, write.ran = other.sent, True
        for attempt, waiting in list(self._waiting.items()):
            write = self._writes.get(waiting.name)
            if write is None or not write.durable:
                continue
            del self._waiting[attempt]
            first = write.first
            if now >= waiting.deadline:
                out.append(Moot(attempt))
            elif not may_repeat(waiting.kind, first.at, first.place, now, waiting.sent.place):
                # Also where nothing has run yet: what is on record says another place than this attempt's.
                out.append(Blocked(attempt) if write.ran or write.out else Moot(attempt))
            else:
                write.out += 1
                out.append(Go(attempt))
        for intent in batch.intents:
            self._drop_unwanted(intent.name)
        self._tidy(now)
        return out

    def failed(self, now: float, fault: StoreFault) -> list[Effect]:
        """The batch did not take effect, or nobody knows whether it did."""
        batch, self.flight = self.flight, None
        assert batch is not None
        for name, state in batch.settled:
            if _RANK[state] > _RANK[self._settles.get(name, "")]:
                self._settles[name] = state
        if fault.kind is Kind.CONFLICT and not fault.uncertain and self._conflicts < CONFLICTS:
            # The database asks for the same once more: nothing of it has happened.
            self._conflicts += 1
            self._asking = {i.name: i for i in batch.intents if i.name in self._writes} | self._asking
            self._back_to_the_front(batch)
            self.health.passed_over()
            return []
        fenced = fault.kind is Kind.FENCED
        self.unsure = True  # what the database holds is read before it is written again
        out: list[Effect] = []
        if self.health.failed(now, fenced=fenced):
            end = "for good: restart it" if fenced else "until it answers again"
            out.append(Say(f"{fault}; keyed writes are refused {end}"))
        if fault.uncertain:
            self._lost = batch
            for intent in batch.intents:  # it may be on record, and is not sent
                self._settles.setdefault(intent.name, NEVER)
            out += self._give_up(batch)  # while these are still in flight: they may be in the journal
            self._back_to_the_front(batch)
        else:
            self._back_to_the_front(batch)
            out += self._give_up(batch)
        return out

    def _back_to_the_front(self, batch: Batch) -> None:
        self._entries.extendleft(reversed(self._in_flight))
        self._in_flight = []
        self._drifts = (batch.drifts + self._drifts)[:DRIFTS]

    def synced(self, now: float, position: Position) -> list[Effect]:
        """The position as the database has it, read after whatever was under way had ended."""
        lost, self._lost, self.unsure = self._lost, None, False
        if lost is not None and position == lost.after:
            self.position = position
            for _ in lost.entries:  # they are in the journal already
                self._entries.popleft()
            del self._drifts[: len(lost.drifts)]
            return []
        if position != self.position:
            fault = StoreFault(Kind.FENCED, f"life {position.life} follows life {self.position.life}")
            if self.health.failed(now, fenced=True):
                return [Say(f"{fault}; keyed writes are refused for good: restart it"), *self._give_up(None)]
        return []

    def tick(self, now: float) -> list[Effect]:
        """Time passes: attempts and answers past their time, and batches that do not come back."""
        out: list[Effect] = []
        if self.health.tick(now):
            out.append(Say(f"it does not answer for {self.limits.stall:.0f} ms; keyed writes are refused"))
            out += self._give_up(self.flight)
        for attempt, waiting in list(self._waiting.items()):
            if now >= waiting.deadline:
                del self._waiting[attempt]
                self._drop_unwanted(waiting.name)
                out.append(Moot(attempt))
        for pending in self._all_pending():
            if pending.ticket is not None and now >= pending.deadline:
                out.append(self._unconfirmed(pending))
        return out

    def unreachable(self, now: float, fault: StoreFault) -> list[Effect]:
        """The position could not be read."""
        fenced = fault.kind is Kind.FENCED
        if not self.health.failed(now, fenced=fenced):
            return []
        end = "for good: restart it" if fenced else "until it answers again"
        return [Say(f"{fault}; keyed writes are refused {end}"), *self._give_up(None)]

    # How it keeps its tables.

    def _all_pending(self) -> Iterable[_Pending]:
        yield from self._in_flight
        yield from self._entries

    def _unconfirmed(self, pending: _Pending) -> Told:
        """A served answer is not passed on; the journal says so, if need be by a further entry.

        Guards against an answer that waits past its deadline, or longer than a stall, for its entry.
        """
        assert pending.ticket is not None
        ticket, pending.ticket = pending.ticket, None
        corrected = replace(pending.entry, outcome="unconfirmed")
        if any(p is pending for p in self._in_flight):  # it may be in the journal as served by now
            self._entries.append(_Pending(corrected, pending.name, pending.state))
            self.corrections += 1
        else:
            pending.entry = corrected
        return Told(ticket, False)

    def _give_up(self, batch: Batch | None) -> list[Effect]:
        """All that waits for the database is answered now: attempts are moot, served answers not passed
        on."""
        out: list[Effect] = [Moot(attempt) for attempt in self._waiting]
        names = {w.name for w in self._waiting.values()} | set(self._asking)
        names |= {i.name for i in batch.intents} if batch is not None else set()
        self._waiting.clear()
        self._asking.clear()
        for name in names:
            write = self._writes.get(name)
            if write is not None and not write.out and not write.ran:
                del self._writes[name]  # an intent in flight finds nobody, and is settled as never sent
        return out + [self._unconfirmed(p) for p in list(self._all_pending()) if p.ticket is not None]

    def _wanted(self, name: str) -> bool:
        return any(w.name == name for w in self._waiting.values())

    def _drop_unwanted(self, name: str) -> None:
        """An intent that nobody waits for any more: not made, or recorded as never sent."""
        write = self._writes.get(name)
        if write is None or write.out or write.ran or self._wanted(name):
            return
        del self._writes[name]
        if self._asking.pop(name, None) is None and write.durable:
            self._settles[name] = NEVER

    def _tidy(self, now: float) -> None:
        """Forget writes past any window: the database remembers them longer, and is asked by each intent."""
        if now - self._tidied >= TIDY:
            self._tidied = now
            for name, write in list(self._writes.items()):
                if not write.out and now >= write.until and not self._wanted(name):
                    del self._writes[name]
