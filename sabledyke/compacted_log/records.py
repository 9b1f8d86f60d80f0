"""Data model of the compacted log: its records, their encoding as cells, and the backend that stores cells.

Offsets start at 1 and only increase; offset 0 stands for a key that was never written. The design follows
Kafka's log compaction (minimum lag, delete retention) and etcd's revisions (compare before write). Records
are encoded as JSON arrays without field names, in the order that the functions below give.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

import orjson

MAX_KEY_BYTES = 200
MAX_VALUE_BYTES = 16 * 1024
MAX_COMMIT_OPERATIONS = 100  # puts, deletes or checks in one commit; etcd's default limit is 128
MAX_APPEND_MESSAGES = 20  # limit of an append; each writes two cells, the message and its key's position
PAGE_MESSAGES = 256


@dataclass(slots=True, frozen=True)
class Message:
    """One message of a topic.

    Attributes:
        offset: The position of the message in the topic.
        key: The key; compaction retains the latest message of each key.
        value: The value; None for a tombstone.
        writer: The writer's name.
        incarnation: The writer's incarnation.
        sequence: The number of the append within the incarnation.
    """

    offset: int
    key: str
    value: bytes | None
    writer: str
    incarnation: int
    sequence: int

    @property
    def size_bytes(self) -> int:
        """Size of the key and value in bytes, as counted in ``TopicHead``."""
        return len(self.key) + len(self.value or b"")


@dataclass(slots=True, frozen=True)
class NewMessage:
    """A message to be appended.

    Attributes:
        key: The key.
        value: The value; None for a tombstone.
        expected_offset: The offset that the key's latest message must have; None for any.
    """

    key: str
    value: bytes | None
    expected_offset: int | None = None


@dataclass(slots=True, frozen=True)
class WriterIdentity:
    """One incarnation of a writer; ``nonce`` distinguishes processes that claim the same one concurrently."""

    name: str
    incarnation: int
    nonce: str


@dataclass(slots=True, frozen=True)
class TopicHead:
    """Metadata of a topic, in a cell that every append checks and updates.

    Attributes:
        next_offset: The offset of the next message.
        tombstone_floor: The highest offset of a tombstone that compaction has removed.
        size_bytes: The total size of all stored messages.
        dirty_bytes: The size of the superseded messages among them.
        tombstones: The number of keys whose latest message is a tombstone.
    """

    next_offset: int = 1
    tombstone_floor: int = 0
    size_bytes: int = 0
    dirty_bytes: int = 0
    tombstones: int = 0


@dataclass(slots=True, frozen=True)
class KeyPosition:
    """The offset, size and kind of a key's latest message."""

    offset: int
    size_bytes: int
    is_tombstone: bool


@dataclass(slots=True, frozen=True)
class WriterState:
    """Stored state of a writer: its incarnation, and its last append, by which a retry is detected."""

    incarnation: int
    nonce: str
    sequence: int
    offsets: tuple[int, ...] = ()


@dataclass(slots=True, frozen=True)
class Cell:
    """One entry of the backend; every write changes its ``version``, and version 0 stands for no entry."""

    version: int
    data: bytes


class Backend(Protocol):
    """Storage of a log: an ordered key-value store with atomic conditional commits."""

    async def open(self) -> None:
        """Prepare the backend for use.

        Raises:
            ConfigError: The backend cannot be used as it is configured.
        """

    async def get(self, keys: Sequence[str]) -> dict[str, Cell]:
        """Return those of the cells that exist, as one consistent snapshot.

        Raises:
            CompactedLogError: The backend did not answer.
        """

    async def scan(self, first: str, end: str, limit: int) -> list[tuple[str, Cell]]:
        """Return at most ``limit`` cells from ``first`` up to before ``end``, in key order.

        Raises:
            CompactedLogError: The backend did not answer.
        """

    async def commit(
        self, checks: Mapping[str, int], puts: Mapping[str, bytes], deletes: Collection[str] = ()
    ) -> bool:
        """Write and delete cells atomically, if every checked cell has the expected version.

        Args:
            checks: Expected versions by key; 0 for a cell that must not exist.
            puts: New data by key.
            deletes: Keys of the cells to delete.

        Returns:
            False if a check failed and nothing was written.

        Raises:
            CompactedLogError: The outcome of the commit is unknown.
        """

    async def close(self) -> None:
        """Close all open connections."""


def head_key(topic: str) -> str:
    """Return the key of the cell of a topic's head."""
    return f"{topic}/h"


def message_key(topic: str, offset: int) -> str:
    """Return the key of the cell of a message; the keys sort in the order of offsets."""
    return f"{topic}/m/{offset:016x}"


def position_key(topic: str, key: str) -> str:
    """Return the key of the cell of a key's position."""
    return f"{topic}/k/{key}"


def writer_key(topic: str, name: str) -> str:
    """Return the key of the cell of a writer's state."""
    return f"{topic}/w/{name}"


def register_key(topic: str, name: str) -> str:
    """Return the key of the cell of a register."""
    return f"{topic}/r/{name}"


def compaction_key(topic: str) -> str:
    """Return the key of the cell of a topic's compaction progress."""
    return f"{topic}/c"


def cell_version(cells: Mapping[str, Cell], key: str) -> int:
    """Return the version of a cell that was read; 0 if it does not exist."""
    return cells[key].version if key in cells else 0


def encode_fields(*fields: object) -> bytes:
    """Encode the fields of one cell as a JSON array."""
    return orjson.dumps(fields)


def encode_head(head: TopicHead) -> bytes:
    """Encode a topic's head."""
    return encode_fields(
        head.next_offset, head.tombstone_floor, head.size_bytes, head.dirty_bytes, head.tombstones
    )


def decode_head(cell: Cell | None) -> TopicHead:
    """Decode a topic's head; the initial head if the topic was never written to."""
    return TopicHead() if cell is None else TopicHead(*orjson.loads(cell.data))


def encode_position(position: KeyPosition) -> bytes:
    """Encode a key's position."""
    return encode_fields(position.offset, position.size_bytes, position.is_tombstone)


def decode_position(cell: Cell | None) -> KeyPosition:
    """Decode a key's position; offset 0 if the key was never written."""
    if cell is None:
        return KeyPosition(offset=0, size_bytes=0, is_tombstone=False)
    return KeyPosition(*orjson.loads(cell.data))


def encode_writer_state(state: WriterState) -> bytes:
    """Encode a writer's state."""
    return encode_fields(state.incarnation, state.nonce, state.sequence, state.offsets)


def decode_writer_state(cell: Cell | None) -> WriterState | None:
    """Decode a writer's state; None if the writer does not exist."""
    if cell is None:
        return None
    incarnation, nonce, sequence, offsets = orjson.loads(cell.data)
    return WriterState(incarnation, nonce, sequence, tuple(offsets))


def encode_message(message: Message) -> bytes:
    """Encode a message: a header line in JSON, then the raw value."""
    header = encode_fields(
        message.key, message.writer, message.incarnation, message.sequence, message.value is None
    )
    return header + b"\n" + (message.value or b"")


def decode_message(cell_key: str, cell: Cell) -> Message:
    """Decode a message from its cell; the cell's key ends with the offset."""
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
