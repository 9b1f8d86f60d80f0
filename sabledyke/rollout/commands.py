"""Moves of an operator: decided by the current view, and decided anew where another write came between.

Used by the command line and by experiments.
"""

from __future__ import annotations

from collections.abc import Callable

from sabledyke.compacted_log.client import CompactedLog, LogWriter
from sabledyke.compacted_log.reader import LogReader
from sabledyke.compacted_log.records import Draft
from sabledyke.errors import CompactedLogError, WriteConflictError
from sabledyke.rollout.fleet_view import FleetView, view_of
from sabledyke.rollout.record_codec import encode, key_of
from sabledyke.rollout.records import FLEET_TOPIC
from sabledyke.rollout.state_changes import StateChange

OPERATOR = "operator"
"""Name of the writer."""


async def append_change(writer: LogWriter, change: StateChange) -> None:
    """Write a move to the log.

    Raises:
        Conflict: What the move rests on no longer stands.
        StaleWriterError: Another writer holds a later token.
    """
    drafts = [Draft(key_of(record), encode(record)) for record in change.records]
    drafts += [Draft(key, None) for key in change.deleted_keys]
    await writer.append(drafts, dict(change.expected_offsets), change.expected_end)


async def read_view(compacted_log: CompactedLog, reader: LogReader) -> FleetView:
    """Read the log to its end, and return all records that hold there."""
    await compacted_log.catch_up(FLEET_TOPIC, reader)
    return view_of(reader.latest, reader.position)


async def apply(
    compacted_log: CompactedLog,
    reader: LogReader,
    decide: Callable[[FleetView], StateChange],
    retries: int = 0,
) -> StateChange:
    """Write the move that is decided by the current view, and return it.

    Args:
        compacted_log: The log.
        reader: A reader of the fleet's topic.
        decide: Called with the view, again after a conflict; what it raises ends the call.
        retries: How often one move is tried again after a CompactedLogError, after which it may have been
        written; it takes effect once.
    """
    while True:
        change = decide(await read_view(compacted_log, reader))
        # Takes over from an operator that wrote before.
        writer = await compacted_log.claim_writer(FLEET_TOPIC, OPERATOR)
        if await _written(writer, change, retries):
            return change


async def _written(writer: LogWriter, change: StateChange, retries: int) -> bool:
    """Return whether the move was written; False where it is to be decided anew."""
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
