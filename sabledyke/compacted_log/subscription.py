"""Subscriptions to topics for an operator's own programs; they continue after failures of the log.

A late subscriber first gets the latest message of each key, and then the changes that follow. A subscriber
that lagged for longer than tombstones are retained is notified of that (``ReaderRestarted``), and then of
each key that was removed in the meantime. Subscribers store nothing in the log, so that one that is slow or
crashes does not affect the others.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from random import Random

from sabledyke.compacted_log.client import CompactedLog
from sabledyke.compacted_log.reader import LogEvent, LogReader
from sabledyke.compacted_log.records import PAGE_MESSAGES
from sabledyke.errors import CompactedLogError, LogFullError

FIRST_BACKOFF_FRACTION = 1 / 16  # fraction of the poll interval; doubled at each failure, up to one interval
MAX_COUNTED_FAILURES = 16  # limit of the exponent of the backoff


async def subscribe_to_topic(
    log: CompactedLog,
    topic: str,
    reader: LogReader,
    interval_s: float = 1.0,
    page_messages: int = PAGE_MESSAGES,
    seed: int = 0,
) -> AsyncIterator[list[LogEvent]]:
    """Yield the events of each page, indefinitely.

    A poll that fails is repeated, with backoff and jitter.

    Args:
        log: The log.
        topic: The topic.
        reader: The reader that holds the state of the topic; updated before the events of a page are yielded.
        interval_s: The time between two polls of an idle topic.
        page_messages: The maximum number of messages of a page.
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
            wait_s = min(interval_s, interval_s * FIRST_BACKOFF_FRACTION * 2**failures)
            failures = min(failures + 1, MAX_COUNTED_FAILURES)
        else:
            failures = 0
            wait_s = 0.0 if reader.may_have_more or not reader.caught_up else interval_s
            if events:
                yield events
        await asyncio.sleep(wait_s * (0.5 + random.random() / 2))
