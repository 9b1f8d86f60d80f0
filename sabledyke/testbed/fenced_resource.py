"""A resource that a leader task acts on, and the check of its record of acts.

Every act comes with its holder and token and with what the holder knew of its lease when it sent it. It takes
a while, and is recorded with start and end on the machine's monotonic clock, which the holder's times are on
too. Without fencing the resource accepts every act, which shows that the check finds what it is for.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from math import inf

from sabledyke.lease.fencing import Fence
from sabledyke.testbed.http_service import Service

TASK_HEADER = "lease-duty"
HOLDER_HEADER = "lease-holder"
TOKEN_HEADER = "lease-token"
SENT_HEADER = "lease-sent-ms"
CONFIRMED_HEADER = "lease-confirmed-ms"
REMAINING_HEADER = "lease-remaining-ms"


@dataclass(slots=True, frozen=True)
class Act:
    """One act that was accepted; times are on the machine's monotonic clock.

    Attributes:
        task: The leader task.
        holder: Who held its lease.
        token: The lease's fencing token.
        confirmed_ms: When the holder requested the latest confirmation of its lease.
        sent_ms: When it sent the act.
        held_until_ms: Until when it could act, as far as it knew then.
        start_ms: When the act began.
        end_ms: When it was done.
    """

    task: str
    holder: str
    token: int
    confirmed_ms: float
    sent_ms: float
    held_until_ms: float
    start_ms: float
    end_ms: float


class FencedResource(Service):
    """Accepts ``POST`` with the headers of ``lease.leader_tasks``; 409 for a token older than one it knows.

    Attributes:
        fence: What it knows of tokens.
        acts: The acts that were accepted, in the order in which they ended.
        act_duration_s: How long an act takes, in seconds.
        begun_count: The acts that were accepted, those under way too.
        last_holder: The holder whose act was accepted last, "" for none.
    """

    def __init__(self, act_duration_ms: float, *, fenced: bool = True) -> None:
        """Create a resource.

        Args:
            act_duration_ms: How long an act takes.
            fenced: Whether acts under an older token are rejected.
        """
        super().__init__()
        self.fence = Fence()
        self.acts: list[Act] = []
        self.begun_count = 0
        self.last_holder = ""
        self.act_duration_s = act_duration_ms / 1000
        self._fenced = fenced

    async def answer(self, _path: str, headers: dict[str, str], _body: bytes) -> tuple[int, bytes]:
        """Carry out an act; see ``Service``."""
        task = headers[TASK_HEADER]
        holder = headers[HOLDER_HEADER]
        token = int(headers[TOKEN_HEADER])
        sent_ms = float(headers[SENT_HEADER])
        confirmed_ms = sent_ms - float(headers[CONFIRMED_HEADER])
        held_until_ms = sent_ms + float(headers[REMAINING_HEADER])
        start_ms = _now_ms()
        if not self.fence.accepts(task, token) and self._fenced:
            return HTTPStatus.CONFLICT, b""
        self.last_holder = holder
        self.begun_count += 1
        await asyncio.sleep(self.act_duration_s)
        self.acts.append(Act(task, holder, token, confirmed_ms, sent_ms, held_until_ms, start_ms, _now_ms()))
        return HTTPStatus.OK, b""


@dataclass(slots=True, frozen=True)
class ActEvaluation:
    """What a record of acts shows.

    Attributes:
        act_count: Acts that were accepted.
        holder_count: Holders that acted.
        overlap_count: Pairs of acts under two tokens at once.
        lease_overlap_count: Acts that were sent while an earlier holder could still act, as far as it knew.
        out_at_release_count: Acts that had not ended when the lease that they were sent under was released.
        stale_count: Acts accepted under an older token than one before them.
        longest_gap_ms: The longest time between the end of an act and the start of the next.
    """

    act_count: int
    holder_count: int
    overlap_count: int
    lease_overlap_count: int
    out_at_release_count: int
    stale_count: int
    longest_gap_ms: float


def evaluate(acts: Sequence[Act], released_at_ms: Mapping[int, float] | None = None) -> ActEvaluation:
    """Check the acts of one leader task. No acts give an evaluation of none, which is not a good one.

    Args:
        acts: The acts.
        released_at_ms: When the lease of a token was released, on the clock of the acts.
    """
    released_at_ms = released_at_ms or {}
    ordered = sorted(acts, key=lambda act: act.start_ms)
    return ActEvaluation(
        act_count=len(ordered),
        holder_count=len({act.holder for act in ordered}),
        overlap_count=sum(_overlaps(act, ordered[i + 1 :]) for i, act in enumerate(ordered)),
        lease_overlap_count=_lease_overlap_count(acts, released_at_ms),
        out_at_release_count=sum(act.end_ms > released_at_ms.get(act.token, inf) for act in acts),
        stale_count=_stale_count(ordered),
        longest_gap_ms=_longest_gap_ms(ordered),
    )


def _overlaps(act: Act, later_acts: Sequence[Act]) -> int:
    """Return how many acts under other tokens begin before this one ends."""
    overlaps = 0
    for later in later_acts:
        if later.start_ms >= act.end_ms:
            break
        overlaps += later.token != act.token
    return overlaps


def _lease_overlap_count(acts: Sequence[Act], released_at_ms: Mapping[int, float]) -> int:
    """Return how many acts were sent before an earlier token's holder had to stop, whatever took how long."""
    overlaps = 0
    for act in acts:
        earlier = (other for other in acts if other.token < act.token)
        ends_ms = (min(other.held_until_ms, released_at_ms.get(other.token, inf)) for other in earlier)
        overlaps += any(act.sent_ms < end_ms for end_ms in ends_ms)
    return overlaps


def _stale_count(ordered: Sequence[Act]) -> int:
    highest_token = 0
    stale = 0
    for act in ordered:
        stale += act.token < highest_token
        highest_token = max(highest_token, act.token)
    return stale


def _longest_gap_ms(ordered: Sequence[Act]) -> float:
    longest_ms = 0.0
    completed_ms = ordered[0].end_ms if ordered else 0.0
    for act in ordered:
        longest_ms = max(longest_ms, act.start_ms - completed_ms)
        completed_ms = max(completed_ms, act.end_ms)
    return longest_ms


def _now_ms() -> float:
    return time.monotonic() * 1000
