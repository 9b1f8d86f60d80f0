"""Placement of volumes by weighted rendezvous hashing with bounded loads, and by distance. Pure.

The placement is deterministic: the same names give the same placement in every process. Sources: rendezvous
(highest random weight) hashing, its weighted form ``w / -ln(u)``, and consistent hashing with bounded loads:
a member or site accepts no load beyond its bound, and a volume that does not fit goes to the next best.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b
from math import log

MAX_LOAD_RATIO = 1.25
"""Maximum load of a member, as a multiple of the mean over the members of its site."""


@dataclass(slots=True, frozen=True)
class VolumePlacement:
    """The member that serves a volume's clients.

    A client that began a write with an idempotency key at ``previous_member`` may repeat it at ``member``
    within the deduplication window.

    Attributes:
        volume: The volume, as 16 hex digits.
        site: The site of the member.
        member: The member.
        origin_site: The site where the volume was first placed.
        previous_member: The member where the volume was placed before, "" if it has not moved.
        move_count: Number of moves of the volume.
        offset: Offset of the placement on the log; not stored with it.
    """

    volume: str
    site: str
    member: str
    origin_site: str
    previous_member: str = ""
    move_count: int = 0
    offset: int = 0


@dataclass(slots=True, frozen=True)
class SiteMap:
    """Capacity of each site in units per second, and the distances between them."""

    capacity: Mapping[str, float]
    distance_ms: Mapping[tuple[str, str], float]

    def distance_between_ms(self, site: str, other: str) -> float:
        """Return the distance between two sites in milliseconds; 0 from a site to itself."""
        return 0.0 if site == other else self.distance_ms[site, other]


def ranked_by_weight(volume: str, weights: Mapping[str, float]) -> list[str]:
    """Return names by weighted rendezvous, the best first; names without weight are omitted."""
    scores = {name: weight / -log(unit_hash(volume, name)) for name, weight in weights.items() if weight > 0}
    return sorted(scores, key=lambda name: (-scores[name], name))


def is_moved_at(volume: str, site: str, remaining_weight: float) -> bool:
    """Return whether a volume is moved off its site while this fraction of the site's weight remains.

    The sets of moved volumes are nested: a volume that is moved at some weight is moved at every smaller one.
    """
    return unit_hash(volume, site, "leaves") >= remaining_weight


def nearest_site_with_capacity(
    volume: str,
    load: float,
    site: str,
    site_map: SiteMap,
    load_by_site: Mapping[str, float],
    closed: Iterable[str],
) -> str | None:
    """Return the nearest site with capacity for a volume, by rendezvous among sites at equal distance.

    Args:
        volume: The volume.
        load: Its load in units per second.
        site: The site that it moves away from.
        site_map: Capacities and distances.
        load_by_site: Load of each site by the volumes that are placed there.
        closed: Sites that accept no volumes.

    Returns:
        The site; None if no site has the capacity.
    """
    excluded = {site, *closed}
    by_distance: dict[float, dict[str, float]] = {}
    for other, capacity in site_map.capacity.items():
        if other not in excluded:
            by_distance.setdefault(site_map.distance_between_ms(site, other), {})[other] = capacity
    for _, capacities in sorted(by_distance.items()):
        for other in ranked_by_weight(volume, capacities):
            if load_by_site.get(other, 0.0) + load <= capacities[other]:
                return other
    return None


def member_for(
    volume: str, load: float, members: Iterable[str], load_by_member: Mapping[str, float]
) -> str | None:
    """Return the member of a site that a volume is placed on, within ``MAX_LOAD_RATIO``.

    Returns:
        The member; None if there are no members.
    """
    names = sorted(members)
    if not names:
        return None
    total = sum(load_by_member.get(name, 0.0) for name in names) + load
    max_load = max(MAX_LOAD_RATIO * total / len(names), load)
    ranked = ranked_by_weight(volume, dict.fromkeys(names, 1.0))
    fitting = (name for name in ranked if load_by_member.get(name, 0.0) + load <= max_load)
    return next(fitting, ranked[0])


def unit_hash(*names: str) -> float:
    """Return a number in (0, 1) that depends only on the names."""
    digest = blake2b("\0".join(names).encode(), digest_size=8).digest()
    return (int.from_bytes(digest, "big") + 0.5) / 2**64
