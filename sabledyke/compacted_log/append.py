"""May this be written, and what does writing it change? Pure: told the cells as read, gives the commit.

Which question it answers: an append's conditions (the key's offset, the topic's end, the writer's life, a
repeat of its sequence). It never knows a shelf, a clock or what a value means. Every commit checks the
version of the topic's head, so that two appends never get one offset, and of all that was decided by.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace

from sabledyke.compacted_log.records import (
    MAX_APPEND_MESSAGES,
    MAX_KEY_BYTES,
    MAX_VALUE_BYTES,
    Cell,
    Draft,
    Message,
    WriterIdentity,
    WriterState,
    cell_version,
    decode_head,
    decode_position,
    decode_writer_state,
    encode_fields,
    encode_message,
    head_key,
    message_key,
    position_key,
    writer_key,
)
from sabledyke.errors import BoardFull, Conflict, StaleWriter


@dataclass(slots=True, frozen=True)
class Commit:
    """One step of the shelf, and the offsets that it gives to the drafts."""

    offsets: tuple[int, ...]
    checks: dict[str, int] = field(default_factory=dict)
    puts: dict[str, bytes] = field(default_factory=dict)
    drops: tuple[str, ...] = ()


def cells_to_read(
    topic: str, writer: WriterIdentity, drafts: Sequence[Draft], expects: Mapping[str, int]
) -> list[str]:
    """The cells that ``append`` decides by."""
    keys = dict.fromkeys([*(d.key for d in drafts), *expects])
    return [head_key(topic), writer_key(topic, writer.name), *(position_key(topic, key) for key in keys)]


def validate_drafts(drafts: Sequence[Draft]) -> None:
    """A BoardFull where there are too many of them, or one is too large; before anything is asked."""
    if not 0 < len(drafts) <= MAX_APPEND_MESSAGES:
        raise BoardFull(f"an append has from 1 to {MAX_APPEND_MESSAGES} messages, not {len(drafts)}")
    if len({d.key for d in drafts}) < len(drafts):
        raise BoardFull("an append names a key twice")
    for draft in drafts:
        if not draft.key or len(draft.key.encode()) > MAX_KEY_BYTES:
            raise BoardFull(f"a key has from 1 to {MAX_KEY_BYTES} bytes: {draft.key[:40]!r}")
        if draft.value is not None and len(draft.value) > MAX_VALUE_BYTES:
            raise BoardFull(
                f"{draft.key}: a value has at most {MAX_VALUE_BYTES} bytes, not {len(draft.value)}"
            )


def plan_append(
    topic: str,
    found: Mapping[str, Cell],
    writer: WriterIdentity,
    seq: int,
    drafts: Sequence[Draft],
    expects: Mapping[str, int],
    end: int | None,
) -> Commit:
    """The commit, or one without puts for a repeat; StaleWriter and Conflict where it may not be.

    ``expects`` are offsets of further keys that it rests on; ``end`` the topic's next offset, where the
    writer decided by everything that was said so far.
    """
    said, me = decode_writer_state(found.get(writer_key(topic, writer.name))), writer_key(topic, writer.name)
    if said is not None:
        if (
            said.incarnation > writer.incarnation
            or said.incarnation == writer.incarnation
            and said.nonce != writer.nonce
        ):
            raise StaleWriter(
                f"{writer.name}: life {writer.incarnation} writes after life {said.incarnation}"
            )
        if said.incarnation == writer.incarnation and seq <= said.sequence:
            return Commit(said.offsets if seq == said.sequence else ())
    cell = found.get(head_key(topic))
    head = decode_head(cell)
    if end is not None and end != head.next_offset:
        raise Conflict(f"{topic} has gone on to {head.next_offset - 1} since it was read up to {end - 1}")
    checks = {head_key(topic): cell.version if cell else 0, me: cell_version(found, me)}
    wanted = dict(expects) | {d.key: d.expected_offset for d in drafts if d.expected_offset is not None}
    for key, offset in wanted.items():
        at = decode_position(found.get(position_key(topic, key))).offset
        if at != offset:
            raise Conflict(f"{topic}: {key} stands at {at}, not at {offset}")
        checks[position_key(topic, key)] = cell_version(found, position_key(topic, key))
    puts, offsets = dict[str, bytes](), list[int]()
    for draft in drafts:
        old = decode_position(found.get(position_key(topic, draft.key)))
        said_now = Message(head.next_offset, draft.key, draft.value, writer.name, writer.incarnation, seq)
        tomb = draft.value is None
        puts[message_key(topic, head.next_offset)] = encode_message(said_now)
        puts[position_key(topic, draft.key)] = encode_fields(head.next_offset, said_now.size_bytes, tomb)
        offsets.append(head.next_offset)
        head = replace(
            head,
            next_offset=head.next_offset + 1,
            size_bytes=head.size_bytes + said_now.size_bytes,
            dirty_bytes=head.dirty_bytes + old.size_bytes,
            tombstones=head.tombstones + tomb - old.is_tombstone,
        )
    puts[head_key(topic)] = encode_fields(
        head.next_offset, head.tombstone_floor, head.size_bytes, head.dirty_bytes, head.tombstones
    )
    puts[me] = encode_writer_state(WriterState(writer.incarnation, writer.nonce, seq, tuple(offsets)))
    return Commit(tuple(offsets), checks, puts)


def plan_claim(topic: str, cell: Cell | None, name: str, nonce: str) -> tuple[WriterIdentity, Commit]:
    """The next life of a writer: whoever wrote before is refused from then on."""
    said, me = decode_writer_state(cell), writer_key(topic, name)
    if said is not None and said.nonce == nonce:  # it was done, and the answer got lost
        return WriterIdentity(name, said.incarnation, nonce), Commit(())
    life = said.incarnation + 1 if said is not None else 1
    puts = {me: encode_writer_state(WriterState(life, nonce, 0))}
    return WriterIdentity(name, life, nonce), Commit((), {me: cell.version if cell else 0}, puts)


def encode_writer_state(said: WriterState) -> bytes:
    return encode_fields(said.incarnation, said.nonce, said.sequence, said.offsets)
