"""One reader's side of a topic: from nothing, or from where it was, to all that holds, and on. Pure.

Told: pages of messages from ``position`` on, each followed by a look at the head. Gives news in order: what
was put, what is gone, and when the reader has caught up. It never knows a shelf or a clock.

A tombstone that was cleaned away before this reader came to it would leave a dead key alive here. The head's
floor tells: one that rose since the last look, to this reader's position or beyond, may have been missed.
The reader then starts again, and at the end of that drops what it no longer finds. What was cleaned away
before it started is no matter: all that it superseded had gone before.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from sabledyke.compacted_log.records import Message, TopicHead
from sabledyke.errors import BoardFull

MAX_KEYS = 100_000  # that one reader keeps


@dataclass(slots=True, frozen=True)
class KeyUpdated:
    """A key's latest message."""

    message: Message


@dataclass(slots=True, frozen=True)
class KeyRemoved:
    """A key holds nothing any more."""

    key: str


@dataclass(slots=True, frozen=True)
class ReaderRestarted:
    """It was away for longer than tombstones are kept: it starts again, and what it has
    may be out of date.
    """


@dataclass(slots=True, frozen=True)
class CaughtUp:
    """All that was said up to this offset is told."""

    up_to_offset: int


LogEvent = KeyUpdated | KeyRemoved | ReaderRestarted | CaughtUp


class LogReader:
    """What one reader knows of a topic; ``state`` has the latest message of each key that holds something."""

    def __init__(self, most_keys: int = MAX_KEYS) -> None:
        self.position = 1  # the next offset to read
        self.latest: dict[str, Message] = {}
        self.caught_up = False  # it has caught up since it last started
        self.may_have_more = True  # more may follow the page read last
        self._most = most_keys
        self._old: dict[str, Message] = {}  # what it had before it started again
        self._floor: int | None = None  # as of a look before the next page; None before the first

    @property
    def started(self) -> bool:
        """A head was looked at since it last started: pages may be read."""
        return self._floor is not None

    def start(self, head: TopicHead) -> None:
        """The head, as read before the first page."""
        self._floor = head.tombstone_floor

    def apply_page(self, page: Sequence[Message], full: bool, head: TopicHead) -> list[LogEvent]:
        """A page read from ``position`` on (``full`` where more may follow), and the head
        as read after it.
        """
        assert self._floor is not None
        self.may_have_more = full
        if (
            head.tombstone_floor > self._floor
            and head.tombstone_floor >= self.position
            or head.next_offset < self.position
        ):
            return self._again()
        self._floor = head.tombstone_floor
        news: list[LogEvent] = []
        for message in page:
            self.position = message.offset + 1
            if message.value is not None:
                if message.key not in self.latest and len(self.latest) >= self._most:
                    raise BoardFull(f"a reader keeps {self._most} keys at most")
                self.latest[message.key] = message
                self._old.pop(message.key, None)
                news.append(KeyUpdated(message))
            elif (self.latest.pop(message.key, None) or self._old.pop(message.key, None)) is not None:
                news.append(KeyRemoved(message.key))
        if not full and not self.caught_up:
            news += [KeyRemoved(key) for key in self._old]
            self._old, self.caught_up = {}, True
            news.append(CaughtUp(self.position - 1))
        elif not full and page:
            news.append(CaughtUp(self.position - 1))
        return news

    def _again(self) -> list[LogEvent]:
        self._old = {**self._old, **self.latest}
        self.position, self.latest, self.caught_up, self._floor = 1, {}, False, None
        self.may_have_more = True
        return [ReaderRestarted()]
