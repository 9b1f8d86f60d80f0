"""Moves of an operator: decided by the current view, and decided anew where another write came between.

Used by the command line and by experiments.
"""

from __future__ import annotations

from collections.abc import Callable

from sabledyke.compacted_log.client import CompactedLog, LogWriter
from sabledyke.compacted_log.reader import LogReader
from sabledyke.compacted_log.records import NewMessage
from sabledyke.errors import CompactedLogError, WriteConflictError
from sabledyke.rollout.fleet_view import FleetView, view_of
from sabledyke.rollout.moves import Move
from sabledyke.rollout.record_codec import encode, key_of
from sabledyke.rollout.records import FLEET_TOPIC

OPERATOR = "operator"
"""Name of the writer."""


async def append_move(writer: LogWriter, move: Move) -> None:
    """Write a move to the log.

    Raises:
        Conflict: What the move rests on no longer stands.
        StaleWriterError: Another writer holds a later token.
    """
    new_messages = [NewMessage(key_of(record), encode(record)) for record in move.records]
    new_messages += [NewMessage(key, None) for key in move.deleted_keys]
    await writer.append(new_messages, dict(move.expected_offsets), move.expected_end)


async def read_view(compacted_log: CompactedLog, reader: LogReader) -> FleetView:
    """Read the log to its end, and return all records that hold there."""
    await compacted_log.catch_up(FLEET_TOPIC, reader)
    return view_of(reader.latest, reader.position)


async def apply(
    compacted_log: CompactedLog, reader: LogReader, decide: Callable[[FleetView], Move], retries: int = 0
) -> Move:
    """Write the move that is decided by the current view, and return it.

    Args:
        compacted_log: The log.
        reader: A reader of the fleet's topic.
        decide: Called with the view, again after a conflict; what it raises ends the call.
        retries: How often one move is tried again after a CompactedLogError, after which it may have been
        written; it takes effect once.
    """
    while True:
        move = decide(await read_view(compacted_log, reader))
        # Takes over from an operator that wrote before.
        writer = await compacted_log.claim_writer(FLEET_TOPIC, OPERATOR)
        if await _written(writer, move, retries):
            return move


async def _written(writer: LogWriter, move: Move, retries: int) -> bool:
    """Return whether the move was written; False where it is to be decided anew."""
    for retries_left in reversed(range(retries + 1)):
        try:
            await append_move(writer, move)
            return True
        except WriteConflictError:
            return False
        except CompactedLogError:
            if not retries_left:
                raise
    raise AssertionError("the last attempt returns or raises")
