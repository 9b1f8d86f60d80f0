"""May this be written, and what does writing it change? Pure: told the cells as read, gives the commit.

Which question it answers: an append's conditions (the key's offset, the topic's end, the writer's life, a
repeat of its sequence). It never knows a shelf, a clock or what a value means. Every commit checks the
version of the topic's head, so that two appends never get one offset, and of all that was decided by.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace

from sabledyke.compacted_log.records import (
    BATCH,
    KEY_MOST,
    VALUE_MOST,
    Cell,
    Draft,
    Message,
    Said,
    Writer,
    head_key,
    head_of,
    message_key,
    pack,
    pack_message,
    place_key,
    place_of,
    said_of,
    version_of,
    writer_key,
)
from sabledyke.errors import LogFullError, StaleWriterError, WriteConflictError


@dataclass(slots=True, frozen=True)
class Commit:
    """One step of the shelf, and the offsets that it gives to the drafts."""

    offsets: tuple[int, ...]
    checks: dict[str, int] = field(default_factory=dict)
    puts: dict[str, bytes] = field(default_factory=dict)
    drops: tuple[str, ...] = ()


def needed(topic: str, writer: Writer, drafts: Sequence[Draft], expects: Mapping[str, int]) -> list[str]:
    """The cells that ``append`` decides by."""
    keys = dict.fromkeys([*(d.key for d in drafts), *expects])
    return [head_key(topic), writer_key(topic, writer.name), *(place_key(topic, key) for key in keys)]


def check(drafts: Sequence[Draft]) -> None:
    """A BoardFull where there are too many of them, or one is too large; before anything is asked."""
    if not 0 < len(drafts) <= BATCH:
        raise LogFullError(f"an append has from 1 to {BATCH} messages, not {len(drafts)}")
    if len({d.key for d in drafts}) < len(drafts):
        raise LogFullError("an append names a key twice")
    for draft in drafts:
        if not draft.key or len(draft.key.encode()) > KEY_MOST:
            raise LogFullError(f"a key has from 1 to {KEY_MOST} bytes: {draft.key[:40]!r}")
        if draft.value is not None and len(draft.value) > VALUE_MOST:
            raise LogFullError(f"{draft.key}: a value has at most {VALUE_MOST} bytes, not {len(draft.value)}")


def append(
    topic: str,
    found: Mapping[str, Cell],
    writer: Writer,
    seq: int,
    drafts: Sequence[Draft],
    expects: Mapping[str, int],
    end: int | None,
) -> Commit:
    """The commit, or one without puts for a repeat; StaleWriter and Conflict where it may not be.

    ``expects`` are offsets of further keys that it rests on; ``end`` the topic's next offset, where the
    writer decided by everything that was said so far.
    """
    said, me = said_of(found.get(writer_key(topic, writer.name))), writer_key(topic, writer.name)
    if said is not None:
        if said.life > writer.life or said.life == writer.life and said.nonce != writer.nonce:
            raise StaleWriterError(f"{writer.name}: life {writer.life} writes after life {said.life}")
        if said.life == writer.life and seq <= said.seq:
            return Commit(said.offsets if seq == said.seq else ())
    cell = found.get(head_key(topic))
    head = head_of(cell)
    if end is not None and end != head.next:
        raise WriteConflictError(f"{topic} has gone on to {head.next - 1} since it was read up to {end - 1}")
    checks = {head_key(topic): cell.version if cell else 0, me: version_of(found, me)}
    wanted = dict(expects) | {d.key: d.expects for d in drafts if d.expects is not None}
    for key, offset in wanted.items():
        at = place_of(found.get(place_key(topic, key))).offset
        if at != offset:
            raise WriteConflictError(f"{topic}: {key} stands at {at}, not at {offset}")
        checks[place_key(topic, key)] = version_of(found, place_key(topic, key))
    puts, offsets = dict[str, bytes](), list[int]()
    for draft in drafts:
        old = place_of(found.get(place_key(topic, draft.key)))
        said_now = Message(head.next, draft.key, draft.value, writer.name, writer.life, seq)
        tomb = draft.value is None
        puts[message_key(topic, head.next)] = pack_message(said_now)
        puts[place_key(topic, draft.key)] = pack(head.next, said_now.size, tomb)
        offsets.append(head.next)
        head = replace(
            head,
            next=head.next + 1,
            size=head.size + said_now.size,
            dirty=head.dirty + old.size,
            tombs=head.tombs + tomb - old.tomb,
        )
    puts[head_key(topic)] = pack(head.next, head.floor, head.size, head.dirty, head.tombs)
    puts[me] = _pack(Said(writer.life, writer.nonce, seq, tuple(offsets)))
    return Commit(tuple(offsets), checks, puts)


def claim(topic: str, cell: Cell | None, name: str, nonce: str) -> tuple[Writer, Commit]:
    """The next life of a writer: whoever wrote before is refused from then on."""
    said, me = said_of(cell), writer_key(topic, name)
    if said is not None and said.nonce == nonce:  # it was done, and the answer got lost
        return Writer(name, said.life, nonce), Commit(())
    life = said.life + 1 if said is not None else 1
    puts = {me: _pack(Said(life, nonce, 0))}
    return Writer(name, life, nonce), Commit((), {me: cell.version if cell else 0}, puts)


def _pack(said: Said) -> bytes:
    return pack(said.life, said.nonce, said.seq, said.offsets)
