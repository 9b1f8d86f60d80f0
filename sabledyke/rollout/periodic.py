"""Runs the periodic tasks of a fleet member; a failed run does not end its task."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

from sabledyke import invariants, log
from sabledyke.errors import (
    AuthorityError,
    CompactedLogError,
    LeaseLostError,
    StaleWriterError,
    WantedVersionError,
    WriteConflictError,
)

MIN_PAUSE_S = 0.01
STALE_WRITER_PAUSE_S = 1.0


async def run_periodically(action: Callable[[], Awaitable[None]], interval_s: Callable[[], float]) -> None:
    """Run an action periodically; after a failure of the log, the lease or a file it is run again.

    Write conflicts and a lost lease are expected; all other failures are logged.

    Args:
        action: The action to run.
        interval_s: Returns the time from the start of one run to the start of the next.
    """
    while True:
        started_s = time.monotonic()
        try:
            await action()
        except (WriteConflictError, LeaseLostError):
            pass  # another process wrote first or holds the lease; the next run reads the log again
        except StaleWriterError as fault:
            log.emit("fleet", str(fault), **fault.fields)
            await asyncio.sleep(STALE_WRITER_PAUSE_S)
        except (CompactedLogError, AuthorityError, WantedVersionError) as fault:
            log.emit("fleet", str(fault), **fault.fields)
        except Exception as fault:
            # If this task ended, the member would still send heartbeats but never take part in a plan.
            invariants.report_violation("a periodic fleet task raises no unexpected error", repr(fault))
        await asyncio.sleep(max(MIN_PAUSE_S, interval_s() - (time.monotonic() - started_s)))
