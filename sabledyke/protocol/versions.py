"""Comparison of versions, to accept or ignore a response of discovery.

Source: PROTOCOL, 'Discovery': a watch names its version, and the response contains the changes since then or
the full list. Truncated, repeated, reordered or older responses must not undo a drain.
"""

from __future__ import annotations

from enum import Enum

from sabledyke.policy.nodes import EndpointList, ListKind


class VersionStatus(Enum):
    """Result of comparing a response's version with the version in force."""

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    """Contains nothing new."""
    STALE = "stale"
    """Is ignored; the next request is for the full list."""


class VersionTracker:
    """Tracks the version in force and the version that the next request names.

    Attributes:
        current: The version in force; None without a list.
        since: The version that the next request names; None requests the full list.
    """

    def __init__(self, current: int | None = None) -> None:
        self.current = current
        self.since = current
        self._ignored_older_list = False  # one older full list was ignored

    def reset(self) -> None:
        """Accept any version next, as another discovery service may number its lists differently."""
        self.current = None
        self.since = None
        self._ignored_older_list = False

    def request_full_list(self) -> None:
        """Request the full list next, after a response that was valid only in part."""
        self.since = None

    def is_newer(self, update: EndpointList) -> bool:
        """Return whether an update is newer than the version in force."""
        return self.current is None or update.version > self.current

    def evaluate(self, update: EndpointList) -> VersionStatus:
        """Accept or ignore an update, and return which.

        An older full list is accepted if the next request for the full list also returns an older one: the
        service was reinstalled and numbers its lists from the start again. Guards against keeping a list that
        is never updated again.
        """
        if self.is_newer(update):
            return self._accept(update)
        is_current = update.version == self.current
        requested_full_list = self.since is None
        if update.kind is not ListKind.FULL or (is_current and not requested_full_list):
            return self._ignore(update, is_current=is_current)
        if not is_current and not self._ignored_older_list:
            self._ignored_older_list = True
            self.since = None
            return VersionStatus.STALE
        return self._accept(update)

    def _accept(self, update: EndpointList) -> VersionStatus:
        self._ignored_older_list = False
        self.current = update.version
        self.since = update.version
        return VersionStatus.ACCEPTED

    def _ignore(self, update: EndpointList, *, is_current: bool) -> VersionStatus:
        if is_current or not update.entries:
            self.since = self.current
            return VersionStatus.UNCHANGED
        self.since = None
        return VersionStatus.STALE
