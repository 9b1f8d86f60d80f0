"""Tracks for how long values have been unchanged: the only measure of time that the coordinator uses.

Records on the log hold no timestamps, so the coordinator measures every duration on its own clock.
"""

from __future__ import annotations

from collections.abc import Mapping

from sabledyke.rollout.fleet_view import FleetView
from sabledyke.rollout.record_codec import key_of
from sabledyke.rollout.release_order import next_members


class ChangeTracker:
    """Time of the last change of each value; holds only the values of the last observation."""

    def __init__(self) -> None:
        """Create a tracker that has observed nothing."""
        self._unchanged_since: dict[str, tuple[object, float]] = {}

    def observe(self, now_ms: float, values: Mapping[str, object]) -> None:
        """Record the current values; names that are not among them are dropped."""
        before = self._unchanged_since
        self._unchanged_since = {
            name: before[name] if name in before and before[name][0] == value else (value, now_ms)
            for name, value in values.items()
        }

    def unchanged_ms(self, now_ms: float, name: str) -> float:
        """Return for how long a value has been unchanged; 0 for a name that was not observed."""
        found = self._unchanged_since.get(name)
        return now_ms - found[1] if found is not None else 0.0


def tracked_values(view: FleetView, heartbeats: Mapping[str, object]) -> dict[str, object]:
    """Return the values whose time without change the coordinator decides by.

    Args:
        view: The fleet's records.
        heartbeats: For each member, a value that changes with each of its heartbeats.
    """
    values: dict[str, object] = {f"beat/{name}": heartbeats.get(name) for name in view.members}
    for ticket in view.tickets.values():
        values[key_of(ticket)] = (ticket.offset, view.offset_of(f"plan/{ticket.plan}"))
    for drain in view.drains.values():
        values[key_of(drain)] = (drain.offset, view.offset_of(f"plan/{drain.plan}"))
        values[f"warm/{drain.name}"] = drain.offset
    for plan in view.active:
        values[f"released/{plan.name}"] = plan.released
        values[f"step/{plan.name}"] = (plan.step, plan.stage)
        values[f"turn/{plan.name}"] = [member.name for member in next_members(plan, view)]
    return values
