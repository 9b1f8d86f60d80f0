"""Lease times, the requests a holder sends to the authority, and the replies. Plain data.

All times are milliseconds on the clock of the process that measures them; clocks of different processes are
never compared. Sources: Gray and Cheriton, 'Leases' (SOSP 1989), for the bound on clock rates; Burrows, 'The
Chubby lock service' (OSDI 2006), for sequencers, here called fencing tokens, and for counting a lease from
before it was requested.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple, Protocol


class LeaseVersion(NamedTuple):
    """Identifies one state of a lease: every acquisition and every renewal changes it."""

    token: int
    renewals: int


UNACQUIRED = LeaseVersion(0, 0)


@dataclass(slots=True, frozen=True)
class LeaseTimes:
    """How long a lease lasts, and how far clocks are trusted.

    Attributes:
        ttl_ms: A lease that is not renewed for this long may be acquired by another process.
        renew_interval_ms: How often a holder renews, and the others check, approximately.
        safety_margin_ms: How long before the end of its lease a holder stops acting, which leaves time for a
            step that it has begun.
        max_clock_drift: The rate of any clock differs from true time by at most this fraction.
        authority_tracks_expiry: Whether the authority expires leases by its own clock. Otherwise a process
            that wants a lease waits until it has seen it unchanged for the whole time.
    """

    ttl_ms: float = 3000.0
    renew_interval_ms: float = 750.0
    safety_margin_ms: float = 300.0
    max_clock_drift: float = 0.02
    authority_tracks_expiry: bool = False

    @property
    def operating_window_ms(self) -> float:
        """For how long after its request a holder may act.

        The holder's clock may be slow, and the one that expires its lease fast. While ``ttl_ms`` pass there,
        at least (1 - drift) / (1 + drift) of it pass here.
        """
        slowest_rate = (1 - self.max_clock_drift) / (1 + self.max_clock_drift)
        return self.ttl_ms * slowest_rate - self.safety_margin_ms


@dataclass(slots=True, frozen=True)
class Inspect:
    """Request the status of the lease."""


@dataclass(slots=True, frozen=True)
class Acquire:
    """Acquire the lease, if it is still at the version that was seen."""

    version: LeaseVersion


@dataclass(slots=True, frozen=True)
class Renew:
    """Renew the lease, if it is still held under this token."""

    token: int


@dataclass(slots=True, frozen=True)
class Release:
    """Release the lease, if it is still held under this token."""

    token: int


LeaseRequest = Inspect | Acquire | Renew | Release


@dataclass(slots=True, frozen=True)
class LeaseStatus:
    """The status of a lease: the reply to ``Inspect``, and to any other request that was not granted.

    Attributes:
        version: The version of the lease.
        holder: The holder's identifier, "" for none.
        is_free: Whether it may be acquired at once.
        ttl_ms: How long its holder may rely on it, where that is known.
    """

    version: LeaseVersion
    holder: str
    is_free: bool
    ttl_ms: float = 0.0


UNACQUIRED_STATUS = LeaseStatus(UNACQUIRED, holder="", is_free=True)


@dataclass(slots=True, frozen=True)
class Granted:
    """The reply to ``Acquire``: the lease is held, under a token higher than any before."""

    token: int


@dataclass(slots=True, frozen=True)
class Renewed:
    """The reply to ``Renew``; ``recalled`` where an operator wants the lease released."""

    recalled: bool = False


LeaseReply = LeaseStatus | Granted | Renewed


@dataclass(slots=True, frozen=True)
class LeaseSummary:
    """A lease as operators see it.

    Attributes:
        task_name: The leader task that the lease is for.
        holder: The holder's identifier, "" for none.
        token: The highest token that was granted.
        remaining_ms: Time left by the authority's clock or the wall clock; no decision depends on it.
        recalled: Whether an operator wants it released.
        last_completed_unix_ms: When the task was last completed; 0 for never.
    """

    task_name: str
    holder: str
    token: int
    remaining_ms: float
    recalled: bool
    last_completed_unix_ms: int


class Authority(Protocol):
    """The service that stores leases. It executes each request as one atomic step, or not at all."""

    tracks_expiry: bool  # see ``LeaseTimes.authority_tracks_expiry``

    async def open(self) -> None:
        """Prepare for use.

        Raises:
            ConfigError: It cannot be used as it is configured.
        """

    async def request(self, task_name: str, holder_id: str, request: LeaseRequest) -> LeaseReply:
        """Execute a request on the lease of a leader task.

        Raises:
            AuthorityError: It is not known whether the request was executed.
        """

    async def record_completion(self, task_name: str, token: int, at_unix_ms: int) -> bool:
        """Record when the task was completed.

        Returns:
            False where the token is not the latest one, so that nothing was recorded.
        """

    async def last_completed_unix_ms(self, task_name: str) -> int:
        """Return when the task was last completed; 0 for never.

        It only schedules the next run; safety does not depend on it.
        """

    async def list_leases(self) -> list[LeaseSummary]:
        """Return every lease, for operators."""

    async def recall(self, task_name: str, *, at_once: bool) -> bool:
        """Have its holder release a lease at its next renewal, or free it at once.

        After it was freed at once, the former holder may act until its next renewal; only fencing separates
        the two.

        Returns:
            False where nobody holds it.
        """

    async def close(self) -> None:
        """Close what is open."""
