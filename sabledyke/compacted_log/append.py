"""Decides whether an append may be written, and what writing it changes. Pure: cells in, a commit out.

It checks the conditions of an append: the offsets of keys, the end of the topic, the writer's incarnation,
and whether it is a retry. Every commit checks the version of the topic's head, so that two appends never get
one offset, and the versions of all other cells that the decision depends on.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace

from sabledyke.compacted_log.records import (
    MAX_APPEND_MESSAGES,
    MAX_KEY_BYTES,
    MAX_VALUE_BYTES,
    Cell,
    KeyPosition,
    Message,
    NewMessage,
    TopicHead,
    WriterIdentity,
    WriterState,
    cell_version,
    decode_head,
    decode_position,
    decode_writer_state,
    encode_head,
    encode_message,
    encode_position,
    encode_writer_state,
    head_key,
    message_key,
    position_key,
    writer_key,
)
from sabledyke.errors import LogFullError, StaleWriterError, WriteConflictError


@dataclass(slots=True, frozen=True)
class AppendRequest:
    """An append as it is sent, and sent again.

    Attributes:
        topic: The topic that it is for.
        writer: Who writes.
        sequence: Its number within the writer's incarnation; a retry has the same.
        new_messages: The messages.
        expected_offsets: By key, the offsets of further messages that it depends on.
        expected_end: The topic's next offset, where the writer's decision depends on all messages up to it.
    """

    topic: str
    writer: WriterIdentity
    sequence: int
    new_messages: Sequence[NewMessage]
    expected_offsets: Mapping[str, int]
    expected_end: int | None = None


@dataclass(slots=True, frozen=True)
class Commit:
    """One step of the backend, and the offsets that it gives to the new messages."""

    offsets: tuple[int, ...]
    checks: dict[str, int] = field(default_factory=dict)
    puts: dict[str, bytes] = field(default_factory=dict)
    drops: tuple[str, ...] = ()


def validate_new_messages(new_messages: Sequence[NewMessage]) -> None:
    """Check the number and the sizes of new messages, before anything is read.

    Raises:
        LogFullError: There are too many of them, or one is too large.
    """
    if not 0 < len(new_messages) <= MAX_APPEND_MESSAGES:
        raise LogFullError(f"an append has from 1 to {MAX_APPEND_MESSAGES} messages, not {len(new_messages)}")
    if len({new_message.key for new_message in new_messages}) < len(new_messages):
        raise LogFullError("an append names a key twice")
    for new_message in new_messages:
        if not new_message.key or len(new_message.key.encode()) > MAX_KEY_BYTES:
            raise LogFullError(f"a key has from 1 to {MAX_KEY_BYTES} bytes: {new_message.key[:40]!r}")
        validate_value(new_message.key, new_message.value)


def validate_value(key: str, value: bytes | None) -> None:
    """Check the size of a value.

    Raises:
        LogFullError: It is too large.
    """
    if value is not None and len(value) > MAX_VALUE_BYTES:
        raise LogFullError(f"{key}: a value has at most {MAX_VALUE_BYTES} bytes, not {len(value)}")


def cells_to_read(request: AppendRequest) -> list[str]:
    """Return the keys of the cells that ``plan_append`` decides by."""
    keys = dict.fromkeys(
        [*(new_message.key for new_message in request.new_messages), *request.expected_offsets]
    )
    return [
        head_key(request.topic),
        writer_key(request.topic, request.writer.name),
        *(position_key(request.topic, key) for key in keys),
    ]


def plan_append(request: AppendRequest, cells: Mapping[str, Cell]) -> Commit:
    """Decide an append.

    Args:
        request: The append.
        cells: Those of ``cells_to_read`` that exist.

    Returns:
        The commit; one without puts for a retry of what was written.

    Raises:
        StaleWriterError: A later incarnation of the writer has written.
        Conflict: A key, or the end of the topic, is not where it is expected.
    """
    topic = request.topic
    my_key = writer_key(topic, request.writer.name)
    earlier = _earlier_commit(request, decode_writer_state(cells.get(my_key)))
    if earlier is not None:
        return earlier
    head = decode_head(cells.get(head_key(topic)))
    _check_end(request, head)
    checks = {
        head_key(topic): cell_version(cells, head_key(topic)),
        my_key: cell_version(cells, my_key),
    }
    checks |= _check_offsets(request, cells)
    offsets, puts = _write_messages(request, cells, head)
    state = WriterState(request.writer.incarnation, request.writer.nonce, request.sequence, offsets)
    puts[my_key] = encode_writer_state(state)
    return Commit(offsets, checks, puts)


def plan_claim(topic: str, cell: Cell | None, name: str, nonce: str) -> tuple[WriterIdentity, Commit]:
    """Begin the next incarnation of a writer: the former ones are rejected from then on.

    Args:
        topic: The topic to write to.
        cell: The writer's cell, where it exists.
        name: The writer's name.
        nonce: What identifies this claim, so that a retry of it is recognised.

    Returns:
        The new incarnation and the commit, which is without puts for a retry of what was written.
    """
    state = decode_writer_state(cell)
    if state is not None and state.nonce == nonce:  # it was written, and the answer was lost
        return WriterIdentity(name, state.incarnation, nonce), Commit(())
    incarnation = state.incarnation + 1 if state is not None else 1
    my_key = writer_key(topic, name)
    checks = {my_key: cell.version if cell else 0}
    puts = {my_key: encode_writer_state(WriterState(incarnation, nonce, 0))}
    return WriterIdentity(name, incarnation, nonce), Commit((), checks, puts)


def _earlier_commit(request: AppendRequest, state: WriterState | None) -> Commit | None:
    """Return the result of an append that was written before; None where this one is new."""
    if state is None:
        return None
    writer = request.writer
    same_incarnation = state.incarnation == writer.incarnation
    if state.incarnation > writer.incarnation or (same_incarnation and state.nonce != writer.nonce):
        raise StaleWriterError(
            f"{writer.name}: life {writer.incarnation} writes after life {state.incarnation}"
        )
    if not same_incarnation or request.sequence > state.sequence:
        return None
    return Commit(state.offsets if request.sequence == state.sequence else ())


def _check_end(request: AppendRequest, head: TopicHead) -> None:
    end = request.expected_end
    if end is not None and end != head.next_offset:
        last_offset = head.next_offset - 1
        raise WriteConflictError(
            f"{request.topic} has gone on to {last_offset} since it was read up to {end - 1}"
        )


def _check_offsets(request: AppendRequest, cells: Mapping[str, Cell]) -> dict[str, int]:
    """Check the offsets that are expected; returns the versions of the cells that they stand in."""
    expected = dict(request.expected_offsets)
    for new_message in request.new_messages:
        if new_message.expected_offset is not None:
            expected[new_message.key] = new_message.expected_offset
    checks: dict[str, int] = {}
    for key, expected_offset in expected.items():
        cell_key = position_key(request.topic, key)
        offset = decode_position(cells.get(cell_key)).offset
        if offset != expected_offset:
            raise WriteConflictError(f"{request.topic}: {key} stands at {offset}, not at {expected_offset}")
        checks[cell_key] = cell_version(cells, cell_key)
    return checks


def _write_messages(
    request: AppendRequest, cells: Mapping[str, Cell], head: TopicHead
) -> tuple[tuple[int, ...], dict[str, bytes]]:
    """Return the offsets of the messages, and the cells of these, of their keys, and of the topic's head."""
    topic = request.topic
    puts: dict[str, bytes] = {}
    offsets: list[int] = []
    for new_message in request.new_messages:
        message = Message(
            head.next_offset,
            new_message.key,
            new_message.value,
            request.writer.name,
            request.writer.incarnation,
            request.sequence,
        )
        position = KeyPosition(message.offset, message.size_bytes, new_message.value is None)
        puts[message_key(topic, message.offset)] = encode_message(message)
        puts[position_key(topic, new_message.key)] = encode_position(position)
        offsets.append(message.offset)
        superseded = decode_position(cells.get(position_key(topic, new_message.key)))
        head = _head_after(head, position, superseded)
    puts[head_key(topic)] = encode_head(head)
    return tuple(offsets), puts


def _head_after(head: TopicHead, appended: KeyPosition, superseded: KeyPosition) -> TopicHead:
    return replace(
        head,
        next_offset=head.next_offset + 1,
        size_bytes=head.size_bytes + appended.size_bytes,
        dirty_bytes=head.dirty_bytes + superseded.size_bytes,
        tombstones=head.tombstones + appended.is_tombstone - superseded.is_tombstone,
    )
