"""Applies the messages of a topic to the state of one reader, without I/O.

A reader is given pages of messages from ``position`` on, each with the topic's head as read after the page.
It returns events in order: updated keys, removed keys, and the points at which it has caught up.

If a tombstone is compacted away before a reader gets to it, the removed key stays in the reader's ``latest``.
The reader detects this by the head's tombstone floor: if the floor has risen since the last page, to the
reader's position or beyond, a tombstone may have been missed. The reader then restarts at the first offset,
and once it has caught up, it removes the keys that it has not found again. A tombstone that was compacted
away before the reader started does not matter, because all messages that it superseded were removed earlier.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from sabledyke.compacted_log.records import Message, TopicHead
from sabledyke.errors import LogFullError

MAX_KEYS = 100_000


@dataclass(slots=True, frozen=True)
class KeyUpdated:
    """A key has a new latest message."""

    message: Message


@dataclass(slots=True, frozen=True)
class KeyRemoved:
    """A key no longer has a value."""

    key: str


@dataclass(slots=True, frozen=True)
class ReaderRestarted:
    """The reader lagged for longer than tombstones are retained, and restarts at the first offset.

    Its state may be out of date until it has caught up.
    """


@dataclass(slots=True, frozen=True)
class CaughtUp:
    """All messages up to this offset have been processed."""

    up_to_offset: int


LogEvent = KeyUpdated | KeyRemoved | ReaderRestarted | CaughtUp


class LogReader:
    """The state of one reader of a topic.

    Tasks that share a reader must not interleave: a page is applied before another one is read.

    Attributes:
        position: The next offset to read.
        latest: The latest message of each key that has a value.
        caught_up: True if the reader has caught up since its last start or restart.
        may_have_more: True if more messages may follow the last page.
    """

    def __init__(self, max_keys: int = MAX_KEYS) -> None:
        """Make a reader that starts at the first offset and retains at most ``max_keys`` keys."""
        self.position = 1
        self.latest: dict[str, Message] = {}
        self.caught_up = False
        self.may_have_more = True
        self._max_keys = max_keys
        self._before_restart: dict[str, Message] = {}
        self._tombstone_floor: int | None = None  # floor before the next page; None before the first page

    @property
    def started(self) -> bool:
        """True if a head was read since the last start or restart, so that pages may be applied."""
        return self._tombstone_floor is not None

    def start(self, head: TopicHead) -> None:
        """Start with the topic's head as read before the first page."""
        self._tombstone_floor = head.tombstone_floor

    def apply_page(self, page: Sequence[Message], head: TopicHead, *, full: bool) -> list[LogEvent]:
        """Apply a page of messages.

        Args:
            page: Messages from ``position`` on.
            head: The topic's head as read after the page.
            full: True if more messages may follow the page.

        Returns:
            The events of the page.

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
            previous = self.latest.pop(key, None) or self._before_restart.pop(key, None)
            return [KeyRemoved(key)] if previous is not None else []
        if key not in self.latest and len(self.latest) >= self._max_keys:
            raise LogFullError(f"a reader may retain at most {self._max_keys} keys")
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
