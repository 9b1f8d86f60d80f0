"""Changes by an operator: decided from the current view, and decided again after a write conflict.

Used by the command line and by experiments.
"""

from __future__ import annotations

from collections.abc import Callable

from sabledyke.compacted_log.client import CompactedLog, LogWriter
from sabledyke.compacted_log.reader import LogReader
from sabledyke.compacted_log.records import NewMessage
from sabledyke.errors import CompactedLogError, WriteConflictError
from sabledyke.rollout.fleet_view import FleetView, view_of
from sabledyke.rollout.record_codec import encode, key_of
from sabledyke.rollout.records import FLEET_TOPIC
from sabledyke.rollout.state_changes import StateChange

OPERATOR = "operator"
"""Writer name of operators' commands on the log."""


async def append_change(writer: LogWriter, change: StateChange) -> None:
    """Write a change to the log.

    Raises:
        WriteConflictError: A condition of the change no longer holds.
        StaleWriterError: Another writer holds a later token.
    """
    new_messages = [NewMessage(key_of(record), encode(record)) for record in change.records]
    new_messages += [NewMessage(key, None) for key in change.deleted_keys]
    await writer.append(new_messages, dict(change.expected_offsets), change.expected_end)


async def read_view(compacted_log: CompactedLog, reader: LogReader) -> FleetView:
    """Read the log to its end, and return the view of its records."""
    await compacted_log.catch_up(FLEET_TOPIC, reader)
    return view_of(reader.latest, reader.position)


async def apply(
    compacted_log: CompactedLog,
    reader: LogReader,
    decide: Callable[[FleetView], StateChange],
    retries: int = 0,
) -> StateChange:
    """Write the change that is decided from the current view, and return it.

    Args:
        compacted_log: The log.
        reader: A reader of the fleet's topic.
        decide: Called with the view, and again after a conflict; its exceptions are passed on.
        retries: Number of retries after a CompactedLogError, which leaves unknown whether the change was
            written; the change takes effect once.
    """
    while True:
        change = decide(await read_view(compacted_log, reader))
        # Fences off the operator command that wrote before.
        writer = await compacted_log.claim_writer(FLEET_TOPIC, OPERATOR)
        if await _written(writer, change, retries):
            return change


async def _written(writer: LogWriter, change: StateChange, retries: int) -> bool:
    """Return whether the change was written; False if it must be decided again."""
    for retries_left in reversed(range(retries + 1)):
        try:
            await append_change(writer, change)
            return True
        except WriteConflictError:
            return False
        except CompactedLogError:
            if not retries_left:
                raise
    raise AssertionError("the last attempt returns or raises")
