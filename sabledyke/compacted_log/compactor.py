"""Executes the compaction of one topic: reads the cells that ``compaction`` requires, and commits."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from sabledyke.compacted_log import compaction
from sabledyke.compacted_log.append import Commit
from sabledyke.compacted_log.compaction import CompactionPolicy, PassPage
from sabledyke.compacted_log.records import (
    Backend,
    compaction_key,
    decode_head,
    head_key,
    position_key,
)
from sabledyke.compacted_log.topic_reads import read_messages

RETRY_DELAY_S = 0.002


class Compactor:
    """Compacts one topic under a lease."""

    def __init__(
        self,
        backend: Backend,
        topic: str,
        policy: CompactionPolicy,
        token: Callable[[], int],
        clock_ms: Callable[[], float],
        random: Random,
    ) -> None:
        """Make a compactor.

        Args:
            backend: The storage of the log.
            topic: The topic.
            policy: The operator's settings.
            token: Returns the lease's token, or raises if the lease is not held; called before every commit.
            clock_ms: Returns the time on this process's clock.
            random: The source of the jitter of retries.
        """
        self._backend = backend
        self._topic = topic
        self._policy = policy
        self._token = token
        self._clock_ms = clock_ms
        self._random = random

    async def run(self) -> int:
        """Run the current pass to its end, or a new pass if it is worthwhile.

        Returns:
            The size of the messages read, in bytes.

        Raises:
            StaleWriterError: A compactor with a later token has written the progress.
            CompactedLogError: The backend did not answer.
        """
        read_bytes = 0
        while (page := await self._next_page()) is not None:
            commit = await self._plan(page)
            if commit is None or not await self._backend.commit(commit.checks, commit.puts, commit.deletes):
                await asyncio.sleep(RETRY_DELAY_S * (0.5 + self._random.random()))
                continue
            read_bytes += page.size_bytes
            await asyncio.sleep(page.size_bytes / self._policy.max_bytes_per_s)
            if page.ends_pass:
                break
        return read_bytes

    async def _next_page(self) -> PassPage | None:
        """Read the next page of the current pass, or of a new one; None if there is nothing to do."""
        cells = await self._backend.get([head_key(self._topic), compaction_key(self._topic)])
        progress_cell = cells.get(compaction_key(self._topic))
        progress = compaction.decode_progress(progress_cell)
        progress = compaction.continue_under_token(progress, self._token(), self._clock_ms())
        head = decode_head(cells.get(head_key(self._topic)))
        started = compaction.start_pass(progress, head, self._policy, self._clock_ms())
        if started is None:
            return None
        limit = compaction.PAGE_MESSAGES
        messages = await read_messages(self._backend, self._topic, started.position, limit)
        ends_pass = len(messages) < limit or messages[-1].offset >= started.limit_offset - 1
        return PassPage(started, progress_cell, messages, ends_pass)

    async def _plan(self, page: PassPage) -> Commit | None:
        """Plan the removals of a page; None if the progress has changed since the page was read."""
        positions = dict.fromkeys(position_key(self._topic, message.key) for message in page.messages)
        cells = await self._backend.get([head_key(self._topic), compaction_key(self._topic), *positions])
        if cells.get(compaction_key(self._topic)) != page.progress_cell:
            return None
        self._token()
        return compaction.compact_page(self._topic, cells, page, self._policy, self._clock_ms())
