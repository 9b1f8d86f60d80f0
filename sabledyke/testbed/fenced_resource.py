"""A resource that a duty acts on, and what its record of acts says: did two act at once, or one out of turn?

Every act comes with its holder and token, takes a while, and is recorded with start and end on the resource's
own clock. With ``fenced`` off it takes what comes: that is how the checker is shown to find what it looks
for.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass

from sabledyke.lease.fencing import Fence
from sabledyke.testbed.http_service import Service


@dataclass(slots=True, frozen=True)
class Act:
    """One act that was taken; times in ms on the resource's clock."""

    duty: str
    holder: str
    token: int
    start: float
    end: float


class Resource(Service):
    """Takes ``POST`` with the headers of ``lease.duties``; 409 for an older token than one it has seen."""

    def __init__(self, act_ms: float, *, fenced: bool = True) -> None:
        super().__init__()
        self._takes, self._fenced, self.fence = act_ms / 1000, fenced, Fence()
        self.acts: list[Act] = []
        self.last = ""  # who acted last

    async def answer(self, path: str, headers: dict[str, str], body: bytes) -> tuple[int, bytes]:
        """See ``Service``."""
        duty, holder = headers["lease-duty"], headers["lease-holder"]
        token, start = int(headers["lease-token"]), time.monotonic() * 1000
        if not self.fence.accepts(duty, token) and self._fenced:
            return 409, b""
        self.last = holder
        await asyncio.sleep(self._takes)
        self.acts.append(Act(duty, holder, token, start, time.monotonic() * 1000))
        return 200, b""


@dataclass(slots=True, frozen=True)
class Verdict:
    """What a record of acts shows."""

    acts: int
    holders: int
    overlaps: int  # pairs of acts of one duty by two holders at once
    backwards: int  # acts taken under an older token than one before them
    gap: float  # ms, the longest time between the end of an act and the start of the next


def judge(acts: Sequence[Act]) -> Verdict:
    """Look through the acts of one duty; () gives a verdict of no acts, which is no good one."""
    ordered = sorted(acts, key=lambda act: act.start)
    overlaps = backwards = highest = 0
    gap, ended = 0.0, ordered[0].end if ordered else 0.0
    for i, act in enumerate(ordered):
        backwards += act.token < highest
        highest = max(highest, act.token)
        gap, ended = max(gap, act.start - ended), max(ended, act.end)
        for other in ordered[i + 1 :]:
            if other.start >= act.end:
                break
            overlaps += other.holder != act.holder
    return Verdict(len(ordered), len({act.holder for act in acts}), overlaps, backwards, gap)
