"""The terms of leases: times, what a holder asks of the authority, and what that answers. Plain data.

All times are milliseconds on the clock of whoever counts them; no two clocks are ever compared. Source:
Gray and Cheriton, 'Leases' (SOSP 1989), for the bound on rates; Burrows, 'The Chubby lock service' (OSDI
2006), for sequencers, here called fencing tokens, and for counting a lease from before it was asked for.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from sabledyke.errors import AuthorityError as AuthorityError

Stamp = tuple[int, int]  # token and beat of a lease's row: whoever renews or takes it changes them

NOBODY: Stamp = (0, 0)  # of a lease that nobody ever held


@dataclass(slots=True, frozen=True)
class Times:
    """How long a lease lasts, and how far clocks are trusted.

    ``ttl``: a lease that is not renewed for so long may be taken by another.
    ``renew``: a holder renews, and others look, about this often.
    ``margin``: a holder stops acting so long before its lease ends, for a step that it has begun.
    ``drift``: the rate of any clock differs from true time by at most this part of it.
    ``counts``: the authority counts leases out by its own clock; else whoever wants one watches it stand
    still.
    """

    ttl: float = 3000.0
    renew: float = 750.0
    margin: float = 300.0
    drift: float = 0.02
    counts: bool = False

    @property
    def acts(self) -> float:
        """For how long after it asked a holder may act.

        Its clock may be slow and the one that counts its lease out fast: of ``ttl`` there, (1 - drift) /
        (1 + drift) is the least that passes here.
        """
        return self.ttl * (1 - self.drift) / (1 + self.drift) - self.margin


@dataclass(slots=True, frozen=True)
class Look:
    """Who holds it?"""


@dataclass(slots=True, frozen=True)
class Take:
    """Take it, if it still stands as it was seen."""

    stamp: Stamp


@dataclass(slots=True, frozen=True)
class Renew:
    """Keep it, if it is still held under this token."""

    token: int


@dataclass(slots=True, frozen=True)
class Release:
    """Give it up, if it is still held under this token."""

    token: int


Ask = Look | Take | Renew | Release


@dataclass(slots=True, frozen=True)
class Sight:
    """How the lease stands: the answer to ``Look``, and to any other that could not be done."""

    stamp: Stamp
    holder: str  # "" for nobody
    free: bool  # it may be taken at once
    ttl: float = 0.0  # how long its holder may rely on it, where that is known


@dataclass(slots=True, frozen=True)
class Granted:
    """The answer to ``Take``: it is held, under a token higher than any before."""

    token: int


@dataclass(slots=True, frozen=True)
class Renewed:
    """The answer to ``Renew``; ``recalled`` where an operator wants it given up."""

    recalled: bool = False


Reply = Sight | Granted | Renewed


@dataclass(slots=True, frozen=True)
class Standing:
    """A lease as operators see it.

    ``left`` in ms by the authority's clock or the wall's, and not decided by.
    """

    duty: str
    holder: str
    token: int
    left: float
    recalled: bool
    done: int  # when the duty was last done, in Unix ms; 0 for never


class Authority(Protocol):
    """Who keeps the leases: it does each ask as one step, or not at all."""

    counts: bool  # see ``Times``

    async def ask(self, duty: str, me: str, ask: Ask) -> Reply:
        """Do it; an AuthorityError where it is not known to be done."""

    async def done(self, duty: str, token: int, at: int) -> bool:
        """Note that the duty was done, in Unix ms; False where a later token is known: it does not count."""

    async def last(self, duty: str) -> int:
        """When it was last done; 0 for never. Only for when to do it next: nothing safe hangs on it."""

    async def standing(self) -> list[Standing]:
        """Every lease, for operators."""

    async def recall(self, duty: str, *, at_once: bool) -> bool:
        """Ask its holder to give it up, or free it at once; False where nobody holds it.

        Freed at once, its holder may go on until it next renews: only fencing keeps the two apart.
        """

    async def open(self) -> None:
        """Get ready; a ConfigError in one plain line where that cannot be."""

    async def close(self) -> None:
        """End what is open."""
