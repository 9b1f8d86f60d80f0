"""Decides what may be compacted away from a topic, a page at a time. Pure: cells, a page and the time in.

A message is superseded when its key's position is a later one. The newest ``min_lag_messages`` are never
touched. A pass goes once, in order, through what is below its limit; where it ends, it leaves a mark with the
time. A tombstone may be removed once a mark above it is ``tombstone_retention_ms`` old on the compactor's
clock: by then the pass that left the mark has removed all that it supersedes, so that no key comes back. The
time of a mark that another compactor left begins anew, as no two clocks are compared. Every step checks the
progress cell, in which the compactor's token stands: one that was paused past its lease changes nothing.

Memory: one page and the positions of its keys, however many keys there are.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, replace
from enum import Enum, auto

import orjson

from sabledyke.compacted_log.append import Commit
from sabledyke.compacted_log.records import (
    MAX_COMMIT_OPERATIONS,
    Cell,
    KeyPosition,
    Message,
    TopicHead,
    cell_version,
    compaction_key,
    decode_head,
    decode_position,
    encode_fields,
    encode_head,
    head_key,
    message_key,
    position_key,
)
from sabledyke.errors import StaleWriterError

MAX_MARKS = 16  # beyond that, the two oldest are joined
PAGE_MESSAGES = (MAX_COMMIT_OPERATIONS - 4) // 2  # each may take two drops


@dataclass(slots=True, frozen=True)
class CompactionPolicy:
    """When and how a topic is compacted.

    Attributes:
        min_lag_messages: So many of the newest messages are never touched.
        tombstone_retention_ms: How long tombstones are retained at least.
        min_dirty_ratio: A pass begins when this fraction of the topic's size is superseded.
        max_bytes_per_s: At most so much is read in a second.
    """

    min_lag_messages: int = 1000
    tombstone_retention_ms: float = 3_600_000.0
    min_dirty_ratio: float = 0.5
    max_bytes_per_s: float = 4e6


@dataclass(slots=True, frozen=True)
class PassMark:
    """A pass that ended.

    Attributes:
        up_to_offset: The last offset that it covered.
        since_ms: When it ended, by the clock of the compactor with that token.
        token: That compactor's token.
    """

    up_to_offset: int
    since_ms: float
    token: int


@dataclass(slots=True, frozen=True)
class CompactionProgress:
    """What is stored of the compaction of a topic.

    Attributes:
        token: The token of the compactor that wrote it.
        position: The offset that the pass goes on at.
        limit_offset: The offset that the pass ends before; 0 between passes.
        marks: The passes that ended.
    """

    token: int = 0
    position: int = 1
    limit_offset: int = 0
    marks: tuple[PassMark, ...] = ()


@dataclass(slots=True, frozen=True)
class PassPage:
    """A page of a pass.

    Attributes:
        progress: The pass under way.
        progress_cell: The cell that its progress was read from.
        messages: Messages from the pass's position on.
        ends_pass: Whether nothing follows them below the pass's limit.
    """

    progress: CompactionProgress
    progress_cell: Cell | None
    messages: Sequence[Message]
    ends_pass: bool

    @property
    def size_bytes(self) -> int:
        """The size of its messages."""
        return sum(message.size_bytes for message in self.messages)


class Removal(Enum):
    """Why a message is removed."""

    SUPERSEDED = auto()
    TOMBSTONE = auto()


def encode_progress(progress: CompactionProgress) -> bytes:
    """Encode the progress."""
    marks = [(mark.up_to_offset, mark.since_ms, mark.token) for mark in progress.marks]
    return encode_fields(progress.token, progress.position, progress.limit_offset, marks)


def decode_progress(cell: Cell | None) -> CompactionProgress:
    """Decode the progress; the initial one where the topic was never compacted."""
    if cell is None:
        return CompactionProgress()
    token, position, limit_offset, marks = orjson.loads(cell.data)
    return CompactionProgress(token, position, limit_offset, tuple(PassMark(*mark) for mark in marks))


def continue_under_token(progress: CompactionProgress, token: int, now_ms: float) -> CompactionProgress:
    """Return the same progress under this compactor's token.

    Raises:
        StaleWriterError: A compactor with a later token has been at work.
    """
    if progress.token > token:
        raise StaleWriterError(f"cleaning under token {token}, after {progress.token}")
    marks = tuple(
        mark if mark.token == token else PassMark(mark.up_to_offset, now_ms, token) for mark in progress.marks
    )
    return replace(progress, token=token, marks=marks)


def removable_tombstones_up_to(progress: CompactionProgress, policy: CompactionPolicy, now_ms: float) -> int:
    """Return the offset up to which tombstones may be removed; 0 for none."""
    old_marks = (
        mark.up_to_offset
        for mark in progress.marks
        if now_ms - mark.since_ms >= policy.tombstone_retention_ms
    )
    return max(old_marks, default=0)


def start_pass(
    progress: CompactionProgress, head: TopicHead, policy: CompactionPolicy, now_ms: float
) -> CompactionProgress | None:
    """Return the pass under way, or a new one where it is worth it; None where there is nothing to do."""
    if progress.limit_offset:
        return progress
    limit_offset = head.next_offset - policy.min_lag_messages
    if limit_offset <= 1:
        return None
    removes_superseded = _has_superseded(progress, head, policy, limit_offset)
    removes_tombstones = head.tombstones > 0 and (
        not progress.marks or removable_tombstones_up_to(progress, policy, now_ms) > 0
    )
    if not (removes_superseded or removes_tombstones):
        return None
    return replace(progress, position=1, limit_offset=limit_offset)


def compact_page(
    topic: str, cells: Mapping[str, Cell], page: PassPage, policy: CompactionPolicy, now_ms: float
) -> Commit:
    """Compact one page.

    Args:
        topic: The topic.
        cells: Its head, its progress, and the positions of the page's keys, as they are now.
        page: The page of the pass under way.
        policy: The operator's settings.
        now_ms: The time on the compactor's clock.

    Returns:
        The commit.
    """
    head = decode_head(cells.get(head_key(topic)))
    removable_up_to = removable_tombstones_up_to(page.progress, policy, now_ms)
    checks = {key: cell_version(cells, key) for key in (head_key(topic), compaction_key(topic))}
    drops: list[str] = []
    for message, removal in _removals(topic, cells, page, removable_up_to):
        drops.append(message_key(topic, message.offset))
        if removal is Removal.TOMBSTONE:
            position = position_key(topic, message.key)
            drops.append(position)
            checks[position] = cell_version(cells, position)
        head = _head_without(head, message, removal)
    puts = {compaction_key(topic): encode_progress(_progress_after(page, removable_up_to, now_ms))}
    if drops:
        puts[head_key(topic)] = encode_head(head)
    else:
        del checks[head_key(topic)]
    return Commit((), checks, puts, tuple(drops))


def _has_superseded(
    progress: CompactionProgress, head: TopicHead, policy: CompactionPolicy, limit_offset: int
) -> bool:
    """Return whether enough is superseded, below what is too new to be touched."""
    if progress.marks and progress.marks[-1].up_to_offset >= limit_offset - 1:
        return False
    return head.dirty_bytes > 0 and head.dirty_bytes >= policy.min_dirty_ratio * head.size_bytes


def _removals(
    topic: str, cells: Mapping[str, Cell], page: PassPage, removable_up_to: int
) -> Iterator[tuple[Message, Removal]]:
    """Yield the messages to remove."""
    for message in page.messages:
        if message.offset >= page.progress.limit_offset:
            return
        latest = decode_position(cells.get(position_key(topic, message.key)))
        if _is_superseded(message, latest):
            yield message, Removal.SUPERSEDED
        elif message.value is None and message.offset <= removable_up_to:
            yield message, Removal.TOMBSTONE


def _is_superseded(message: Message, latest: KeyPosition) -> bool:
    return latest.offset > message.offset or not latest.offset


def _head_without(head: TopicHead, message: Message, removal: Removal) -> TopicHead:
    size_bytes = head.size_bytes - message.size_bytes
    if removal is Removal.SUPERSEDED:
        return replace(head, size_bytes=size_bytes, dirty_bytes=head.dirty_bytes - message.size_bytes)
    return replace(
        head,
        size_bytes=size_bytes,
        tombstones=head.tombstones - 1,
        tombstone_floor=max(head.tombstone_floor, message.offset),
    )


def _progress_after(page: PassPage, removable_up_to: int, now_ms: float) -> CompactionProgress:
    if page.ends_pass:
        return _end_pass(page.progress, removable_up_to, now_ms)
    return replace(page.progress, position=page.messages[-1].offset + 1)


def _end_pass(progress: CompactionProgress, removable_up_to: int, now_ms: float) -> CompactionProgress:
    """Leave a mark at the end of the pass; marks whose tombstones are removed are no longer needed."""
    mark = PassMark(progress.limit_offset - 1, now_ms, progress.token)
    marks = (*(old for old in progress.marks if old.up_to_offset > removable_up_to), mark)
    if len(marks) > MAX_MARKS:  # the later of two times counts for both
        joined = PassMark(marks[0].up_to_offset, marks[1].since_ms, progress.token)
        marks = (joined, *marks[2:])
    return replace(progress, position=1, limit_offset=0, marks=marks)
