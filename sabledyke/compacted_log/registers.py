"""Cells in which a writer keeps its latest word alone: no offset, no past, and in no other writer's way.

For what is said often and matters only while it is new, as signs of life. In a log each of them would cross
all others at the topic's head, and be cleaned a moment later. A write rests on the writer's own cell, which
only a later life of it changes: one commit without a look before it, and none of an older life.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from sabledyke.compacted_log.records import (
    VALUE_MOST,
    Cell,
    Shelf,
    Writer,
    register_key,
    said_of,
    version_of,
    writer_key,
)
from sabledyke.errors import LogFullError, StaleWriterError

PAGE = 64  # cells of one read: at most 1 MiB
MOST = 4096  # cells that are read of one topic


class Register:
    """One writer's life on one topic's registers."""

    def __init__(self, shelf: Shelf, topic: str, writer: Writer) -> None:
        self._shelf, self._topic, self._writer = shelf, topic, writer
        self._version = 0  # of the cell in which this life stands; 0 before it was looked for

    async def put(self, values: Mapping[str, bytes]) -> None:
        """Write these; StaleWriter where a later life has begun. After a BoardFault they may be written."""
        for name, value in values.items():
            if len(value) > VALUE_MOST:
                raise LogFullError(f"{name}: a value has at most {VALUE_MOST} bytes, not {len(value)}")
        me = writer_key(self._topic, self._writer.name)
        if not self._version:
            cells = await self._shelf.get([me])
            said = said_of(cells.get(me))
            if said is None or said.nonce != self._writer.nonce:
                raise self._stale()
            self._version = version_of(cells, me)
        puts = {register_key(self._topic, name): value for name, value in values.items()}
        if not await self._shelf.commit({me: self._version}, puts):
            raise self._stale()

    def _stale(self) -> StaleWriterError:
        name, life = self._writer.name, self._writer.life
        return StaleWriterError(f"{name}: life {life} writes after a later one has begun")


async def read(shelf: Shelf, topic: str) -> dict[str, bytes]:
    """All of them as they stand, by name; not as of one moment where they take several pages."""
    return {name: cell.data for name, cell in (await cells(shelf, topic)).items()}


async def cells(shelf: Shelf, topic: str) -> dict[str, Cell]:
    """The same, with the version of each."""
    found, first, end = dict[str, Cell](), register_key(topic, ""), register_key(topic, "~")
    while len(found) < MOST:
        page = await shelf.scan(first, end, PAGE)
        found.update((key.removeprefix(register_key(topic, "")), cell) for key, cell in page)
        if len(page) < PAGE:
            break
        first = page[-1][0] + "\0"
    return found


async def drop(shelf: Shelf, topic: str, names: Collection[str]) -> None:
    """They hold nothing any more, until somebody writes there again."""
    await shelf.commit({}, {}, [register_key(topic, name) for name in names])
