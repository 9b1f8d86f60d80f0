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

from sabledyke.compacted_log.records import Head, Message
from sabledyke.errors import LogFullError

MOST_KEYS = 100_000  # that one reader keeps


@dataclass(slots=True, frozen=True)
class Put:
    """A key's latest message."""

    message: Message


@dataclass(slots=True, frozen=True)
class Gone:
    """A key holds nothing any more."""

    key: str


@dataclass(slots=True, frozen=True)
class Again:
    """It was away for longer than tombstones are kept: it starts again, and what it has
    may be out of date.
    """


@dataclass(slots=True, frozen=True)
class Caught:
    """All that was said up to this offset is told."""

    upto: int


News = Put | Gone | Again | Caught


class Follower:
    """What one reader knows of a topic; ``state`` has the latest message of each key that holds something."""

    def __init__(self, most_keys: int = MOST_KEYS) -> None:
        self.position = 1  # the next offset to read
        self.state: dict[str, Message] = {}
        self.caught = False  # it has caught up since it last started
        self.more = True  # more may follow the page read last
        self._most = most_keys
        self._old: dict[str, Message] = {}  # what it had before it started again
        self._floor: int | None = None  # as of a look before the next page; None before the first

    @property
    def begun(self) -> bool:
        """A head was looked at since it last started: pages may be read."""
        return self._floor is not None

    def begin(self, head: Head) -> None:
        """The head, as read before the first page."""
        self._floor = head.floor

    def read(self, page: Sequence[Message], full: bool, head: Head) -> list[News]:
        """A page read from ``position`` on (``full`` where more may follow), and the head
        as read after it.
        """
        assert self._floor is not None
        self.more = full
        if head.floor > self._floor and head.floor >= self.position or head.next < self.position:
            return self._again()
        self._floor = head.floor
        news: list[News] = []
        for message in page:
            self.position = message.offset + 1
            if message.value is not None:
                if message.key not in self.state and len(self.state) >= self._most:
                    raise LogFullError(f"a reader keeps {self._most} keys at most")
                self.state[message.key] = message
                self._old.pop(message.key, None)
                news.append(Put(message))
            elif (self.state.pop(message.key, None) or self._old.pop(message.key, None)) is not None:
                news.append(Gone(message.key))
        if not full and not self.caught:
            news += [Gone(key) for key in self._old]
            self._old, self.caught = {}, True
            news.append(Caught(self.position - 1))
        elif not full and page:
            news.append(Caught(self.position - 1))
        return news

    def _again(self) -> list[News]:
        self._old = {**self._old, **self.state}
        self.position, self.state, self.caught, self._floor = 1, {}, False, None
        self.more = True
        return [Again()]
