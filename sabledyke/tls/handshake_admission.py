"""Which attempt may begin a handshake with a box, and when: so that no crowd of handshakes pushes a cold box
over.

Told: attempts that want a connection, with their deadlines; handshakes that began and ended; when a box
started. Decides: who goes now, who waits, and who is told at once that there is no room in time. Schedulers
cannot talk, so each keeps to its own even share, by ``siblings``, of what a box bears by its age. Clock and
seed are passed in; times are milliseconds.

The account of a box is a bucket of handshake work, in milliseconds of the box's CPU: it fills at this
scheduler's share of the part of the box that may go to handshakes, and holds what ``BURST`` of that rate
come to. A full handshake costs more than a resumed one.

Bounds: ``_boxes`` lose an entry with ``forget`` or, where full and at rest, with ``tidy``; those that wait
are attempts that are out, each with its deadline.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field
from math import inf


@dataclass(slots=True, frozen=True)
class HandshakeBudget:
    """What a box bears. The costs are ``benchmarks/tls.py``'s for P-256, in ms of a box's core."""

    scheduler_count: int  # schedulers that may come at once
    initial_capacity_share: float = 0.21  # of its capacity that a box has at its start
    warm_up_ms: float = 17000.0  # ms until it has all of it
    handshake_share: float = 0.1  # of the capacity that handshakes may take
    cores: float = 2.0
    full_handshake_ms: float = 0.5  # ms of a core that a full handshake takes of the box
    resumed_handshake_ms: float = 0.47
    burst_ms: float = 1000.0  # ms for which a bucket fills
    min_backoff_ms: float = 100.0  # after a failed handshake, doubled up to ...
    max_backoff_ms: float = 5000.0


@dataclass(slots=True)
class _NodeAccount:
    """One box as this scheduler has met it."""

    born: float
    level: float  # ms of the box's CPU that may be spent now
    at: float
    failures: int = 0
    trial: float = -inf  # no handshake before that, and then one at a time
    trying: int = 0
    waiting: list[tuple[float, int, bool]] = field(default_factory=list)  # deadline, attempt, resumes


class HandshakeAdmission:
    """The accounts of all boxes."""

    def __init__(self, terms: HandshakeBudget, seed: int) -> None:
        self.budget, self._random = terms, random.Random(seed)
        self._boxes: dict[bytes, _NodeAccount] = {}
        # Schedulers that found a box back at one moment would all begin with a full bucket at that moment.
        self._phase = 0.5 + self._random.random() / 2

    def handshake_rate(self, now: float, born: float) -> float:
        """Milliseconds of handshake work a millisecond that this scheduler may ask of a box of that age."""
        terms = self.budget
        age = max(0.0, now - born) / terms.warm_up_ms
        warmth = min(1.0, terms.initial_capacity_share + (1 - terms.initial_capacity_share) * age)
        return warmth * terms.cores * terms.handshake_share / terms.scheduler_count

    def handshake_cost_ms(self, resumes: bool) -> float:
        """What a handshake takes of the box."""
        return self.budget.resumed_handshake_ms if resumes else self.budget.full_handshake_ms

    def request(
        self, now: float, node: bytes, born: float, attempt: int, deadline: float, resumes: bool
    ) -> bool | None:
        """True: begin now. False: it waits, and ``due`` will name it. None: there is no room in time."""
        box = self._box(now, node, born)
        if self._free(now, box, resumes) and not box.waiting:
            self._begin(box, resumes)
            return True
        ahead = sum(self.handshake_cost_ms(r) for d, _, r in box.waiting if d <= deadline)
        rate = self.handshake_rate(now, box.born)
        needed = max(0.0, ahead + self.handshake_cost_ms(resumes) - box.level) / rate if rate > 0 else inf
        if box.failures:  # tried singly: only as many wait as trials may succeed in time
            needed = max(needed, box.trial - now) if not box.trying else inf
        if now + needed > deadline:
            return None
        heapq.heappush(box.waiting, (deadline, attempt, resumes))
        return False

    def pop_due(self, now: float, node: bytes) -> tuple[list[int], list[int]]:
        """Of those that wait for a box: who may begin now, by earliest deadline, and who is out of time."""
        box = self._boxes.get(node)
        go: list[int] = []
        late: list[int] = []
        while box is not None and box.waiting:
            deadline, attempt, resumes = box.waiting[0]
            if deadline <= now:
                late.append(attempt)
            elif self._free(now, box, resumes):
                self._begin(box, resumes)
                go.append(attempt)
            else:
                break
            heapq.heappop(box.waiting)
        return go, late

    def next_due_ms(self, now: float, node: bytes) -> float:
        """When ``due`` may have something new, inf for never."""
        box = self._boxes.get(node)
        if box is None or not box.waiting:
            return inf
        deadline, _, resumes = box.waiting[0]
        if box.failures and box.trying:
            return deadline
        self._fill(now, box)
        rate = self.handshake_rate(now, box.born)
        room = now + max(0.0, self.handshake_cost_ms(resumes) - box.level) / rate if rate > 0 else inf
        return min(deadline, max(room, box.trial if box.failures else room))

    def withdraw(self, node: bytes, attempt: int) -> None:
        """An attempt that waits was called off."""
        box = self._boxes.get(node)
        if box is not None:
            box.waiting = [w for w in box.waiting if w[1] != attempt]
            heapq.heapify(box.waiting)

    def on_handshake_completed(self, now: float, node: bytes, *, good: bool) -> None:
        """A handshake that had begun is over.

        A box whose handshakes fail is tried singly, backing off: a crowd would fail alike, and cost it as
        much.
        """
        box = self._boxes.get(node)
        if box is None:
            return
        box.trying = max(0, box.trying - 1)
        if good:
            box.failures, box.trial = 0, -inf
            return
        box.failures = min(box.failures + 1, 30)
        wait = min(self.budget.min_backoff_ms * 2 ** (box.failures - 1), self.budget.max_backoff_ms)
        box.trial = now + wait * (0.5 + self._random.random() / 2)

    def forget(self, node: bytes) -> list[int]:
        """The box is gone from the list; who waited for it."""
        box = self._boxes.pop(node, None)
        return [attempt for _, attempt, _ in box.waiting] if box is not None else []

    def evict_idle(self, now: float) -> None:
        """Forget boxes of which nothing is left to know: at rest, with a full bucket and no failure."""
        for node, box in list(self._boxes.items()):
            self._fill(now, box)
            full = box.level >= self.handshake_rate(now, box.born) * self.budget.burst_ms
            rests = not (box.waiting or box.trying or box.failures)
            if full and rests and now - box.born > self.budget.warm_up_ms:
                del self._boxes[node]

    @property
    def entry_count(self) -> int:
        """Entries in all tables."""
        return len(self._boxes) + sum(len(b.waiting) for b in self._boxes.values())

    def _box(self, now: float, node: bytes, born: float) -> _NodeAccount:
        box = self._boxes.get(node)
        if box is None or box.born != born:
            level = self.handshake_rate(now, born) * self.budget.burst_ms * self._phase
            waiting = box.waiting if box is not None else []
            box = self._boxes[node] = _NodeAccount(born, level, now, waiting=waiting)
        return box

    def _fill(self, now: float, box: _NodeAccount) -> None:
        rate = self.handshake_rate(now, box.born)
        box.level = min(
            box.level + rate * (now - box.at), max(rate * self.budget.burst_ms, self.budget.full_handshake_ms)
        )
        box.at = now

    def _free(self, now: float, box: _NodeAccount, resumes: bool) -> bool:
        self._fill(now, box)
        if box.failures and (box.trying or now < box.trial):
            return False
        return box.level >= self.handshake_cost_ms(resumes)

    def _begin(self, box: _NodeAccount, resumes: bool) -> None:
        box.level -= self.handshake_cost_ms(resumes)
        box.trying += 1
