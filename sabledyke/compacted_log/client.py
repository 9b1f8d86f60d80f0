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
from sabledyke.compacted_log.compaction import Policy
from sabledyke.compacted_log.reader import Follower, News
from sabledyke.compacted_log.records import (
    PAGE,
    Draft,
    Head,
    Message,
    Shelf,
    Writer,
    cleaner_key,
    head_key,
    head_of,
    message_key,
    message_of,
    place_key,
    writer_key,
)
from sabledyke.errors import CompactedLogError, StaleWriterError, WriteConflictError

PATIENCE = 5.0  # seconds in which an append has to get through
CROSSED = (0.002, 0.1)  # seconds before it is tried again: the first wait, doubled up to the last


class Pen:
    """One writer's life on one topic: numbers its appends, so that a repeat is taken once."""

    def __init__(self, board: Board, topic: str, writer: Writer) -> None:
        self._board, self.topic, self.writer, self._seq = board, topic, writer, 0
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
                offsets = await self._board.append(self.topic, self.writer, self._seq, drafts, rests, end)
            except (WriteConflictError, StaleWriterError):
                self._doubt = None  # it was certainly not
                raise
            self._doubt = None
            return offsets


class Board:
    """A board on a shelf."""

    def __init__(self, shelf: Shelf, seed: int = 0) -> None:
        self.shelf, self._random = shelf, Random(seed)

    async def claim(self, topic: str, name: str) -> Pen:
        """Begin the next life of a writer."""
        nonce, key = uuid4().hex[:12], writer_key(topic, name)
        fault: CompactedLogError | None = None
        for wait in self._waits():
            try:
                writer, commit = append.claim(topic, (await self.shelf.get([key])).get(key), name, nonce)
                if not commit.puts or await self.shelf.commit(commit.checks, commit.puts):
                    return Pen(self, topic, writer)
            except CompactedLogError as said:
                fault = said
            await asyncio.sleep(wait)
        raise fault or CompactedLogError(f"{topic}: no life for {name} within {PATIENCE:.0f} s")

    def pen(self, topic: str, name: str, life: int) -> Pen:
        """A writer whose life is given, as a lease's token is."""
        return Pen(self, topic, Writer(name, life, uuid4().hex[:12]))

    async def append(
        self,
        topic: str,
        writer: Writer,
        seq: int,
        drafts: Sequence[Draft],
        expects: Mapping[str, int],
        end: int | None,
    ) -> tuple[int, ...]:
        """See ``Pen.append``; a fault on the way is asked again with the same sequence,
        so it is taken once.
        """
        append.check(drafts)
        fault: CompactedLogError | None = None
        for wait in self._waits():
            try:
                found = await self.shelf.get(append.needed(topic, writer, drafts, expects))
                commit = append.append(topic, found, writer, seq, drafts, expects, end)
                if not commit.puts or await self.shelf.commit(commit.checks, commit.puts):
                    return commit.offsets
                if end is not None:
                    continue  # somebody wrote: the next look says so, and what was decided is decided anew
            except (WriteConflictError, StaleWriterError):
                raise
            except CompactedLogError as said:
                fault = said
            await asyncio.sleep(wait)
        raise fault or CompactedLogError(f"{topic}: others wrote all the time for {PATIENCE:.0f} s")

    def _waits(self) -> Iterator[float]:
        """Waits between tries, with jitter, until ``PATIENCE`` is over: the calls count as well."""
        ends, wait = time.monotonic() + PATIENCE, CROSSED[0]
        while True:
            yield wait * (0.5 + self._random.random())
            wait = min(2 * wait, CROSSED[1])
            if time.monotonic() >= ends:
                return

    async def head(self, topic: str) -> Head:
        """How the topic stands."""
        return head_of((await self.shelf.get([head_key(topic)])).get(head_key(topic)))

    async def page(self, topic: str, first: int, most: int = PAGE) -> list[Message]:
        """Messages from this offset on, in order."""
        cells = await self.shelf.scan(message_key(topic, first), f"{topic}/m/~", most)
        return [message_of(name, cell) for name, cell in cells]

    async def read(self, topic: str, reader: Follower, most: int = PAGE) -> list[News]:
        """The reader's next page, and the head after it (see ``follower``)."""
        if not reader.begun:
            reader.begin(await self.head(topic))
        elif reader.caught:  # the head alone says that nothing is new, as it does at most looks
            head = await self.head(topic)
            if head.next == reader.position:
                return reader.read([], False, head)
        page = await self.page(topic, reader.position, most)
        return reader.read(page, len(page) >= most, await self.head(topic))

    async def catch_up(self, topic: str, reader: Follower, most: int = PAGE) -> list[News]:
        """All pages until the reader has caught up."""
        news = list[News]()
        while True:
            news += await self.read(topic, reader, most)
            if reader.caught and not reader.more:
                return news

    async def clean(
        self, topic: str, policy: Policy, token: Callable[[], int], clock: Callable[[], float]
    ) -> int:
        """Clean as far as it is worth it now; bytes that were looked at.

        ``token`` gives the lease's token, or raises where it is not held: asked before every step. ``clock``
        in ms. StaleWriter where a later cleaner is at work, which ends this one's part.
        """
        looked = 0
        while True:
            cells = await self.shelf.get([head_key(topic), cleaner_key(topic)])
            progress = compaction.progress_of(cells.get(cleaner_key(topic)))
            progress = compaction.taken_over(progress, token(), clock())
            begun = compaction.begin(progress, head_of(cells.get(head_key(topic))), policy, clock())
            if begun is None:
                return looked
            page = await self.page(topic, begun.at, compaction.STEP)
            whole = len(page) < compaction.STEP or page[-1].offset >= begun.limit - 1
            names = [
                head_key(topic),
                cleaner_key(topic),
                *dict.fromkeys(place_key(topic, m.key) for m in page),
            ]
            now = await self.shelf.get(names)
            if now.get(cleaner_key(topic)) == cells.get(cleaner_key(topic)):
                token()
                done = compaction.step(topic, now, begun, page, whole, policy, clock())[1]
                if await self.shelf.commit(done.checks, done.puts, done.drops):
                    size = sum(m.size for m in page)
                    looked += size
                    await asyncio.sleep(size / policy.bytes_s)
                    if whole:
                        return looked
                    continue
            await asyncio.sleep(CROSSED[0] * (0.5 + self._random.random()))
