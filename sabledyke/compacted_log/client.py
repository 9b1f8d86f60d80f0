"""Client of the compacted log: reads the cells that ``append`` and ``reader`` require, and commits.

The client itself decides only when to retry. After a conflict with another commit, it waits for a backoff
with jitter, reads the cells again and plans a new commit from them, for up to ``RETRY_TIMEOUT_S``.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from random import Random
from uuid import uuid4

from sabledyke.compacted_log import append
from sabledyke.compacted_log.append import AppendRequest, Commit
from sabledyke.compacted_log.compaction import CompactionPolicy
from sabledyke.compacted_log.compactor import Compactor
from sabledyke.compacted_log.reader import LogEvent, LogReader
from sabledyke.compacted_log.records import (
    PAGE_MESSAGES,
    Backend,
    Message,
    NewMessage,
    TopicHead,
    WriterIdentity,
    writer_key,
)
from sabledyke.compacted_log.topic_reads import read_head, read_messages
from sabledyke.errors import CompactedLogError, StaleWriterError, WriteConflictError

RETRY_TIMEOUT_S = 5.0
FIRST_RETRY_DELAY_S = 0.002  # doubled at each retry
MAX_RETRY_DELAY_S = 0.1
NONCE_DIGITS = 12


class CompactedLog:
    """A compacted log on a backend.

    Attributes:
        backend: The storage of the log.
    """

    def __init__(self, backend: Backend, seed: int = 0) -> None:
        """Make a log on this backend; ``seed`` seeds the jitter of retries."""
        self.backend = backend
        self._random = Random(seed)

    async def claim_writer(self, topic: str, name: str) -> LogWriter:
        """Begin the next incarnation of a writer.

        Raises:
            CompactedLogError: The claim did not succeed within ``RETRY_TIMEOUT_S``.
        """
        nonce = _make_nonce()
        key = writer_key(topic, name)
        last_error: CompactedLogError | None = None
        for delay_s in self._retry_delays_s():
            try:
                cells = await self.backend.get([key])
                identity, commit = append.plan_claim(topic, cells.get(key), name, nonce)
                if await self._commit(commit):
                    return LogWriter(self, topic, identity)
            except CompactedLogError as error:
                last_error = error
            await asyncio.sleep(delay_s)
        raise last_error or CompactedLogError(
            f"{topic}: no incarnation claimed for {name} within {RETRY_TIMEOUT_S:.0f} s"
        )

    def writer(self, topic: str, name: str, incarnation: int) -> LogWriter:
        """Return a writer with a given incarnation, such as a lease's token."""
        return LogWriter(self, topic, WriterIdentity(name, incarnation, _make_nonce()))

    async def append(self, request: AppendRequest) -> tuple[int, ...]:
        """Append messages; a retry after a lost answer has the same sequence number, and is written once.

        Raises the same errors as ``LogWriter.append``.
        """
        append.validate_new_messages(request.new_messages)
        last_error: CompactedLogError | None = None
        for delay_s in self._retry_delays_s():
            try:
                commit = await self._decide_append(request)
                if await self._commit(commit):
                    return commit.offsets
            except (WriteConflictError, StaleWriterError):
                raise
            except CompactedLogError as error:
                last_error = error
            else:
                if request.expected_end is not None:
                    continue  # no delay: if the end has moved, the next attempt raises the conflict
            await asyncio.sleep(delay_s)
        timeout = f"{RETRY_TIMEOUT_S:.0f} s"
        raise last_error or CompactedLogError(
            f"{request.topic}: every commit conflicted with another one for {timeout}"
        )

    async def head(self, topic: str) -> TopicHead:
        """Return the topic's head."""
        return await read_head(self.backend, topic)

    async def read_page(
        self, topic: str, first_offset: int, max_messages: int = PAGE_MESSAGES
    ) -> list[Message]:
        """Return at most ``max_messages`` messages from this offset on, in order of offsets."""
        return await read_messages(self.backend, topic, first_offset, max_messages)

    async def poll(self, topic: str, reader: LogReader, max_messages: int = PAGE_MESSAGES) -> list[LogEvent]:
        """Read the reader's next page, and apply it.

        Returns:
            The events of the page.

        Raises:
            CompactedLogError: The backend did not answer.
            LogFullError: There are more keys than the reader may retain.
        """
        if not reader.started:
            reader.start(await self.head(topic))
        elif reader.caught_up:  # most polls find nothing new, and read only the head
            head = await self.head(topic)
            if head.next_offset == reader.position:
                return reader.apply_page([], head, full=False)
        page = await self.read_page(topic, reader.position, max_messages)
        head = await self.head(topic)
        return reader.apply_page(page, head, full=len(page) >= max_messages)

    async def catch_up(
        self, topic: str, reader: LogReader, max_messages: int = PAGE_MESSAGES
    ) -> list[LogEvent]:
        """Poll pages of ``max_messages`` until the reader has caught up; raises the errors of ``poll``."""
        events: list[LogEvent] = []
        while True:
            events += await self.poll(topic, reader, max_messages)
            if reader.caught_up and not reader.may_have_more:
                return events

    async def compact(
        self, topic: str, policy: CompactionPolicy, token: Callable[[], int], clock_ms: Callable[[], float]
    ) -> int:
        """Compact a topic if it is due, and return the size in bytes of the messages read for it."""
        return await Compactor(self.backend, topic, policy, token, clock_ms, self._random).run()

    async def _decide_append(self, request: AppendRequest) -> Commit:
        cells = await self.backend.get(append.cells_to_read(request))
        return append.plan_append(request, cells)

    async def _commit(self, commit: Commit) -> bool:
        """Execute a commit; one without puts was written before."""
        return not commit.puts or await self.backend.commit(commit.checks, commit.puts)

    def _retry_delays_s(self) -> Iterator[float]:
        """Yield a delay for each attempt, until the attempts and delays have taken ``RETRY_TIMEOUT_S``."""
        deadline_s = time.monotonic() + RETRY_TIMEOUT_S
        delay_s = FIRST_RETRY_DELAY_S
        while True:
            yield delay_s * (0.5 + self._random.random())
            delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)
            if time.monotonic() >= deadline_s:
                return


class LogWriter:
    """One incarnation of a writer on one topic; numbers its appends, so that a retry is written once.

    Attributes:
        topic: The topic to append to.
        identity: The writer's incarnation.
    """

    def __init__(self, log: CompactedLog, topic: str, identity: WriterIdentity, sequence: int = 0) -> None:
        """Make a writer whose last append had the sequence number ``sequence``."""
        self.topic = topic
        self.identity = identity
        self._log = log
        self._sequence = sequence
        self._lock = asyncio.Lock()
        self._unconfirmed: object = None  # content of the last append while its outcome is unknown

    async def append(
        self,
        new_messages: Sequence[NewMessage],
        expected_offsets: Mapping[str, int] | None = None,
        expected_end: int | None = None,
    ) -> tuple[int, ...]:
        """Append messages.

        Args:
            new_messages: The messages to append.
            expected_offsets: Expected offsets, by key, of further messages that the append depends on.
            expected_end: The expected next offset of the topic, if the append depends on all messages
                before it.

        Returns:
            The offsets of the messages.

        Raises:
            LogFullError: The messages are invalid: their number, a key or a size.
            StaleWriterError: A later incarnation has written.
            WriteConflictError: A key, or the end of the topic, is not at the expected offset.
            CompactedLogError: The outcome is unknown; if the next append has the same arguments, it counts as
                a retry, and the messages are written once.
        """
        async with self._lock:
            content = (tuple(new_messages), expected_offsets, expected_end)
            if content != self._unconfirmed:
                self._sequence += 1
            self._unconfirmed = content
            request = AppendRequest(
                self.topic,
                self.identity,
                self._sequence,
                new_messages,
                dict(expected_offsets or {}),
                expected_end,
            )
            try:
                offsets = await self._log.append(request)
            except (WriteConflictError, StaleWriterError):
                self._unconfirmed = None  # the append was not written
                raise
            self._unconfirmed = None
            return offsets


def _make_nonce() -> str:
    return uuid4().hex[:NONCE_DIGITS]
