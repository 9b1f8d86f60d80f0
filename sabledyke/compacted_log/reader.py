"""One reader's side of a topic: from nothing, or from where it was, to the latest messages, and on. Pure.

It is given pages of messages from ``position`` on, each with the topic's head as read after it, and returns
events in order: keys that were updated, keys that were removed, and when the reader has caught up.

A tombstone that was compacted away before this reader came to it would leave a removed key in ``latest``. The
head's tombstone floor tells: one that rose since the last page, to this reader's position or beyond, may have
been missed. The reader then restarts, and at the end of that removes what it no longer finds. What was
compacted away before it started does not matter: all that it superseded had been removed before.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from sabledyke.compacted_log.records import Message, TopicHead
from sabledyke.errors import LogFullError

MAX_KEYS = 100_000


@dataclass(slots=True, frozen=True)
class KeyUpdated:
    """A key's latest message."""

    message: Message


@dataclass(slots=True, frozen=True)
class KeyRemoved:
    """A key has no value any more."""

    key: str


@dataclass(slots=True, frozen=True)
class ReaderRestarted:
    """The reader was away for longer than tombstones are retained.

    It starts again, and what it has may be out of date until it has caught up.
    """


@dataclass(slots=True, frozen=True)
class CaughtUp:
    """All messages up to this offset were processed."""

    up_to_offset: int


LogEvent = KeyUpdated | KeyRemoved | ReaderRestarted | CaughtUp


class LogReader:
    """What one reader knows of a topic; tasks that share one take turns, from a page's read to its end.

    Attributes:
        position: The next offset to read.
        latest: The latest message of each key that has a value.
        caught_up: Whether it has caught up since it last started.
        may_have_more: Whether more messages may follow the page that was read last.
    """

    def __init__(self, max_keys: int = MAX_KEYS) -> None:
        """Make a reader that starts from nothing, and retains at most ``max_keys`` keys."""
        self.position = 1
        self.latest: dict[str, Message] = {}
        self.caught_up = False
        self.may_have_more = True
        self._max_keys = max_keys
        self._before_restart: dict[str, Message] = {}
        self._tombstone_floor: int | None = None  # as of before the next page; None before the first

    @property
    def started(self) -> bool:
        """Whether a head was read since it last started, so that pages may be applied."""
        return self._tombstone_floor is not None

    def start(self, head: TopicHead) -> None:
        """Start with the topic's head as it was read before the first page."""
        self._tombstone_floor = head.tombstone_floor

    def apply_page(self, page: Sequence[Message], head: TopicHead, *, full: bool) -> list[LogEvent]:
        """Apply a page of messages.

        Args:
            page: Messages from ``position`` on.
            head: The topic's head as it was read after the page.
            full: Whether more may follow the page.

        Returns:
            What has changed.

        Raises:
            LogFullError: There are more keys than the reader may retain.
        """
        self.may_have_more = full
        if self._may_have_missed_tombstones(head):
            return self._restart()
        self._tombstone_floor = head.tombstone_floor
        events = [event for message in page for event in self._apply(message)]
        if not full and not self.caught_up:
            events += [KeyRemoved(key) for key in self._before_restart]
            events.append(CaughtUp(self.position - 1))
            self._before_restart = {}
            self.caught_up = True
        elif not full and page:
            events.append(CaughtUp(self.position - 1))
        return events

    def _may_have_missed_tombstones(self, head: TopicHead) -> bool:
        assert self._tombstone_floor is not None
        if head.next_offset < self.position:
            return True
        return head.tombstone_floor > self._tombstone_floor and head.tombstone_floor >= self.position

    def _apply(self, message: Message) -> list[LogEvent]:
        self.position = message.offset + 1
        key = message.key
        if message.value is None:
            known = self.latest.pop(key, None) or self._before_restart.pop(key, None)
            return [KeyRemoved(key)] if known is not None else []
        if key not in self.latest and len(self.latest) >= self._max_keys:
            raise LogFullError(f"a reader keeps {self._max_keys} keys at most")
        self.latest[key] = message
        self._before_restart.pop(key, None)
        return [KeyUpdated(message)]

    def _restart(self) -> list[LogEvent]:
        self._before_restart |= self.latest
        self.position = 1
        self.latest = {}
        self.caught_up = False
        self.may_have_more = True
        self._tombstone_floor = None
        return [ReaderRestarted()]
