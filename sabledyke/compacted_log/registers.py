"""Registers: cells in which a writer stores its latest value alone, without an offset or a history.

They are for what is written often and matters only while it is new, such as heartbeats. In a topic's log,
each of these would conflict with all other appends at the topic's head, and be compacted a moment later. A
write depends on the writer's own cell, which only a later incarnation changes: it is one commit without a
read before it, and an older incarnation is rejected.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

from sabledyke.compacted_log.append import validate_value
from sabledyke.compacted_log.records import (
    Backend,
    Cell,
    WriterIdentity,
    cell_version,
    decode_writer_state,
    register_key,
    writer_key,
)
from sabledyke.errors import StaleWriterError

PAGE_CELLS = 64  # of one read: at most 1 MiB
MAX_CELLS = 4096  # that are read of one topic

_AFTER_ALL_NAMES = "~"


class RegisterWriter:
    """One incarnation of a writer on the registers of one topic."""

    def __init__(self, backend: Backend, topic: str, identity: WriterIdentity) -> None:
        """Make a writer for this incarnation, which was claimed before."""
        self._backend = backend
        self._topic = topic
        self._identity = identity
        self._writer_version = 0  # of the cell that has this incarnation; 0 before it was read

    async def put(self, values: Mapping[str, bytes]) -> None:
        """Write values by the names of their registers.

        Raises:
            LogFullError: A value is too large.
            StaleWriterError: A later incarnation has begun.
            CompactedLogError: The values may have been written.
        """
        for name, value in values.items():
            validate_value(name, value)
        writer = writer_key(self._topic, self._identity.name)
        if not self._writer_version:
            self._writer_version = await self._read_writer_version(writer)
        puts = {register_key(self._topic, name): value for name, value in values.items()}
        if not await self._backend.commit({writer: self._writer_version}, puts):
            raise self._stale_error()

    async def _read_writer_version(self, writer: str) -> int:
        found = await self._backend.get([writer])
        state = decode_writer_state(found.get(writer))
        if state is None or state.nonce != self._identity.nonce:
            raise self._stale_error()
        return cell_version(found, writer)

    def _stale_error(self) -> StaleWriterError:
        writer = self._identity
        return StaleWriterError(
            f"{writer.name}: life {writer.incarnation} writes after a later one has begun"
        )


async def read_values(backend: Backend, topic: str) -> dict[str, bytes]:
    """Return the values of all registers by name; as of several moments where they take several pages."""
    return {name: cell.data for name, cell in (await read_cells(backend, topic)).items()}


async def read_cells(backend: Backend, topic: str) -> dict[str, Cell]:
    """Return the cells of all registers by name, as ``read_values`` does."""
    prefix = register_key(topic, "")
    end = register_key(topic, _AFTER_ALL_NAMES)
    first = prefix
    found: dict[str, Cell] = {}
    while len(found) < MAX_CELLS:
        page = await backend.scan(first, end, PAGE_CELLS)
        found.update((key.removeprefix(prefix), cell) for key, cell in page)
        if len(page) < PAGE_CELLS:
            break
        first = page[-1][0] + "\0"
    return found


async def delete(backend: Backend, topic: str, names: Collection[str]) -> None:
    """Remove registers, until somebody writes them again."""
    await backend.commit({}, {}, [register_key(topic, name) for name in names])
