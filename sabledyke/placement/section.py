"""The operator's section ``[sites]``: capacity of each site, and distances between sites."""

from __future__ import annotations

from itertools import combinations
from typing import Annotated, Any

from msgspec import Meta

from sabledyke.errors import OperatorError
from sabledyke.placement.volume_placement import SiteMap
from sabledyke.toml_tables import Table, convert

MAX_SITES = 64
UnitsPerSecond = Annotated[float, Meta(gt=0, lt=1e12)]


class DistanceRow(Table, frozen=True, kw_only=True):
    """Distance between two sites, in milliseconds."""

    between: tuple[str, ...]
    ms: Annotated[float, Meta(ge=0, le=1e6)]


class SitesTable(Table, frozen=True, kw_only=True):
    """Keys of the section in the operator's file."""

    room: Annotated[dict[str, UnitsPerSecond], Meta(min_length=1, max_length=MAX_SITES)]
    distance: tuple[DistanceRow, ...] = ()


def read(data: dict[str, Any]) -> SiteMap | None:
    """Return the section, or None if the file has none.

    Raises:
        OperatorError: The section is invalid.
    """
    if not data:
        return None
    table = convert(data, SitesTable, "sites")
    distance_ms: dict[tuple[str, str], float] = {}
    for index, row in enumerate(table.distance):
        _add_distance(distance_ms, row, f"sites.distance[{index}]", table)
    for site, other in combinations(sorted(table.room), 2):
        if (site, other) not in distance_ms:
            raise OperatorError(f"sites.distance between {site} and {other} is missing")
    return SiteMap(table.room, distance_ms)


def _add_distance(
    distance_ms: dict[tuple[str, str], float], row: DistanceRow, where: str, table: SitesTable
) -> None:
    pair = row.between
    if len(pair) != 2 or pair[0] == pair[1] or any(name not in table.room for name in pair):
        raise OperatorError(f"{where}.between must name two sites of sites.room, not {list(pair)}")
    site, other = pair
    known_ms = distance_ms.get((site, other), row.ms)
    if known_ms != row.ms:
        raise OperatorError(f"{where}: {site} and {other} are {known_ms:g} ms apart in another row")
    distance_ms[site, other] = row.ms
    distance_ms[other, site] = row.ms
