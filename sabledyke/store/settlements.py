"""The states to record for completed writes, by the names of the writes.

Decides which of two states of one write is recorded, and which states the next batch contains.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import islice

from sabledyke.store.types import Settlement, WriteState

# The state with the higher number replaces the other state of the same write.
_PRECEDENCE = {
    None: 0,
    WriteState.NEVER: 1,
    WriteState.UNKNOWN: 2,
    WriteState.SERVED: 3,
}


def merge_settlements(states: dict[str, WriteState], settlements: Iterable[Settlement | None]) -> None:
    """Add settlements to ``states``, except where the write's present state takes precedence."""
    for settlement in settlements:
        if (
            settlement is not None
            and _PRECEDENCE[settlement.state] > _PRECEDENCE[states.get(settlement.name)]
        ):
            states[settlement.name] = settlement.state


def take_states(
    waiting: dict[str, WriteState], limit: int, completed: Iterable[Settlement | None]
) -> dict[str, WriteState]:
    """Remove the oldest waiting states, and return them merged with others of the same batch.

    Args:
        waiting: The states that wait for a batch, oldest first.
        limit: The maximum number of waiting states to take.
        completed: States that belong to the journal entries of the same batch.
    """
    states = dict(islice(waiting.items(), limit))
    for name in states:
        del waiting[name]
    merge_settlements(states, completed)
    return states
