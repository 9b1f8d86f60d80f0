"""Drives a board: reads the cells that ``ledger``, ``follower`` and ``compaction`` decide by, and commits.

It decides nothing but when to try again: a commit that another one crossed is begun anew from a new look,
after a wait with jitter, as long as ``PATIENCE`` allows.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterator, Mapping, Sequence
from random import Random
from uuid import uuid4

from sabledyke.compacted_log import append, compaction
from sabledyke.compacted_log.compaction import CompactionPolicy
from sabledyke.compacted_log.reader import LogEvent, LogReader
from sabledyke.compacted_log.records import (
    PAGE_MESSAGES,
    Backend,
    Draft,
    Message,
    TopicHead,
    WriterIdentity,
    compaction_key,
    decode_head,
    decode_message,
    head_key,
    message_key,
    position_key,
    writer_key,
)
from sabledyke.errors import BoardFault, Conflict, StaleWriter

RETRY_TIMEOUT_S = 5.0  # seconds in which an append has to get through
CROSSED = (0.002, 0.1)  # seconds before it is tried again: the first wait, doubled up to the last


class LogWriter:
    """One writer's life on one topic: numbers its appends, so that a repeat is taken once."""

    def __init__(self, board: CompactedLog, topic: str, writer: WriterIdentity) -> None:
        self._board, self.topic, self.identity, self._seq = board, topic, writer, 0
        self._turn = asyncio.Lock()
        self._doubt: object = None  # the last append, where it is not known whether it was written

    async def append(
        self, drafts: Sequence[Draft], expects: Mapping[str, int] | None = None, end: int | None = None
    ) -> tuple[int, ...]:
        """Their offsets. StaleWriter where a later life has written, Conflict where a key or the end has
        moved.

        After a BoardFault it may have been written: the same again, before anything else, is taken once.
        """
        async with self._turn:
            rests, asked = dict(expects or {}), (tuple(drafts), expects, end)
            if asked != self._doubt:
                self._seq += 1
            self._doubt = asked
            try:
                offsets = await self._board.append(self.topic, self.identity, self._seq, drafts, rests, end)
            except (Conflict, StaleWriter):
                self._doubt = None  # it was certainly not
                raise
            self._doubt = None
            return offsets


class CompactedLog:
    """A board on a shelf."""

    def __init__(self, shelf: Backend, seed: int = 0) -> None:
        self.backend, self._random = shelf, Random(seed)

    async def claim_writer(self, topic: str, name: str) -> LogWriter:
        """Begin the next life of a writer."""
        nonce, key = uuid4().hex[:12], writer_key(topic, name)
        fault: BoardFault | None = None
        for wait in self._waits():
            try:
                writer, commit = append.plan_claim(
                    topic, (await self.backend.get([key])).get(key), name, nonce
                )
                if not commit.puts or await self.backend.commit(commit.checks, commit.puts):
                    return LogWriter(self, topic, writer)
            except BoardFault as said:
                fault = said
            await asyncio.sleep(wait)
        raise fault or BoardFault(f"{topic}: no life for {name} within {RETRY_TIMEOUT_S:.0f} s")

    def writer(self, topic: str, name: str, life: int) -> LogWriter:
        """A writer whose life is given, as a lease's token is."""
        return LogWriter(self, topic, WriterIdentity(name, life, uuid4().hex[:12]))

    async def append(
        self,
        topic: str,
        writer: WriterIdentity,
        seq: int,
        drafts: Sequence[Draft],
        expects: Mapping[str, int],
        end: int | None,
    ) -> tuple[int, ...]:
        """See ``Pen.append``; a fault on the way is asked again with the same sequence,
        so it is taken once.
        """
        append.validate_drafts(drafts)
        fault: BoardFault | None = None
        for wait in self._waits():
            try:
                found = await self.backend.get(append.cells_to_read(topic, writer, drafts, expects))
                commit = append.plan_append(topic, found, writer, seq, drafts, expects, end)
                if not commit.puts or await self.backend.commit(commit.checks, commit.puts):
                    return commit.offsets
                if end is not None:
                    continue  # somebody wrote: the next look says so, and what was decided is decided anew
            except (Conflict, StaleWriter):
                raise
            except BoardFault as said:
                fault = said
            await asyncio.sleep(wait)
        raise fault or BoardFault(f"{topic}: others wrote all the time for {RETRY_TIMEOUT_S:.0f} s")

    def _waits(self) -> Iterator[float]:
        """Waits between tries, with jitter, until ``PATIENCE`` is over: the calls count as well."""
        ends, wait = time.monotonic() + RETRY_TIMEOUT_S, CROSSED[0]
        while True:
            yield wait * (0.5 + self._random.random())
            wait = min(2 * wait, CROSSED[1])
            if time.monotonic() >= ends:
                return

    async def head(self, topic: str) -> TopicHead:
        """How the topic stands."""
        return decode_head((await self.backend.get([head_key(topic)])).get(head_key(topic)))

    async def read_page(self, topic: str, first: int, most: int = PAGE_MESSAGES) -> list[Message]:
        """Messages from this offset on, in order."""
        cells = await self.backend.scan(message_key(topic, first), f"{topic}/m/~", most)
        return [decode_message(name, cell) for name, cell in cells]

    async def poll(self, topic: str, reader: LogReader, most: int = PAGE_MESSAGES) -> list[LogEvent]:
        """The reader's next page, and the head after it (see ``follower``)."""
        if not reader.started:
            reader.start(await self.head(topic))
        elif reader.caught_up:  # the head alone says that nothing is new, as it does at most looks
            head = await self.head(topic)
            if head.next_offset == reader.position:
                return reader.apply_page([], False, head)
        page = await self.read_page(topic, reader.position, most)
        return reader.apply_page(page, len(page) >= most, await self.head(topic))

    async def catch_up(self, topic: str, reader: LogReader, most: int = PAGE_MESSAGES) -> list[LogEvent]:
        """All pages until the reader has caught up."""
        news = list[LogEvent]()
        while True:
            news += await self.poll(topic, reader, most)
            if reader.caught_up and not reader.may_have_more:
                return news

    async def compact(
        self, topic: str, policy: CompactionPolicy, token: Callable[[], int], clock: Callable[[], float]
    ) -> int:
        """Clean as far as it is worth it now; bytes that were looked at.

        ``token`` gives the lease's token, or raises where it is not held: asked before every step. ``clock``
        in ms. StaleWriter where a later cleaner is at work, which ends this one's part.
        """
        looked = 0
        while True:
            cells = await self.backend.get([head_key(topic), compaction_key(topic)])
            progress = compaction.decode_progress(cells.get(compaction_key(topic)))
            progress = compaction.take_over(progress, token(), clock())
            begun = compaction.start_pass(progress, decode_head(cells.get(head_key(topic))), policy, clock())
            if begun is None:
                return looked
            page = await self.read_page(topic, begun.at, compaction.PAGE_MESSAGES)
            whole = len(page) < compaction.PAGE_MESSAGES or page[-1].offset >= begun.limit - 1
            names = [
                head_key(topic),
                compaction_key(topic),
                *dict.fromkeys(position_key(topic, m.key) for m in page),
            ]
            now = await self.backend.get(names)
            if now.get(compaction_key(topic)) == cells.get(compaction_key(topic)):
                token()
                done = compaction.compact_page(topic, now, begun, page, whole, policy, clock())[1]
                if await self.backend.commit(done.checks, done.puts, done.drops):
                    size = sum(m.size_bytes for m in page)
                    looked += size
                    await asyncio.sleep(size / policy.max_bytes_per_s)
                    if whole:
                        return looked
                    continue
            await asyncio.sleep(CROSSED[0] * (0.5 + self._random.random()))
