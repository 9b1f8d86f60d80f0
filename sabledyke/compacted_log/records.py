"""The board's terms: messages, what a topic's head says, cells of the shelf that it stands on. Plain data.

Offsets count from 1 and only rise; 0 stands for a key that was never written. Sizes are bytes. The anchors
are Kafka's log compaction (minimum lag, delete retention) and etcd's revisions (compare before a write).
"""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

import orjson

KEY_MOST, VALUE_MOST = 200, 16 * 1024  # bytes of a key and of a value
OPERATIONS = 100  # puts, drops or checks of one commit: etcd takes 128 by default
BATCH = 20  # drafts of one append: each puts its message and its key's place
PAGE = 256  # messages of one read


@dataclass(slots=True, frozen=True)
class Message:
    """The latest that was said of a key at its offset; ``value`` None for a tombstone."""

    offset: int
    key: str
    value: bytes | None
    writer: str
    life: int
    seq: int

    @property
    def size(self) -> int:
        """What it counts for."""
        return len(self.key) + len(self.value or b"")


@dataclass(slots=True, frozen=True)
class Draft:
    """What a writer wants to say; ``expects`` is the offset that the key must stand at, None for any."""

    key: str
    value: bytes | None
    expects: int | None = None


@dataclass(slots=True, frozen=True)
class Writer:
    """One life of a writer; ``nonce`` tells two processes apart that took the same life at once."""

    name: str
    life: int
    nonce: str


@dataclass(slots=True, frozen=True)
class Head:
    """A topic as a whole: its next offset, up to where tombstones may be missing, and
    what could be cleaned.
    """

    next: int = 1
    floor: int = 0  # the last offset from which a tombstone was dropped
    size: int = 0
    dirty: int = 0  # of that, superseded
    tombs: int = 0  # keys whose latest is a tombstone


@dataclass(slots=True, frozen=True)
class Place:
    """Where a key's latest message is."""

    offset: int
    size: int
    tomb: bool


@dataclass(slots=True, frozen=True)
class Said:
    """What is remembered of a writer: its life, and the offsets of its last append, for a repeat of it."""

    life: int
    nonce: str
    seq: int
    offsets: tuple[int, ...] = ()


@dataclass(slots=True, frozen=True)
class Cell:
    """One entry of the shelf; ``version`` changes with every write to it, and is 0 where there is none."""

    version: int
    data: bytes


class Shelf(Protocol):
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


def place_key(topic: str, key: str) -> str:
    """The cell of where a key's latest message is."""
    return f"{topic}/k/{key}"


def writer_key(topic: str, name: str) -> str:
    """The cell of a writer."""
    return f"{topic}/w/{name}"


def register_key(topic: str, name: str) -> str:
    """The cell of a register (see ``register``)."""
    return f"{topic}/r/{name}"


def cleaner_key(topic: str) -> str:
    """The cell of how far cleaning has come."""
    return f"{topic}/c"


def pack(*fields: object) -> bytes:
    """Fields of one cell."""
    return orjson.dumps(fields)


def head_of(cell: Cell | None) -> Head:
    """A head as it was packed; that of a topic that nobody wrote to is the first."""
    return Head() if cell is None else Head(*orjson.loads(cell.data))


def place_of(cell: Cell | None) -> Place:
    """A key's place."""
    return Place(0, 0, False) if cell is None else Place(*orjson.loads(cell.data))


def said_of(cell: Cell | None) -> Said | None:
    """A writer's record."""
    if cell is None:
        return None
    life, nonce, seq, offsets = orjson.loads(cell.data)
    return Said(life, nonce, seq, tuple(offsets))


def version_of(cells: Mapping[str, Cell], key: str) -> int:
    """A cell's version among those that were read; 0 where there is none."""
    return cells[key].version if key in cells else 0


def message_of(name: str, cell: Cell) -> Message:
    """A message from its cell: a line of JSON about it, then its value."""
    about, _, value = cell.data.partition(b"\n")
    key, writer, life, seq, tomb = orjson.loads(about)
    return Message(int(name.rpartition("/")[2], 16), key, None if tomb else value, writer, life, seq)


def pack_message(message: Message) -> bytes:
    """The cell of a message."""
    about = pack(message.key, message.writer, message.life, message.seq, message.value is None)
    return about + b"\n" + (message.value or b"")
