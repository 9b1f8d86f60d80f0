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
    MAX_COMMIT_OPERATIONS,
    Cell,
    Message,
    TopicHead,
    cell_version,
    compaction_key,
    decode_head,
    decode_position,
    encode_fields,
    head_key,
    message_key,
    position_key,
)
from sabledyke.errors import StaleWriter

MAX_MARKS = 16  # passes remembered for their tombstones; the two oldest are joined
PAGE_MESSAGES = (MAX_COMMIT_OPERATIONS - 4) // 2  # messages of one step: each may take two drops


@dataclass(slots=True, frozen=True)
class CompactionPolicy:
    """``lag`` messages are never touched; tombstones stay for ``tomb_ms``; cleaned from a ``dirty`` share
    on.
    """

    min_lag_messages: int = 1000
    tombstone_retention_ms: float = 3_600_000.0
    min_dirty_ratio: float = 0.5
    max_bytes_per_s: float = 4e6  # at most so many bytes are looked at in a second


@dataclass(slots=True, frozen=True)
class PassMark:
    """A pass ended at ``upto`` at ``since``, by the clock of the cleaner with that token."""

    upto: int
    since: float
    token: int


@dataclass(slots=True, frozen=True)
class CompactionProgress:
    """The cleaner's cell: its token, where it is, the limit of this pass (0 between passes), its marks."""

    token: int = 0
    at: int = 1
    limit: int = 0
    marks: tuple[PassMark, ...] = ()


def decode_progress(cell: Cell | None) -> CompactionProgress:
    """As it was packed."""
    if cell is None:
        return CompactionProgress()
    token, at, limit, marks = orjson.loads(cell.data)
    return CompactionProgress(token, at, limit, tuple(PassMark(*m) for m in marks))


def take_over(progress: CompactionProgress, token: int, now: float) -> CompactionProgress:
    """The same under this cleaner's token; StaleWriter where a later one has been at work."""
    if progress.token > token:
        raise StaleWriter(f"cleaning under token {token}, after {progress.token}")
    marks = tuple(m if m.token == token else PassMark(m.upto, now, token) for m in progress.marks)
    return replace(progress, token=token, marks=marks)


def removable_tombstones_up_to(progress: CompactionProgress, policy: CompactionPolicy, now: float) -> int:
    """Up to which offset tombstones may go; 0 for none."""
    return max((m.upto for m in progress.marks if now - m.since >= policy.tombstone_retention_ms), default=0)


def start_pass(
    progress: CompactionProgress, head: TopicHead, policy: CompactionPolicy, now: float
) -> CompactionProgress | None:
    """A pass under way, or a new one where it is worth it; None where there is nothing to do."""
    if progress.limit:
        return progress
    limit = head.next_offset - policy.min_lag_messages
    new = not progress.marks or progress.marks[-1].upto < limit - 1  # else all that is dirty is too new
    cleans = new and head.dirty_bytes > 0 and head.dirty_bytes >= policy.min_dirty_ratio * head.size_bytes
    buries = head.tombstones > 0 and (
        removable_tombstones_up_to(progress, policy, now) > 0 or not progress.marks
    )
    if limit <= 1 or not (cleans or buries):
        return None
    return replace(progress, at=1, limit=limit)


def compact_page(
    topic: str,
    cells: Mapping[str, Cell],
    progress: CompactionProgress,
    page: Sequence[Message],
    whole: bool,
    policy: CompactionPolicy,
    now: float,
) -> tuple[CompactionProgress, Commit]:
    """Clean one page; ``whole`` where nothing follows it below the limit.

    ``cells`` are the topic's head, the cleaner's cell, and the places of the page's keys as they stand now.
    """
    head, buried = decode_head(cells.get(head_key(topic))), removable_tombstones_up_to(progress, policy, now)
    checks = {k: cell_version(cells, k) for k in (head_key(topic), compaction_key(topic))}
    drops: list[str] = []
    for message in page:
        if message.offset >= progress.limit:
            break
        place = position_key(topic, message.key)
        latest = decode_position(cells.get(place))
        if latest.offset > message.offset or not latest.offset:
            drops.append(message_key(topic, message.offset))
            head = replace(
                head,
                size_bytes=head.size_bytes - message.size_bytes,
                dirty_bytes=head.dirty_bytes - message.size_bytes,
            )
        elif message.value is None and message.offset <= buried:
            drops += [message_key(topic, message.offset), place]
            checks[place] = cell_version(cells, place)
            head = replace(
                head,
                size_bytes=head.size_bytes - message.size_bytes,
                tombstones=head.tombstones - 1,
                tombstone_floor=max(head.tombstone_floor, message.offset),
            )
    if whole:
        marks = (
            *(m for m in progress.marks if m.upto > buried),
            PassMark(progress.limit - 1, now, progress.token),
        )
        if len(marks) > MAX_MARKS:  # the later of two times counts for both
            marks = (PassMark(marks[0].upto, marks[1].since, progress.token), *marks[2:])
        progress = replace(progress, at=1, limit=0, marks=marks)
    else:
        progress = replace(progress, at=page[-1].offset + 1)
    puts = {compaction_key(topic): encode_progress(progress)}
    if drops:
        puts[head_key(topic)] = encode_fields(
            head.next_offset, head.tombstone_floor, head.size_bytes, head.dirty_bytes, head.tombstones
        )
    else:
        del checks[head_key(topic)]
    return progress, Commit((), checks, puts, tuple(drops))


def encode_progress(progress: CompactionProgress) -> bytes:
    marks = [(m.upto, m.since, m.token) for m in progress.marks]
    return encode_fields(progress.token, progress.at, progress.limit, marks)
