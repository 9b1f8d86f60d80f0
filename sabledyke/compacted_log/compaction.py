"""What may be cleaned from a topic, a page at a time. Pure: told the page, the places of its keys, and the
time.

A message is superseded when its key's place is a later one. The newest ``lag`` messages are never touched. A
pass goes once through what is below its limit, in order; where it ends, a mark with the time is left. A
tombstone may go once a mark above it is ``tomb_ms`` old on the cleaner's clock: by then the pass that left
the mark had dropped all that it supersedes, so that no key comes back from the dead. Times of a mark that
another cleaner left are begun anew, as no two clocks are compared. Every step checks the cleaner's cell, in
which its token stands: a cleaner that stood still past its lease changes nothing any more.

Memory: one page and the places of its keys, however many keys there are.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

import orjson

from sabledyke.compacted_log.append import Commit
from sabledyke.compacted_log.records import (
    OPERATIONS,
    Cell,
    Head,
    Message,
    cleaner_key,
    head_key,
    head_of,
    message_key,
    pack,
    place_key,
    place_of,
    version_of,
)
from sabledyke.errors import StaleWriterError

MARKS = 16  # passes remembered for their tombstones; the two oldest are joined
STEP = (OPERATIONS - 4) // 2  # messages of one step: each may take two drops


@dataclass(slots=True, frozen=True)
class Policy:
    """``lag`` messages are never touched; tombstones stay for ``tomb_ms``; cleaned from a ``dirty`` share
    on.
    """

    lag: int = 1000
    tomb_ms: float = 3_600_000.0
    dirty: float = 0.5
    bytes_s: float = 4e6  # at most so many bytes are looked at in a second


@dataclass(slots=True, frozen=True)
class Mark:
    """A pass ended at ``upto`` at ``since``, by the clock of the cleaner with that token."""

    upto: int
    since: float
    token: int


@dataclass(slots=True, frozen=True)
class Progress:
    """The cleaner's cell: its token, where it is, the limit of this pass (0 between passes), its marks."""

    token: int = 0
    at: int = 1
    limit: int = 0
    marks: tuple[Mark, ...] = ()


def progress_of(cell: Cell | None) -> Progress:
    """As it was packed."""
    if cell is None:
        return Progress()
    token, at, limit, marks = orjson.loads(cell.data)
    return Progress(token, at, limit, tuple(Mark(*m) for m in marks))


def taken_over(progress: Progress, token: int, now: float) -> Progress:
    """The same under this cleaner's token; StaleWriter where a later one has been at work."""
    if progress.token > token:
        raise StaleWriterError(f"cleaning under token {token}, after {progress.token}")
    marks = tuple(m if m.token == token else Mark(m.upto, now, token) for m in progress.marks)
    return replace(progress, token=token, marks=marks)


def ripe(progress: Progress, policy: Policy, now: float) -> int:
    """Up to which offset tombstones may go; 0 for none."""
    return max((m.upto for m in progress.marks if now - m.since >= policy.tomb_ms), default=0)


def begin(progress: Progress, head: Head, policy: Policy, now: float) -> Progress | None:
    """A pass under way, or a new one where it is worth it; None where there is nothing to do."""
    if progress.limit:
        return progress
    limit = head.next - policy.lag
    new = not progress.marks or progress.marks[-1].upto < limit - 1  # else all that is dirty is too new
    cleans = new and head.dirty > 0 and head.dirty >= policy.dirty * head.size
    buries = head.tombs > 0 and (ripe(progress, policy, now) > 0 or not progress.marks)
    if limit <= 1 or not (cleans or buries):
        return None
    return replace(progress, at=1, limit=limit)


def step(
    topic: str,
    cells: Mapping[str, Cell],
    progress: Progress,
    page: Sequence[Message],
    whole: bool,
    policy: Policy,
    now: float,
) -> tuple[Progress, Commit]:
    """Clean one page; ``whole`` where nothing follows it below the limit.

    ``cells`` are the topic's head, the cleaner's cell, and the places of the page's keys as they stand now.
    """
    head, buried = head_of(cells.get(head_key(topic))), ripe(progress, policy, now)
    checks = {k: version_of(cells, k) for k in (head_key(topic), cleaner_key(topic))}
    drops: list[str] = []
    for message in page:
        if message.offset >= progress.limit:
            break
        place = place_key(topic, message.key)
        latest = place_of(cells.get(place))
        if latest.offset > message.offset or not latest.offset:
            drops.append(message_key(topic, message.offset))
            head = replace(head, size=head.size - message.size, dirty=head.dirty - message.size)
        elif message.value is None and message.offset <= buried:
            drops += [message_key(topic, message.offset), place]
            checks[place] = version_of(cells, place)
            head = replace(
                head,
                size=head.size - message.size,
                tombs=head.tombs - 1,
                floor=max(head.floor, message.offset),
            )
    if whole:
        marks = (
            *(m for m in progress.marks if m.upto > buried),
            Mark(progress.limit - 1, now, progress.token),
        )
        if len(marks) > MARKS:  # the later of two times counts for both
            marks = (Mark(marks[0].upto, marks[1].since, progress.token), *marks[2:])
        progress = replace(progress, at=1, limit=0, marks=marks)
    else:
        progress = replace(progress, at=page[-1].offset + 1)
    puts = {cleaner_key(topic): _pack(progress)}
    if drops:
        puts[head_key(topic)] = pack(head.next, head.floor, head.size, head.dirty, head.tombs)
    else:
        del checks[head_key(topic)]
    return progress, Commit((), checks, puts, tuple(drops))


def _pack(progress: Progress) -> bytes:
    marks = [(m.upto, m.since, m.token) for m in progress.marks]
    return pack(progress.token, progress.at, progress.limit, marks)
