"""The states to record for ended writes, by the names of the writes.

Decides which of two states for one write stands, and which states go into the next batch.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import islice

from sabledyke.store.types import Settlement, WriteState

_STRENGTH = {  # of two states for one write, the stronger stands
    None: 0,
    WriteState.NEVER: 1,
    WriteState.UNKNOWN: 2,
    WriteState.SERVED: 3,
}


def merge_settlements(states: dict[str, WriteState], settlements: Iterable[Settlement | None]) -> None:
    """Add settlements to ``states``, each unless a stronger state of its write stands there."""
    for settlement in settlements:
        if settlement is not None and _STRENGTH[settlement.state] > _STRENGTH[states.get(settlement.name)]:
            states[settlement.name] = settlement.state


def take_states(
    waiting: dict[str, WriteState], limit: int, completed: Iterable[Settlement | None]
) -> dict[str, WriteState]:
    """Remove the oldest of the waiting states, and return them merged with others of the same batch.

    Args:
        waiting: The states that wait for a batch, oldest first.
        limit: The number of these to take.
        completed: States that come with the journal entries of the same batch.
    """
    states = dict(islice(waiting.items(), limit))
    for name in states:
        del waiting[name]
    merge_settlements(states, completed)
    return states
