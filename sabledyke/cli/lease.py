"""``sabledyke lease ...``: who holds which lease, and giving one up."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Mapping
from typing import Any

from sabledyke.config import ConfigError
from sabledyke.errors import AuthorityError
from sabledyke.lease import extension, section
from sabledyke.lease.types import Authority, LeaseSummary


def main(arguments: Mapping[str, Any]) -> int:
    """Run one of the commands.

    Args:
        arguments: The command line, as docopt reads it.

    Returns:
        The exit code: 0 where it was done, 1 where nobody holds the lease, 2 where it could not be done.
    """
    try:
        return 0 if asyncio.run(_run(arguments)) else 1
    except (ConfigError, AuthorityError, OSError) as error:
        print(f"sabledyke: {error}", file=sys.stderr)
        return 2


async def _run(arguments: Mapping[str, Any]) -> bool:
    authority = extension.create_authority(section.load(arguments["--operator"]))
    await authority.open()
    try:
        if arguments["release"]:
            return await _release(authority, arguments["DUTY"], at_once=arguments["--force"])
        for lease in await authority.list_leases():
            print(_describe(lease))
        return True
    finally:
        await authority.close()


async def _release(authority: Authority, task_name: str, *, at_once: bool) -> bool:
    """Have the holder of a lease give it up; return whether anybody holds it."""
    is_held = await authority.recall(task_name, at_once=at_once)
    effect = "freed" if at_once else "its holder gives it up when it next renews"
    print(f"{task_name}: {effect if is_held else 'nobody holds it'}")
    return is_held


def _describe(lease: LeaseSummary) -> str:
    holder = f"held by {lease.holder}, {lease.remaining_ms:.0f} ms left" if lease.holder else "nobody's"
    recalled = ", recalled" if lease.recalled else ""
    completed = f"last done at {lease.last_completed_unix_ms}"
    return f"{lease.task_name}: token {lease.token}, {holder}{recalled}, {completed}"
