"""Runs the tasks of a fleet's process again and again, whatever becomes of one run."""

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
    """Run an action for ever; faults of the log, the lease or a file are logged, and it is run again.

    Args:
        action: What to run.
        interval_s: Returns the time from the start of one run to the start of the next.
    """
    while True:
        started_s = time.monotonic()
        try:
            await action()
        except (WriteConflictError, LeaseLostError):
            pass  # somebody wrote first, or the lease is another's: the next run reads anew
        except StaleWriterError as fault:
            log.emit("fleet", str(fault), **fault.fields)
            await asyncio.sleep(STALE_WRITER_PAUSE_S)
        except (CompactedLogError, AuthorityError, WantedVersionError) as fault:
            log.emit("fleet", str(fault), **fault.fields)
        except Exception as fault:
            # A task that ended silently would leave a member that sends heartbeats and never moves.
            invariants.report_violation("a turn in the fleet", repr(fault))
        await asyncio.sleep(max(MIN_PAUSE_S, interval_s() - (time.monotonic() - started_s)))
