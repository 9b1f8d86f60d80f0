"""The operator's section ``[sites]``: what each site bears, and how far they are apart. Checked whole."""

from __future__ import annotations

from itertools import combinations
from typing import Annotated, Any

from msgspec import Meta

from sabledyke.errors import OperatorError
from sabledyke.placement.volume_placement import Map
from sabledyke.toml_tables import Table, convert

MOST = 64


class DistanceRow(Table, frozen=True, kw_only=True):
    """Two sites, and how far they are apart."""

    between: tuple[str, ...]
    ms: Annotated[float, Meta(ge=0, le=1e6)]


class SitesTable(Table, frozen=True, kw_only=True):
    """As the file has it."""

    room: Annotated[dict[str, Annotated[float, Meta(gt=0, lt=1e12)]], Meta(min_length=1, max_length=MOST)]
    distance: tuple[DistanceRow, ...] = ()


def read(data: dict[str, Any]) -> Map | None:
    """The section, checked; None where there is none."""
    if not data:
        return None
    said = convert(data, SitesTable, "sites")
    room, distance = said.room, dict[tuple[str, str], float]()
    for i, row in enumerate(said.distance):
        pair, ms, where = row.between, row.ms, f"sites.distance[{i}]"
        if len(pair) != 2 or pair[0] == pair[1] or any(name not in room for name in pair):
            raise OperatorError(f"{where}.between must name two sites of sites.room, not {list(pair)}")
        one, other = pair
        if distance.get((one, other), ms) != ms:
            raise OperatorError(f"{where}: {one} and {other} are {distance[one, other]:g} ms apart elsewhere")
        distance[one, other] = distance[other, one] = ms
    for one, other in combinations(sorted(room), 2):
        if (one, other) not in distance:
            raise OperatorError(f"sites.distance between {one} and {other} is missing")
    return Map(room, distance)
