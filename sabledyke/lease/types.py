"""Lease times, the requests that a holder sends to the authority, and the replies, as plain data.

All times are milliseconds on the clock of the process that measures them; clocks of different processes are
never compared. Sources: Gray and Cheriton, 'Leases' (SOSP 1989), for the bound on clock rates; Burrows, 'The
Chubby lock service' (OSDI 2006), for sequencers, here called fencing tokens, and for counting a lease from
before it was requested.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple, Protocol


class LeaseVersion(NamedTuple):
    """Version of a lease; every acquisition and every renewal changes it."""

    token: int
    renewals: int


UNACQUIRED = LeaseVersion(0, 0)


@dataclass(slots=True, frozen=True)
class LeaseTimes:
    """Durations of a lease, and the bound on clock drift that they rely on.

    Attributes:
        ttl_ms: Time after its last renewal from which another process may acquire the lease.
        renew_interval_ms: Approximate time between two renewals by the holder, and between two checks by the
            other instances.
        safety_margin_ms: Time before the end of its lease at which a holder stops operating, so that a step
            already in progress can finish.
        max_clock_drift: Largest fraction by which the rate of any clock differs from true time.
        authority_tracks_expiry: True if the authority expires leases by its own clock. Otherwise a process
            acquires a held lease only after it has seen it unchanged for the whole ``ttl_ms``.
    """

    ttl_ms: float = 3000.0
    renew_interval_ms: float = 750.0
    safety_margin_ms: float = 300.0
    max_clock_drift: float = 0.02
    authority_tracks_expiry: bool = False

    @property
    def operating_window_ms(self) -> float:
        """Time in ms, counted from the request for a grant or renewal, in which the holder may operate.

        The holder's clock may be slow, and the clock that expires its lease may be fast. While ``ttl_ms``
        pass on the fast one, at least (1 - drift) / (1 + drift) of that time pass on the slow one.
        """
        slowest_rate = (1 - self.max_clock_drift) / (1 + self.max_clock_drift)
        return self.ttl_ms * slowest_rate - self.safety_margin_ms


@dataclass(slots=True, frozen=True)
class Inspect:
    """Request the status of the lease."""


@dataclass(slots=True, frozen=True)
class Acquire:
    """Acquire the lease, if its version is still the one that was seen."""

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
    """Status of a lease: the reply to ``Inspect``, and to any other request that was not granted.

    Attributes:
        version: Version of the lease.
        holder: Identifier of the holder, "" for none.
        is_free: True if the lease may be acquired immediately.
        ttl_ms: Duration of the holder's lease in ms; 0 if unknown.
    """

    version: LeaseVersion
    holder: str
    is_free: bool
    ttl_ms: float = 0.0


UNACQUIRED_STATUS = LeaseStatus(UNACQUIRED, holder="", is_free=True)


@dataclass(slots=True, frozen=True)
class Granted:
    """Reply to ``Acquire``: the lease is held, under a token higher than any earlier one."""

    token: int


@dataclass(slots=True, frozen=True)
class Renewed:
    """Reply to ``Renew``; ``recalled`` is true if an operator has requested the lease's release."""

    recalled: bool = False


LeaseReply = LeaseStatus | Granted | Renewed


@dataclass(slots=True, frozen=True)
class LeaseSummary:
    """Lease as shown to operators.

    Attributes:
        task_name: Name of the leader task that the lease is for.
        holder: Identifier of the holder, "" for none.
        token: Highest token that was granted.
        remaining_ms: Time left by the authority's clock or the wall clock; no decision depends on it.
        recalled: True if an operator has requested its release.
        last_completed_unix_ms: Time of the task's last completion; 0 for never.
    """

    task_name: str
    holder: str
    token: int
    remaining_ms: float
    recalled: bool
    last_completed_unix_ms: int


class Authority(Protocol):
    """Service that stores leases and executes each request atomically.

    Attributes:
        tracks_expiry: Value for ``LeaseTimes.authority_tracks_expiry``.
    """

    tracks_expiry: bool

    async def open(self) -> None:
        """Prepare the authority for requests.

        Raises:
            ConfigError: The authority cannot be used as configured.
        """

    async def request(self, task_name: str, holder_id: str, request: LeaseRequest) -> LeaseReply:
        """Execute a request on the lease of a leader task.

        Raises:
            AuthorityError: No usable reply arrived; the request may have been executed.
        """

    async def record_completion(self, task_name: str, token: int, at_unix_ms: int) -> bool:
        """Record the time at which the task was completed.

        Returns:
            False if the token is not the latest one; nothing is recorded then.
        """

    async def last_completed_unix_ms(self, task_name: str) -> int:
        """Return the time of the task's last completion; 0 for never.

        The value only schedules the next run; safety does not depend on it.
        """

    async def list_leases(self) -> list[LeaseSummary]:
        """Return all leases, for display to operators."""

    async def recall(self, task_name: str, *, at_once: bool) -> bool:
        """Request the release of a lease at its holder's next renewal, or free it immediately.

        After an immediate release the former holder may operate until its next renewal, possibly at the same
        time as a new holder; only fencing then rejects its writes.

        Returns:
            False if no process holds the lease.
        """

    async def close(self) -> None:
        """Close the connections to the authority."""
