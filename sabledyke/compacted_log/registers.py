"""Registers: cells that hold only the latest value of a writer, without an offset or a history.

They are for values that are written often and matter only while they are new, such as heartbeats. As messages
of a topic, such values would conflict with all other appends at the topic's head, and be compacted soon
afterwards. A write to a register checks only the writer's own cell, which only a later incarnation changes:
it takes one commit without a read before it, and a write of an older incarnation is rejected.
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

PAGE_CELLS = 64  # cells per read, at most 1 MiB
MAX_CELLS = 4096  # read limit for one topic

_AFTER_ALL_NAMES = "~"  # sorts after all other printable ASCII characters


class RegisterWriter:
    """Writes registers of one topic as one incarnation of a writer."""

    def __init__(self, backend: Backend, topic: str, identity: WriterIdentity) -> None:
        """Make a writer for this incarnation, which must have been claimed before."""
        self._backend = backend
        self._topic = topic
        self._identity = identity
        self._writer_version = 0  # version of this incarnation's cell; 0 until it is read

    async def put(self, values: Mapping[str, bytes]) -> None:
        """Write values to registers.

        Args:
            values: Values by the names of their registers.

        Raises:
            LogFullError: A value is too large.
            StaleWriterError: A later incarnation has begun.
            CompactedLogError: The outcome of the write is unknown.
        """
        for name, value in values.items():
            validate_value(name, value)
        state_key = writer_key(self._topic, self._identity.name)
        if not self._writer_version:
            self._writer_version = await self._read_writer_version(state_key)
        puts = {register_key(self._topic, name): value for name, value in values.items()}
        if not await self._backend.commit({state_key: self._writer_version}, puts):
            raise self._stale_error()

    async def _read_writer_version(self, state_key: str) -> int:
        found = await self._backend.get([state_key])
        state = decode_writer_state(found.get(state_key))
        if state is None or state.nonce != self._identity.nonce:
            raise self._stale_error()
        return cell_version(found, state_key)

    def _stale_error(self) -> StaleWriterError:
        writer = self._identity
        return StaleWriterError(
            f"{writer.name}: write of incarnation {writer.incarnation} rejected: a later one has begun"
        )


async def read_values(backend: Backend, topic: str) -> dict[str, bytes]:
    """Return the values of all registers by name; several pages are not a consistent snapshot."""
    return {name: cell.data for name, cell in (await read_cells(backend, topic)).items()}


async def read_cells(backend: Backend, topic: str) -> dict[str, Cell]:
    """Return the cells of all registers by name; several pages are not a consistent snapshot."""
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
    """Delete registers; a later write creates them again."""
    await backend.commit({}, {}, [register_key(topic, name) for name in names])
