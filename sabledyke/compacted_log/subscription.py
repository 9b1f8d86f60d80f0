"""For an operator's own programs: the state of a topic as events, also while the log does not answer.

A program that joins late gets what there is, and then what follows. One that was away for longer than
tombstones are retained is notified of that (``ReaderRestarted``), and then of each key that was removed
meanwhile. A subscriber stores nothing on the log, so that a slow one, or one that dies, costs the others
nothing.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from random import Random

from sabledyke.compacted_log.client import CompactedLog
from sabledyke.compacted_log.reader import LogEvent, LogReader
from sabledyke.compacted_log.records import PAGE_MESSAGES
from sabledyke.errors import CompactedLogError, LogFullError

FIRST_BACKOFF_INTERVALS = 1 / 16  # doubled at each failure, up to one interval
MAX_COUNTED_FAILURES = 16


async def subscribe_to_topic(
    log: CompactedLog,
    topic: str,
    reader: LogReader,
    interval_s: float = 1.0,
    page_messages: int = PAGE_MESSAGES,
    seed: int = 0,
) -> AsyncIterator[list[LogEvent]]:
    """Yield events as they come, a page at a time, without end.

    A log that does not answer is polled again, with backoff and jitter.

    Args:
        log: The log.
        topic: The topic.
        reader: Has the latest message of each key, after each page.
        interval_s: The time between two polls of a topic that is idle.
        page_messages: The limit for one page.
        seed: The seed of the jitter.

    Raises:
        LogFullError: There are more keys than ``reader`` may retain.
    """
    random = Random(seed)
    failures = 0
    while True:
        try:
            events = await log.poll(topic, reader, page_messages)
        except LogFullError:
            raise
        except CompactedLogError:
            wait_s = min(interval_s, interval_s * FIRST_BACKOFF_INTERVALS * 2**failures)
            failures = min(failures + 1, MAX_COUNTED_FAILURES)
        else:
            failures = 0
            wait_s = 0.0 if reader.may_have_more or not reader.caught_up else interval_s
            if events:
                yield events
        await asyncio.sleep(wait_s * (0.5 + random.random() / 2))
