"""What an operator says of a fleet: decided by all that was said so far, and anew where something crossed it.

Told: a board, a reader of it, and what to decide by the view. Used by the command line, and by experiments.
"""

from __future__ import annotations

from collections.abc import Callable

from sabledyke.compacted_log.client import Board, Pen
from sabledyke.compacted_log.reader import Follower
from sabledyke.compacted_log.records import Draft
from sabledyke.errors import CompactedLogError, WriteConflictError
from sabledyke.rollout.planner import Move
from sabledyke.rollout.records import FLEET, View, key, pack, view

OPERATOR = "operator"  # the writer's name


async def write(pen: Pen, move: Move) -> None:
    """Carry out a move on the board; Conflict where it no longer stands, StaleWriter under an older token."""
    drafts = [Draft(key(record), pack(record)) for record in move.writes]
    drafts += [Draft(name, None) for name in move.ends]
    await pen.append(drafts, dict(move.expects), move.end)


async def look(board: Board, reader: Follower) -> View:
    """The fleet as it stands."""
    await board.catch_up(FLEET, reader)
    return view(reader.state, reader.position)


async def say(board: Board, reader: Follower, decide: Callable[[View], Move], again: int = 0) -> Move:
    """The move that was written.

    After a BoardFault it may have been written; it is asked for ``again`` so many times, and taken once. What
    ``decide`` raises ends it.
    """
    while True:
        move = decide(await look(board, reader))
        pen = await board.claim(FLEET, OPERATOR)  # another operator's word since then shuts nobody out
        for left in reversed(range(again + 1)):
            try:
                await write(pen, move)
                return move
            except WriteConflictError:
                break  # the fleet has moved on: look again
            except CompactedLogError:
                if not left:
                    raise
