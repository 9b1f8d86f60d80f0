"""The operator's section ``[sites]``: what each site bears, and how far they are apart. Checked whole."""

from __future__ import annotations

from itertools import combinations

from sabledyke.sites.homes import Map
from sabledyke.tables import OperatorError, Table

MOST = 64


def read(table: Table) -> Map | None:
    """The section, checked; None where there is none."""
    if table.empty:
        return None
    room: dict[str, float] = {}
    for name, units in table.take("room", dict, {}).items():
        if not isinstance(units, int | float) or isinstance(units, bool) or not 0 < units < 1e12:
            raise OperatorError(f"sites.room.{name} must be a number above 0, not {units!r}")
        room[name] = float(units)
    if not 1 <= len(room) <= MOST:
        raise OperatorError(f"sites.room names from 1 to {MOST} sites, not {len(room)}")
    distance: dict[tuple[str, str], float] = {}
    for row in table.rows("distance"):
        pair, ms = row.words("between"), row.number("ms", 0.0, 1e6, -1.0)
        row.end()
        if len(pair) != 2 or pair[0] == pair[1] or any(name not in room for name in pair):
            raise OperatorError(f"{row.where}.between must name two sites of sites.room, not {list(pair)}")
        one, other = pair
        if distance.get((one, other), ms) != ms:
            raise OperatorError(
                f"{row.where}: {one} and {other} are {distance[one, other]:g} ms apart elsewhere"
            )
        distance[one, other] = distance[other, one] = ms
    for one, other in combinations(sorted(room), 2):
        if (one, other) not in distance:
            raise OperatorError(f"sites.distance between {one} and {other} is missing")
    table.end()
    return Map(room, distance)
