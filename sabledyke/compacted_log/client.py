"""Drives a compacted log: reads the cells that ``append`` and ``reader`` decide by, and commits.

It decides only when to retry: a commit that conflicted with another one is decided anew from what stands
there then, after a backoff with jitter, until ``RETRY_TIMEOUT_S`` are over.
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
        backend: What it is stored in.
    """

    def __init__(self, backend: Backend, seed: int = 0) -> None:
        """Make a log on this backend; ``seed`` is for the jitter of retries."""
        self.backend = backend
        self._random = Random(seed)

    async def claim_writer(self, topic: str, name: str) -> LogWriter:
        """Begin the next incarnation of a writer.

        Raises:
            CompactedLogError: It did not succeed in time.
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
        raise last_error or CompactedLogError(f"{topic}: no life for {name} within {RETRY_TIMEOUT_S:.0f} s")

    def writer(self, topic: str, name: str, incarnation: int) -> LogWriter:
        """Return a writer whose incarnation is given, as a lease's token is."""
        return LogWriter(self, topic, WriterIdentity(name, incarnation, _make_nonce()))

    async def append(self, request: AppendRequest) -> tuple[int, ...]:
        """Append messages; one whose answer was lost is retried with the same sequence, and written once.

        Raises: see ``LogWriter.append``.
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
                    continue  # somebody wrote: the next attempt finds that, and the caller decides anew
            await asyncio.sleep(delay_s)
        timeout = f"{RETRY_TIMEOUT_S:.0f} s"
        raise last_error or CompactedLogError(f"{request.topic}: others wrote all the time for {timeout}")

    async def head(self, topic: str) -> TopicHead:
        """Return the topic's head."""
        return await read_head(self.backend, topic)

    async def read_page(
        self, topic: str, first_offset: int, max_messages: int = PAGE_MESSAGES
    ) -> list[Message]:
        """Return messages from this offset on, in order."""
        return await read_messages(self.backend, topic, first_offset, max_messages)

    async def poll(self, topic: str, reader: LogReader, max_messages: int = PAGE_MESSAGES) -> list[LogEvent]:
        """Read the reader's next page, and apply it.

        Returns:
            What has changed.

        Raises:
            CompactedLogError: The backend did not answer.
            LogFullError: There are more keys than the reader may retain.
        """
        if not reader.started:
            reader.start(await self.head(topic))
        elif reader.caught_up:  # the head alone tells that nothing is new, as in most polls
            head = await self.head(topic)
            if head.next_offset == reader.position:
                return reader.apply_page([], head, full=False)
        page = await self.read_page(topic, reader.position, max_messages)
        head = await self.head(topic)
        return reader.apply_page(page, head, full=len(page) >= max_messages)

    async def catch_up(
        self, topic: str, reader: LogReader, max_messages: int = PAGE_MESSAGES
    ) -> list[LogEvent]:
        """Poll until the reader has caught up; ``max_messages`` is for one page. Raises as ``poll`` does."""
        events: list[LogEvent] = []
        while True:
            events += await self.poll(topic, reader, max_messages)
            if reader.caught_up and not reader.may_have_more:
                return events

    async def compact(
        self, topic: str, policy: CompactionPolicy, token: Callable[[], int], clock_ms: Callable[[], float]
    ) -> int:
        """Compact a topic as far as it is worth it now; see ``Compactor``."""
        return await Compactor(self.backend, topic, policy, token, clock_ms, self._random).run()

    async def _decide_append(self, request: AppendRequest) -> Commit:
        cells = await self.backend.get(append.cells_to_read(request))
        return append.plan_append(request, cells)

    async def _commit(self, commit: Commit) -> bool:
        """Commit, unless it was written before."""
        return not commit.puts or await self.backend.commit(commit.checks, commit.puts)

    def _retry_delays_s(self) -> Iterator[float]:
        """Yield a delay for each attempt until ``RETRY_TIMEOUT_S`` are over; the calls count as well."""
        deadline_s = time.monotonic() + RETRY_TIMEOUT_S
        delay_s = FIRST_RETRY_DELAY_S
        while True:
            yield delay_s * (0.5 + self._random.random())
            delay_s = min(2 * delay_s, MAX_RETRY_DELAY_S)
            if time.monotonic() >= deadline_s:
                return


class LogWriter:
    """One incarnation of a writer on one topic: it numbers its appends, so that a retry is written once.

    Attributes:
        topic: The topic.
        identity: The writer's incarnation.
    """

    def __init__(self, log: CompactedLog, topic: str, identity: WriterIdentity, sequence: int = 0) -> None:
        """Make a writer whose last append had this sequence number."""
        self.topic = topic
        self.identity = identity
        self._log = log
        self._sequence = sequence
        self._lock = asyncio.Lock()
        self._unconfirmed: object = None  # the last append, where it is not known whether it was written

    async def append(
        self,
        new_messages: Sequence[NewMessage],
        expects: Mapping[str, int] | None = None,
        end: int | None = None,
    ) -> tuple[int, ...]:
        """Append messages.

        Args:
            new_messages: The messages.
            expects: By key, the offsets of further messages that the append depends on.
            end: The topic's next offset, where the append depends on all messages up to it.

        Returns:
            The offsets of the messages.

        Raises:
            LogFullError: There are too many messages, or one is too large.
            StaleWriterError: A later incarnation has written.
            Conflict: A key, or the end of the topic, has moved.
            CompactedLogError: The append may have been written; the same one again, before any other, is
            written once.
        """
        async with self._lock:
            content = (tuple(new_messages), expects, end)
            if content != self._unconfirmed:
                self._sequence += 1
            self._unconfirmed = content
            request = AppendRequest(
                self.topic, self.identity, self._sequence, new_messages, dict(expects or {}), end
            )
            try:
                offsets = await self._log.append(request)
            except (WriteConflictError, StaleWriterError):
                self._unconfirmed = None  # it was certainly not written
                raise
            self._unconfirmed = None
            return offsets


def _make_nonce() -> str:
    return uuid4().hex[:NONCE_DIGITS]
