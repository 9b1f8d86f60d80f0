"""Decision whether a response of discovery is newer than the list in force, by versions alone.

Source: PROTOCOL, 'Discovery': a watch names the version that it has, and is answered with what changed since
or with the full list. What is cut off, repeated, out of order or older must not undo a drain.
"""

from __future__ import annotations

from enum import Enum

from sabledyke.policy.nodes import EndpointList, ListKind


class VersionStatus(Enum):
    """What becomes of a response."""

    ACCEPTED = "accepted"
    UNCHANGED = "unchanged"
    """It has nothing that is not in force already."""
    STALE = "stale"
    """It is ignored, and the next request is for the full list."""


class VersionTracker:
    """Tracks the version that is in force, and what the next request asks for.

    Attributes:
        current: The version that is in force; None where there is none.
        since: The version that the next request names; None to request the full list.
    """

    def __init__(self, current: int | None = None) -> None:
        self.current = current
        self.since = current
        self._ignored_older_list = False  # an older full list came, and was ignored once

    def reset(self) -> None:
        """Start with the full list, whatever its version: another service may number its lists otherwise."""
        self.current = None
        self.since = None
        self._ignored_older_list = False

    def request_full_list(self) -> None:
        """Request the full list next, as a response could be read only in part."""
        self.since = None

    def is_newer(self, update: EndpointList) -> bool:
        """Return whether an update is newer than the version in force."""
        return self.current is None or update.version > self.current

    def evaluate(self, update: EndpointList) -> VersionStatus:
        """Accept an update or ignore it.

        An older full list is accepted when a second request for the full list brings one too: the service was
        set up anew and counts from the start. Guards against keeping a list that is never updated again.
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
