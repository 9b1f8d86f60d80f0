"""Plans appends, without I/O: from the cells that were read, computes the commit that writes the messages.

The conditions of an append are the expected offsets of keys, the expected end of the topic and the writer's
incarnation; a retry of a written append is recognised. Every commit checks the version of the topic's head,
so that two appends never get the same offset, and the versions of all other cells that the plan depends on.
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
    """One append; a retry repeats the same request.

    Attributes:
        topic: The topic to append to.
        writer: The writer's incarnation.
        sequence: The number of the append within the incarnation; a retry has the same number.
        new_messages: The messages to append.
        expected_offsets: Expected offsets, by key, of further messages that the append depends on.
        expected_end: The expected next offset of the topic, if the append depends on all messages before it.
    """

    topic: str
    writer: WriterIdentity
    sequence: int
    new_messages: Sequence[NewMessage]
    expected_offsets: Mapping[str, int]
    expected_end: int | None = None


@dataclass(slots=True, frozen=True)
class Commit:
    """An atomic commit to the backend, and the offsets that it assigns to the new messages."""

    offsets: tuple[int, ...]
    checks: dict[str, int] = field(default_factory=dict)
    puts: dict[str, bytes] = field(default_factory=dict)
    deletes: tuple[str, ...] = ()


def validate_new_messages(new_messages: Sequence[NewMessage]) -> None:
    """Check the number, keys and sizes of new messages, before any cell is read.

    Raises:
        LogFullError: There are none or too many, a key is used twice, or a key or value has an invalid size.
    """
    if not 0 < len(new_messages) <= MAX_APPEND_MESSAGES:
        raise LogFullError(
            f"an append must have 1 to {MAX_APPEND_MESSAGES} messages, not {len(new_messages)}"
        )
    if len({new_message.key for new_message in new_messages}) < len(new_messages):
        raise LogFullError("an append must not have two messages with the same key")
    for new_message in new_messages:
        if not new_message.key or len(new_message.key.encode()) > MAX_KEY_BYTES:
            raise LogFullError(f"a key must have 1 to {MAX_KEY_BYTES} bytes: {new_message.key[:40]!r}")
        validate_value(new_message.key, new_message.value)


def validate_value(key: str, value: bytes | None) -> None:
    """Check the size of a value.

    Raises:
        LogFullError: The value is too large.
    """
    if value is not None and len(value) > MAX_VALUE_BYTES:
        raise LogFullError(f"{key}: a value must have at most {MAX_VALUE_BYTES} bytes, not {len(value)}")


def cells_to_read(request: AppendRequest) -> list[str]:
    """Return the keys of the cells that ``plan_append`` requires."""
    keys = dict.fromkeys(
        [*(new_message.key for new_message in request.new_messages), *request.expected_offsets]
    )
    return [
        head_key(request.topic),
        writer_key(request.topic, request.writer.name),
        *(position_key(request.topic, key) for key in keys),
    ]


def plan_append(request: AppendRequest, cells: Mapping[str, Cell]) -> Commit:
    """Check the conditions of an append, and plan the commit that writes it.

    Args:
        request: The append.
        cells: The cells of ``cells_to_read`` that exist.

    Returns:
        The commit; it has no puts if the append was written before.

    Raises:
        StaleWriterError: A later incarnation of the writer has written.
        WriteConflictError: A key, or the end of the topic, is not at the expected offset.
    """
    topic = request.topic
    state_key = writer_key(topic, request.writer.name)
    earlier = _earlier_commit(request, decode_writer_state(cells.get(state_key)))
    if earlier is not None:
        return earlier
    head = decode_head(cells.get(head_key(topic)))
    _check_end(request, head)
    checks = {
        head_key(topic): cell_version(cells, head_key(topic)),
        state_key: cell_version(cells, state_key),
    }
    checks |= _check_offsets(request, cells)
    offsets, puts = _write_messages(request, cells, head)
    state = WriterState(request.writer.incarnation, request.writer.nonce, request.sequence, offsets)
    puts[state_key] = encode_writer_state(state)
    return Commit(offsets, checks, puts)


def plan_claim(topic: str, cell: Cell | None, name: str, nonce: str) -> tuple[WriterIdentity, Commit]:
    """Plan the next incarnation of a writer; once it is written, earlier ones are rejected.

    Args:
        topic: The topic to write to.
        cell: The writer's cell; None if it does not exist.
        name: The writer's name.
        nonce: Identifies this claim, so that a retry of it is recognised.

    Returns:
        The new incarnation, and the commit, which has no puts if the claim was written before.
    """
    state = decode_writer_state(cell)
    if state is not None and state.nonce == nonce:  # the claim was written, but its answer was lost
        return WriterIdentity(name, state.incarnation, nonce), Commit(())
    incarnation = state.incarnation + 1 if state is not None else 1
    state_key = writer_key(topic, name)
    checks = {state_key: cell.version if cell else 0}
    puts = {state_key: encode_writer_state(WriterState(incarnation, nonce, 0))}
    return WriterIdentity(name, incarnation, nonce), Commit((), checks, puts)


def _earlier_commit(request: AppendRequest, state: WriterState | None) -> Commit | None:
    """Return the result of an append that was written before; None if the append is new."""
    if state is None:
        return None
    writer = request.writer
    same_incarnation = state.incarnation == writer.incarnation
    if state.incarnation > writer.incarnation or (same_incarnation and state.nonce != writer.nonce):
        raise StaleWriterError(
            f"{writer.name}: append of incarnation {writer.incarnation} rejected:"
            f" incarnation {state.incarnation} is current"
        )
    if not same_incarnation or request.sequence > state.sequence:
        return None
    return Commit(state.offsets if request.sequence == state.sequence else ())


def _check_end(request: AppendRequest, head: TopicHead) -> None:
    end = request.expected_end
    if end is not None and end != head.next_offset:
        last_offset = head.next_offset - 1
        raise WriteConflictError(
            f"{request.topic} has advanced to offset {last_offset} since it was read up to {end - 1}"
        )


def _check_offsets(request: AppendRequest, cells: Mapping[str, Cell]) -> dict[str, int]:
    """Check the expected offsets; returns the versions of the cells that hold them."""
    expected = dict(request.expected_offsets)
    for new_message in request.new_messages:
        if new_message.expected_offset is not None:
            expected[new_message.key] = new_message.expected_offset
    checks: dict[str, int] = {}
    for key, expected_offset in expected.items():
        cell_key = position_key(request.topic, key)
        offset = decode_position(cells.get(cell_key)).offset
        if offset != expected_offset:
            raise WriteConflictError(
                f"{request.topic}: {key} is at offset {offset}, not at {expected_offset}"
            )
        checks[cell_key] = cell_version(cells, cell_key)
    return checks


def _write_messages(
    request: AppendRequest, cells: Mapping[str, Cell], head: TopicHead
) -> tuple[tuple[int, ...], dict[str, bytes]]:
    """Return the new offsets, and the puts for the messages, their keys' positions and the topic's head."""
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
