"""Where a volume is at home: weighted rendezvous hashing with bounded loads, and distances. Pure, the same
everywhere.

Published anchors: rendezvous (highest random weight) hashing, its weighted form ``w / -ln(u)``, and
consistent hashing with bounded loads: a place takes no more than its bound, and what does not fit goes to
the next best. Nothing here draws at random: all comes from the names.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b
from math import log

BOUND = 1.25  # times the mean of its site's members that one of them may hold


@dataclass(slots=True, frozen=True)
class Home:
    """Where a volume's clients go; who began a keyed write at ``before`` sends it again
    there in its window.
    """

    name: str  # the volume, 16 hex digits
    site: str
    member: str
    origin: str  # the site where it first was
    before: str = ""  # the member that it was at last
    moves: int = 0
    offset: int = 0


@dataclass(slots=True, frozen=True)
class Map:
    """Units a second that each site bears, and how far they are from each other."""

    room: Mapping[str, float]
    distance: Mapping[tuple[str, str], float]

    def apart(self, one: str, other: str) -> float:
        """The distance; 0 to itself."""
        return 0.0 if one == other else self.distance[one, other]


def unit(*words: str) -> float:
    """A figure in (0, 1) that the words alone decide."""
    digest = blake2b("\0".join(words).encode(), digest_size=8).digest()
    return (int.from_bytes(digest, "big") + 0.5) / 2**64


def ranked(volume: str, weights: Mapping[str, float]) -> list[str]:
    """Names by weighted rendezvous, the best first; those without weight are left out."""
    scores = {name: weight / -log(unit(volume, name)) for name, weight in weights.items() if weight > 0}
    return sorted(scores, key=lambda name: (-scores[name], name))


def leaves(volume: str, site: str, left: float) -> bool:
    """Does this volume leave a site of which ``left`` of its weight is left? Who left at more leaves at less
    too.
    """
    return unit(volume, site, "leaves") >= left


def destination(
    volume: str, load: float, site: str, plan: Map, used: Mapping[str, float], closed: Iterable[str]
) -> str | None:
    """The nearest site that has room, by rendezvous among those as near; None where none has."""
    shut = {site, *closed}
    rings: dict[float, dict[str, float]] = {}
    for other, room in plan.room.items():
        if other not in shut:
            rings.setdefault(plan.apart(site, other), {})[other] = room
    for _, ring in sorted(rings.items()):
        for other in ranked(volume, ring):
            if used.get(other, 0.0) + load <= plan.room[other]:
                return other
    return None


def member(volume: str, load: float, members: Iterable[str], held: Mapping[str, float]) -> str | None:
    """One of a site's members, none of which gets more than ``BOUND`` times their mean; None where there are
    none.
    """
    names = sorted(members)
    if not names:
        return None
    most = BOUND * (sum(held.get(name, 0.0) for name in names) + load) / len(names)
    order = ranked(volume, dict.fromkeys(names, 1.0))
    return next((name for name in order if held.get(name, 0.0) + load <= max(most, load)), order[0])
