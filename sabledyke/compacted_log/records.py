"""The board's terms: messages, what a topic's head says, cells of the shelf that it stands on. Plain data.

Offsets count from 1 and only rise; 0 stands for a key that was never written. Sizes are bytes. The anchors
are Kafka's log compaction (minimum lag, delete retention) and etcd's revisions (compare before a write).
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

import orjson

MAX_KEY_BYTES, MAX_VALUE_BYTES = 200, 16 * 1024  # bytes of a key and of a value
MAX_COMMIT_OPERATIONS = 100  # puts, drops or checks of one commit: etcd takes 128 by default
MAX_APPEND_MESSAGES = 20  # drafts of one append: each puts its message and its key's place
PAGE_MESSAGES = 256  # messages of one read


@dataclass(slots=True, frozen=True)
class Message:
    """The latest that was said of a key at its offset; ``value`` None for a tombstone."""

    offset: int
    key: str
    value: bytes | None
    writer: str
    incarnation: int
    sequence: int

    @property
    def size_bytes(self) -> int:
        """What it counts for."""
        return len(self.key) + len(self.value or b"")


@dataclass(slots=True, frozen=True)
class Draft:
    """What a writer wants to say; ``expects`` is the offset that the key must stand at, None for any."""

    key: str
    value: bytes | None
    expected_offset: int | None = None


@dataclass(slots=True, frozen=True)
class WriterIdentity:
    """One life of a writer; ``nonce`` tells two processes apart that took the same life at once."""

    name: str
    incarnation: int
    nonce: str


@dataclass(slots=True, frozen=True)
class TopicHead:
    """A topic as a whole: its next offset, up to where tombstones may be missing, and
    what could be cleaned.
    """

    next_offset: int = 1
    tombstone_floor: int = 0  # the last offset from which a tombstone was dropped
    size_bytes: int = 0
    dirty_bytes: int = 0  # of that, superseded
    tombstones: int = 0  # keys whose latest is a tombstone


@dataclass(slots=True, frozen=True)
class KeyPosition:
    """Where a key's latest message is."""

    offset: int
    size_bytes: int
    is_tombstone: bool


@dataclass(slots=True, frozen=True)
class WriterState:
    """What is remembered of a writer: its life, and the offsets of its last append, for a repeat of it."""

    incarnation: int
    nonce: str
    sequence: int
    offsets: tuple[int, ...] = ()


@dataclass(slots=True, frozen=True)
class Cell:
    """One entry of the shelf; ``version`` changes with every write to it, and is 0 where there is none."""

    version: int
    data: bytes


class Backend(Protocol):
    """What a board stands on: ordered keys, and commits that happen as one step or not at all."""

    async def get(self, keys: Sequence[str]) -> dict[str, Cell]:
        """Those of them that there are, as of one moment; a BoardFault without an answer."""

    async def scan(self, first: str, end: str, most: int) -> list[tuple[str, Cell]]:
        """Cells from ``first`` up to before ``end``, in order, ``most`` at the most."""

    async def commit(
        self, checks: Mapping[str, int], puts: Mapping[str, bytes], drops: Collection[str] = ()
    ) -> bool:
        """Write if every checked key has this version (0: is not there); False where one has not.

        A BoardFault leaves open whether it was done.
        """

    async def open(self) -> None:
        """Get ready; a ConfigError in one plain line where that cannot be."""

    async def close(self) -> None:
        """End what is open."""


def head_key(topic: str) -> str:
    """The cell of a topic's head."""
    return f"{topic}/h"


def message_key(topic: str, offset: int) -> str:
    """The cell of a message, in the order of offsets."""
    return f"{topic}/m/{offset:016x}"


def position_key(topic: str, key: str) -> str:
    """The cell of where a key's latest message is."""
    return f"{topic}/k/{key}"


def writer_key(topic: str, name: str) -> str:
    """The cell of a writer."""
    return f"{topic}/w/{name}"


def register_key(topic: str, name: str) -> str:
    """The cell of a register (see ``register``)."""
    return f"{topic}/r/{name}"


def compaction_key(topic: str) -> str:
    """The cell of how far cleaning has come."""
    return f"{topic}/c"


def encode_fields(*fields: object) -> bytes:
    """Fields of one cell."""
    return orjson.dumps(fields)


def decode_head(cell: Cell | None) -> TopicHead:
    """A head as it was packed; that of a topic that nobody wrote to is the first."""
    return TopicHead() if cell is None else TopicHead(*orjson.loads(cell.data))


def decode_position(cell: Cell | None) -> KeyPosition:
    """A key's place."""
    return KeyPosition(0, 0, False) if cell is None else KeyPosition(*orjson.loads(cell.data))


def decode_writer_state(cell: Cell | None) -> WriterState | None:
    """A writer's record."""
    if cell is None:
        return None
    life, nonce, seq, offsets = orjson.loads(cell.data)
    return WriterState(life, nonce, seq, tuple(offsets))


def cell_version(cells: Mapping[str, Cell], key: str) -> int:
    """A cell's version among those that were read; 0 where there is none."""
    return cells[key].version if key in cells else 0


def decode_message(name: str, cell: Cell) -> Message:
    """A message from its cell: a line of JSON about it, then its value."""
    about, _, value = cell.data.partition(b"\n")
    key, writer, life, seq, tomb = orjson.loads(about)
    return Message(int(name.rpartition("/")[2], 16), key, None if tomb else value, writer, life, seq)


def encode_message(message: Message) -> bytes:
    """The cell of a message."""
    about = encode_fields(
        message.key, message.writer, message.incarnation, message.sequence, message.value is None
    )
    return about + b"\n" + (message.value or b"")
