"""For an operator's own programs: what holds on a topic, as news, also while the board does not answer.

A program joins late, is told what holds, then what follows; one that was away for longer than tombstones are
kept is told so (``Again``) and has what is gone told as gone. A subscriber keeps nothing on the board, so
that a slow one, or one that dies, costs the others nothing.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from random import Random

from sabledyke.compacted_log.client import CompactedLog
from sabledyke.compacted_log.reader import LogEvent, LogReader
from sabledyke.compacted_log.records import PAGE_MESSAGES
from sabledyke.errors import BoardFault, BoardFull

FIRST = 1 / 16  # of ``every``: the first wait after a call without an answer, doubled up to the whole of it


async def subscribe_to_topic(
    board: CompactedLog,
    topic: str,
    reader: LogReader,
    every: float = 1.0,
    page: int = PAGE_MESSAGES,
    seed: int = 0,
) -> AsyncIterator[list[LogEvent]]:
    """News as they come, a page at a time; ``every`` in seconds is the time between looks at a topic at rest.

    Never ends by itself. A board that does not answer is asked again, with back-off and jitter; BoardFull
    where there are more keys than ``reader`` may keep. ``reader.state`` is what holds, after each of them.
    """
    random, misses = Random(seed), 0
    while True:
        try:
            news = await board.poll(topic, reader, page)
        except BoardFull:
            raise
        except BoardFault:
            wait = min(every, every * FIRST * 2**misses)
            misses = min(misses + 1, 16)
        else:
            misses, wait = 0, 0.0 if reader.may_have_more or not reader.caught_up else every
            if news:
                yield news
        await asyncio.sleep(wait * (0.5 + random.random() / 2))
