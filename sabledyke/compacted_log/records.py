"""The records of the compacted log, the cells that they are stored in, and the backend that stores these.

Offsets count from 1 and only rise; 0 stands for a key that was never written. The models are Kafka's log
compaction (minimum lag, delete retention) and etcd's revisions (compare before a write). Cells are stored as
JSON arrays, in the order that the functions below give; names of fields are not stored.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

import orjson

MAX_KEY_BYTES = 200
MAX_VALUE_BYTES = 16 * 1024
MAX_COMMIT_OPERATIONS = 100  # puts, drops or checks of one commit: etcd's default limit is 128
MAX_APPEND_MESSAGES = 20  # of one append: each writes two cells, the message and its key's position
PAGE_MESSAGES = 256


@dataclass(slots=True, frozen=True)
class Message:
    """One message of a topic.

    Attributes:
        offset: Its place in the topic.
        key: What it is about.
        value: What it says; None for a tombstone.
        writer: The name of who wrote it.
        incarnation: The writer's incarnation.
        sequence: The number of the append within that.
    """

    offset: int
    key: str
    value: bytes | None
    writer: str
    incarnation: int
    sequence: int

    @property
    def size_bytes(self) -> int:
        """The size that it is counted with, its key and value."""
        return len(self.key) + len(self.value or b"")


@dataclass(slots=True, frozen=True)
class NewMessage:
    """A message to be appended.

    Attributes:
        key: What it is about.
        value: What it says; None for a tombstone.
        expected_offset: The offset that the key's latest message must have; None for any.
    """

    key: str
    value: bytes | None
    expected_offset: int | None = None


@dataclass(slots=True, frozen=True)
class WriterIdentity:
    """One incarnation of a writer; ``nonce`` separates two processes that claimed the same one at once."""

    name: str
    incarnation: int
    nonce: str


@dataclass(slots=True, frozen=True)
class TopicHead:
    """The state of a topic.

    Attributes:
        next_offset: The offset of the next message.
        tombstone_floor: The highest offset from which a tombstone was removed.
        size_bytes: The size of all its messages.
        dirty_bytes: How much of that is superseded.
        tombstones: How many keys have a tombstone as their latest message.
    """

    next_offset: int = 1
    tombstone_floor: int = 0
    size_bytes: int = 0
    dirty_bytes: int = 0
    tombstones: int = 0


@dataclass(slots=True, frozen=True)
class KeyPosition:
    """Where a key's latest message is."""

    offset: int
    size_bytes: int
    is_tombstone: bool


@dataclass(slots=True, frozen=True)
class WriterState:
    """What is stored of a writer: its incarnation, and the offsets of its last append, to detect a retry."""

    incarnation: int
    nonce: str
    sequence: int
    offsets: tuple[int, ...] = ()


@dataclass(slots=True, frozen=True)
class Cell:
    """One entry of the backend; ``version`` changes with every write to it, and is 0 where there is none."""

    version: int
    data: bytes


class Backend(Protocol):
    """What a log is stored in: ordered keys, and commits that are executed as one step or not at all."""

    async def open(self) -> None:
        """Prepare for use.

        Raises:
            ConfigError: It cannot be used as it is configured.
        """

    async def get(self, keys: Sequence[str]) -> dict[str, Cell]:
        """Return those of the cells that exist, as of one moment.

        Raises:
            CompactedLogError: It did not answer.
        """

    async def scan(self, first: str, end: str, limit: int) -> list[tuple[str, Cell]]:
        """Return at most ``limit`` cells from ``first`` up to before ``end``, in order of their keys.

        Raises:
            CompactedLogError: It did not answer.
        """

    async def commit(
        self, checks: Mapping[str, int], puts: Mapping[str, bytes], drops: Collection[str] = ()
    ) -> bool:
        """Write and remove cells, if every checked cell has the version given.

        Args:
            checks: Versions by key; 0 for a cell that must not exist.
            puts: Data by key.
            drops: Keys of the cells to remove.

        Returns:
            False where a check failed, so that nothing was written.

        Raises:
            CompactedLogError: It is not known whether the commit was executed.
        """

    async def close(self) -> None:
        """Close what is open."""


def head_key(topic: str) -> str:
    """Return the key of the cell of a topic's head."""
    return f"{topic}/h"


def message_key(topic: str, offset: int) -> str:
    """Return the key of the cell of a message; keys sort as the offsets do."""
    return f"{topic}/m/{offset:016x}"


def position_key(topic: str, key: str) -> str:
    """Return the key of the cell of a key's position."""
    return f"{topic}/k/{key}"


def writer_key(topic: str, name: str) -> str:
    """Return the key of the cell of a writer's state."""
    return f"{topic}/w/{name}"


def register_key(topic: str, name: str) -> str:
    """Return the key of the cell of a register (see ``registers``)."""
    return f"{topic}/r/{name}"


def compaction_key(topic: str) -> str:
    """Return the key of the cell of a topic's compaction progress."""
    return f"{topic}/c"


def cell_version(cells: Mapping[str, Cell], key: str) -> int:
    """Return a cell's version among those that were read; 0 where there is none."""
    return cells[key].version if key in cells else 0


def encode_fields(*fields: object) -> bytes:
    """Encode the fields of one cell."""
    return orjson.dumps(fields)


def encode_head(head: TopicHead) -> bytes:
    """Encode a topic's head."""
    return encode_fields(
        head.next_offset, head.tombstone_floor, head.size_bytes, head.dirty_bytes, head.tombstones
    )


def decode_head(cell: Cell | None) -> TopicHead:
    """Decode a topic's head; the initial one where nobody has written to the topic."""
    return TopicHead() if cell is None else TopicHead(*orjson.loads(cell.data))


def encode_position(position: KeyPosition) -> bytes:
    """Encode a key's position."""
    return encode_fields(position.offset, position.size_bytes, position.is_tombstone)


def decode_position(cell: Cell | None) -> KeyPosition:
    """Decode a key's position; at offset 0 where it was never written."""
    if cell is None:
        return KeyPosition(offset=0, size_bytes=0, is_tombstone=False)
    return KeyPosition(*orjson.loads(cell.data))


def encode_writer_state(state: WriterState) -> bytes:
    """Encode a writer's state."""
    return encode_fields(state.incarnation, state.nonce, state.sequence, state.offsets)


def decode_writer_state(cell: Cell | None) -> WriterState | None:
    """Decode a writer's state; None where it has never written."""
    if cell is None:
        return None
    incarnation, nonce, sequence, offsets = orjson.loads(cell.data)
    return WriterState(incarnation, nonce, sequence, tuple(offsets))


def encode_message(message: Message) -> bytes:
    """Encode a message: a line of JSON about it, then its value."""
    header = encode_fields(
        message.key, message.writer, message.incarnation, message.sequence, message.value is None
    )
    return header + b"\n" + (message.value or b"")


def decode_message(cell_key: str, cell: Cell) -> Message:
    """Decode a message from its cell, whose key has its offset."""
    header, _, value = cell.data.partition(b"\n")
    key, writer, incarnation, sequence, is_tombstone = orjson.loads(header)
    return Message(
        offset=int(cell_key.rpartition("/")[2], 16),
        key=key,
        value=None if is_tombstone else value,
        writer=writer,
        incarnation=incarnation,
        sequence=sequence,
    )
