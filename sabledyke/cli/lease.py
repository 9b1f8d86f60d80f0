"""``sabledyke lease ...``: shows leases with their holders, and has a lease released."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Mapping
from typing import Any

from sabledyke.config import ConfigError
from sabledyke.errors import AuthorityError
from sabledyke.lease import extension, section
from sabledyke.lease.types import Authority, LeaseSummary, LeaseTimes

POLL_S = 0.05  # interval of the checks whether a recalled lease has been released
RECALL_RENEW_INTERVALS = 2.5  # renewal intervals in which a live holder renews and learns of a recall


def main(arguments: Mapping[str, Any]) -> int:
    """Run a sub-command of ``lease``.

    Args:
        arguments: The command line, as docopt reads it.

    Returns:
        The exit code: 0 on success, 1 if the lease to release has no holder, 2 on failure.
    """
    try:
        return 0 if asyncio.run(_run(arguments)) else 1
    except (ConfigError, AuthorityError, OSError) as error:
        print(f"sabledyke: {error}", file=sys.stderr)
        return 2


async def _run(arguments: Mapping[str, Any]) -> bool:
    settings = section.load(arguments["--operator"])
    authority = extension.create_authority(settings)
    await authority.open()
    try:
        if arguments["release"]:
            return await _release(authority, arguments["DUTY"], settings.times, at_once=arguments["--force"])
        for lease in await authority.list_leases():
            print(_describe(lease))
        return True
    finally:
        await authority.close()


async def _release(authority: Authority, task_name: str, times: LeaseTimes, *, at_once: bool) -> bool:
    """Request the release of a lease; return whether it has a holder."""
    held = await _find(authority, task_name)
    is_held = await authority.recall(task_name, at_once=at_once)
    effect = "freed" if at_once else "its holder releases it at its next renewal"
    print(f"{task_name}: {effect if is_held else 'it has no holder'}")
    if is_held and held is not None and not at_once:
        print(f"{task_name}: {await _recall_outcome(authority, held, times)}")
    return is_held


async def _recall_outcome(authority: Authority, held: LeaseSummary, times: LeaseTimes) -> str:
    """Return the outcome of a recall, or why it is pending once a live holder has learned of it."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + RECALL_RENEW_INTERVALS * times.renew_interval_ms / 1000
    last = held
    was_renewed = False
    while loop.time() < deadline_s:
        await asyncio.sleep(POLL_S)
        current = await _find(authority, held.task_name)
        if current is None or (current.holder, current.token) != (held.holder, held.token):
            return f"released by {held.holder}"
        was_renewed = was_renewed or current.remaining_ms > last.remaining_ms
        last = current
    if was_renewed:
        return f"{held.holder} releases it after the operation in flight"
    return f"{held.holder} has not renewed the lease since; it expires in {last.remaining_ms:.0f} ms"


async def _find(authority: Authority, task_name: str) -> LeaseSummary | None:
    leases = await authority.list_leases()
    return next((lease for lease in leases if lease.task_name == task_name and lease.holder), None)


def _describe(lease: LeaseSummary) -> str:
    holder = f"held by {lease.holder}, {lease.remaining_ms:.0f} ms left" if lease.holder else "nobody's"
    recalled = ", recalled" if lease.recalled else ""
    completed = f"last done at {lease.last_completed_unix_ms}"
    return f"{lease.task_name}: token {lease.token}, {holder}{recalled}, {completed}"
