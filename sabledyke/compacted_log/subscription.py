"""For an operator's own programs: what holds on a topic, as news, also while the board does not answer.

A program joins late, is told what holds, then what follows; one that was away for longer than tombstones are
kept is told so (``Again``) and has what is gone told as gone. A subscriber keeps nothing on the board, so
that a slow one, or one that dies, costs the others nothing.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from random import Random

from sabledyke.compacted_log.client import Board
from sabledyke.compacted_log.reader import Follower, News
from sabledyke.compacted_log.records import PAGE
from sabledyke.errors import CompactedLogError, LogFullError

FIRST = 1 / 16  # of ``every``: the first wait after a call without an answer, doubled up to the whole of it


async def follow(
    board: Board, topic: str, reader: Follower, every: float = 1.0, page: int = PAGE, seed: int = 0
) -> AsyncIterator[list[News]]:
    """News as they come, a page at a time; ``every`` in seconds is the time between looks at a topic at rest.

    Never ends by itself. A board that does not answer is asked again, with back-off and jitter; BoardFull
    where there are more keys than ``reader`` may keep. ``reader.state`` is what holds, after each of them.
    """
    random, misses = Random(seed), 0
    while True:
        try:
            news = await board.read(topic, reader, page)
        except LogFullError:
            raise
        except CompactedLogError:
            wait = min(every, every * FIRST * 2**misses)
            misses = min(misses + 1, 16)
        else:
            misses, wait = 0, 0.0 if reader.more or not reader.caught else every
            if news:
                yield news
        await asyncio.sleep(wait * (0.5 + random.random() / 2))
