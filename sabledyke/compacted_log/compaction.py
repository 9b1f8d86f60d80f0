"""Plans the compaction of a topic, one page of messages at a time, without I/O.

A message is superseded when its key's position has a later offset. The newest ``min_lag_messages`` messages
are never removed. A pass reads all messages below its limit once, in order, and records a mark with the time
when it ends. A tombstone may be removed once a mark at or above its offset is ``tombstone_retention_ms`` old
on the compactor's clock: the pass of that mark has removed all messages that the tombstone supersedes, so
that the key does not reappear. When another compactor continues, the ages of the existing marks restart at 0,
because clocks of different processes are not compared. Every commit checks the progress cell, which holds the
compactor's token, so that a compactor that was paused beyond its lease changes nothing.

Memory use is one page and the positions of its keys, regardless of the number of keys.
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

MAX_MARKS = 16  # the two oldest marks are merged above this number
PAGE_MESSAGES = (MAX_COMMIT_OPERATIONS - 4) // 2  # each message may need two deletes


@dataclass(slots=True, frozen=True)
class CompactionPolicy:
    """Settings of the compaction of a topic.

    Attributes:
        min_lag_messages: The number of newest messages that are never removed.
        tombstone_retention_ms: The minimum time for which tombstones are retained.
        min_dirty_ratio: The superseded fraction of the topic's size at which a pass begins.
        max_bytes_per_s: The maximum read rate.
    """

    min_lag_messages: int = 1000
    tombstone_retention_ms: float = 3_600_000.0
    min_dirty_ratio: float = 0.5
    max_bytes_per_s: float = 4e6


@dataclass(slots=True, frozen=True)
class PassMark:
    """Mark of a completed pass.

    Attributes:
        up_to_offset: The last offset that the pass covered.
        since_ms: The time from which the mark's age counts, on the clock of the compactor with this token.
        token: The token of that compactor.
    """

    up_to_offset: int
    since_ms: float
    token: int


@dataclass(slots=True, frozen=True)
class CompactionProgress:
    """Stored progress of the compaction of a topic.

    Attributes:
        token: The token of the compactor that wrote it.
        position: The next offset of the current pass.
        limit_offset: The offset that the current pass ends before; 0 between passes.
        marks: The marks of completed passes, in order.
    """

    token: int = 0
    position: int = 1
    limit_offset: int = 0
    marks: tuple[PassMark, ...] = ()


@dataclass(slots=True, frozen=True)
class PassPage:
    """One page of messages of a pass.

    Attributes:
        progress: The progress of the pass before this page.
        progress_cell: The cell that the progress was read from; None if it did not exist.
        messages: The messages from the pass's position on.
        ends_pass: True if no message follows the page below the pass's limit.
    """

    progress: CompactionProgress
    progress_cell: Cell | None
    messages: Sequence[Message]
    ends_pass: bool

    @property
    def size_bytes(self) -> int:
        """Total size of the messages in bytes."""
        return sum(message.size_bytes for message in self.messages)


class Removal(Enum):
    """The reason for the removal of a message."""

    SUPERSEDED = auto()
    TOMBSTONE = auto()


def encode_progress(progress: CompactionProgress) -> bytes:
    """Encode the progress of a compaction."""
    marks = [(mark.up_to_offset, mark.since_ms, mark.token) for mark in progress.marks]
    return encode_fields(progress.token, progress.position, progress.limit_offset, marks)


def decode_progress(cell: Cell | None) -> CompactionProgress:
    """Decode the progress of a compaction; the initial progress if the topic was never compacted."""
    if cell is None:
        return CompactionProgress()
    token, position, limit_offset, marks = orjson.loads(cell.data)
    return CompactionProgress(token, position, limit_offset, tuple(PassMark(*mark) for mark in marks))


def continue_under_token(progress: CompactionProgress, token: int, now_ms: float) -> CompactionProgress:
    """Return the progress under this compactor's token; marks of other compactors restart at ``now_ms``.

    Raises:
        StaleWriterError: A compactor with a later token has written the progress.
    """
    if progress.token > token:
        raise StaleWriterError(
            f"compaction under token {token} rejected: token {progress.token} has written the progress"
        )
    marks = tuple(
        mark if mark.token == token else PassMark(mark.up_to_offset, now_ms, token) for mark in progress.marks
    )
    return replace(progress, token=token, marks=marks)


def removable_tombstones_up_to(progress: CompactionProgress, policy: CompactionPolicy, now_ms: float) -> int:
    """Return the last offset up to which tombstones may be removed; 0 for none."""
    old_marks = (
        mark.up_to_offset
        for mark in progress.marks
        if now_ms - mark.since_ms >= policy.tombstone_retention_ms
    )
    return max(old_marks, default=0)


def start_pass(
    progress: CompactionProgress, head: TopicHead, policy: CompactionPolicy, now_ms: float
) -> CompactionProgress | None:
    """Return the current pass, or a new one if it is worthwhile; None if there is nothing to do."""
    if progress.limit_offset:
        return progress
    limit_offset = head.next_offset - policy.min_lag_messages
    if limit_offset <= 1:
        return None
    removes_superseded = _is_dirty_enough(progress, head, policy, limit_offset)
    removes_tombstones = head.tombstones > 0 and (
        not progress.marks or removable_tombstones_up_to(progress, policy, now_ms) > 0
    )
    if not (removes_superseded or removes_tombstones):
        return None
    return replace(progress, position=1, limit_offset=limit_offset)


def compact_page(
    topic: str, cells: Mapping[str, Cell], page: PassPage, policy: CompactionPolicy, now_ms: float
) -> Commit:
    """Plan the compaction of one page.

    Args:
        topic: The topic.
        cells: The current cells of the topic's head, its progress and the positions of the page's keys.
        page: A page of the current pass.
        policy: The operator's settings.
        now_ms: The time on the compactor's clock.

    Returns:
        The commit that removes messages of the page and writes the new progress.
    """
    head = decode_head(cells.get(head_key(topic)))
    removable_up_to = removable_tombstones_up_to(page.progress, policy, now_ms)
    checks = {key: cell_version(cells, key) for key in (head_key(topic), compaction_key(topic))}
    deletes: list[str] = []
    for message, removal in _removals(topic, cells, page, removable_up_to):
        deletes.append(message_key(topic, message.offset))
        if removal is Removal.TOMBSTONE:
            position = position_key(topic, message.key)
            deletes.append(position)
            checks[position] = cell_version(cells, position)
        head = _head_without(head, message, removal)
    puts = {compaction_key(topic): encode_progress(_progress_after(page, removable_up_to, now_ms))}
    if deletes:
        puts[head_key(topic)] = encode_head(head)
    else:
        del checks[head_key(topic)]
    return Commit((), checks, puts, tuple(deletes))


def _is_dirty_enough(
    progress: CompactionProgress, head: TopicHead, policy: CompactionPolicy, limit_offset: int
) -> bool:
    """Return whether enough is superseded for a pass, and there are messages that no pass has covered."""
    if progress.marks and progress.marks[-1].up_to_offset >= limit_offset - 1:
        return False
    return head.dirty_bytes > 0 and head.dirty_bytes >= policy.min_dirty_ratio * head.size_bytes


def _removals(
    topic: str, cells: Mapping[str, Cell], page: PassPage, removable_up_to: int
) -> Iterator[tuple[Message, Removal]]:
    """Yield the messages to remove, with the reasons."""
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
    """Add a mark for the completed pass, and discard marks below which tombstones were removable."""
    mark = PassMark(progress.limit_offset - 1, now_ms, progress.token)
    marks = (*(old for old in progress.marks if old.up_to_offset > removable_up_to), mark)
    if len(marks) > MAX_MARKS:  # the merged mark has the later time, so that none counts as older
        joined = PassMark(marks[0].up_to_offset, marks[1].since_ms, progress.token)
        marks = (joined, *marks[2:])
    return replace(progress, position=1, limit_offset=0, marks=marks)
