"""Is an answer of discovery newer than what is held? Told versions, in order; knows no socket and no clock.

Source: PROTOCOL, 'Discovery': a watch names the version that it holds, and is answered with what changed
since or with the whole list. What is cut, repeated, out of order or older must not undo a drain.
"""

from __future__ import annotations

from enum import Enum

from sabledyke.policy.nodes import EndpointList, ListKind


class Verdict(Enum):
    """What becomes of an answer."""

    TAKEN = "taken"
    REPEATED = "repeated"  # nothing that is not held already
    OLDER = "older"  # set aside; the next call asks for the whole list


class Versions:
    """The version that is held, and what the next call asks for."""

    def __init__(self, held: int | None = None) -> None:
        self.held = held
        self.since = held  # what the next call names; None asks for the whole list
        self._doubted = False  # an older whole list came, and was set aside once

    def renew(self) -> None:
        """Another service, which may number otherwise: begin with its whole list, whatever its version."""
        self.held = self.since = None
        self._doubted = False

    def doubt(self) -> None:
        """An answer could be read in part alone: the next call asks for the whole list."""
        self.since = None

    def newer(self, news: EndpointList) -> bool:
        """It says what is not held yet."""
        return self.held is None or news.version > self.held

    def judge(self, news: EndpointList) -> Verdict:
        """Take the answer or set it aside.

        An older whole list is taken when a second call for the whole list brings one too: the service was set
        up anew and counts from the start. Guards against going by a list that is never told again.
        """
        whole, newer = news.kind is ListKind.FULL, self.newer(news)
        if not newer and (not whole or news.version == self.held and self.since is not None):
            if news.version == self.held or not news.entries:
                self.since = self.held
                return Verdict.REPEATED
            self.since = None
            return Verdict.OLDER
        if not newer and news.version != self.held and not self._doubted:
            self._doubted, self.since = True, None
            return Verdict.OLDER
        self._doubted = False
        self.held = self.since = news.version
        return Verdict.TAKEN
