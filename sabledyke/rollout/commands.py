"""What an operator says of a fleet: decided by all that was said so far, and anew where something crossed it.

Told: a board, a reader of it, and what to decide by the view. Used by the command line, and by experiments.
"""

from __future__ import annotations

from collections.abc import Callable

from sabledyke.compacted_log.client import Board, Pen
from sabledyke.compacted_log.reader import Follower
from sabledyke.compacted_log.records import Draft
from sabledyke.errors import BoardFault, Conflict
from sabledyke.rollout.fleet_view import FleetView, view_of
from sabledyke.rollout.planner import Move
from sabledyke.rollout.record_codec import encode, key_of
from sabledyke.rollout.records import FLEET_TOPIC

OPERATOR = "operator"  # the writer's name


async def append_move(pen: Pen, move: Move) -> None:
    """Carry out a move on the board; Conflict where it no longer stands, StaleWriter under an older token."""
    drafts = [Draft(key_of(record), encode(record)) for record in move.records]
    drafts += [Draft(name, None) for name in move.deleted_keys]
    await pen.append(drafts, dict(move.expected_offsets), move.expected_end)


async def read_view(board: Board, reader: Follower) -> FleetView:
    """The fleet as it stands."""
    await board.catch_up(FLEET_TOPIC, reader)
    return view_of(reader.state, reader.position)


async def apply(board: Board, reader: Follower, decide: Callable[[FleetView], Move], again: int = 0) -> Move:
    """The move that was written.

    After a BoardFault it may have been written; it is asked for ``again`` so many times, and taken once. What
    ``decide`` raises ends it.
    """
    while True:
        move = decide(await read_view(board, reader))
        pen = await board.claim(FLEET_TOPIC, OPERATOR)  # another operator's word since then shuts nobody out
        for left in reversed(range(again + 1)):
            try:
                await append_move(pen, move)
                return move
            except Conflict:
                break  # the fleet has moved on: look again
            except BoardFault:
                if not left:
                    raise
