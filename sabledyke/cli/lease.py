"""``sabledyke lease ...``: who holds which lease, and giving one up."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Mapping
from typing import Any

from sabledyke.config import ConfigError
from sabledyke.lease import extension, section
from sabledyke.lease.types import AuthorityError


def main(said: Mapping[str, Any]) -> int:
    """Run one of them: 0 where it was done, 1 where nobody holds the lease, 2 where it could not be done."""
    try:
        return 0 if asyncio.run(_run(said)) else 1
    except (ConfigError, AuthorityError, OSError) as fault:
        print(f"sabledyke: {fault}", file=sys.stderr)
        return 2


async def _run(said: Mapping[str, Any]) -> bool:
    authority = extension.authority_of(section.load(said["--operator"]))
    await authority.open()
    try:
        if said["release"]:
            done = await authority.recall(said["DUTY"], at_once=said["--force"])
            what = "freed" if said["--force"] else "its holder gives it up when it next renews"
            print(f"{said['DUTY']}: {what if done else 'nobody holds it'}")
            return done
        for lease in await authority.standing():
            who = f"held by {lease.holder}, {lease.left:.0f} ms left" if lease.holder else "nobody's"
            recalled = ", recalled" if lease.recalled else ""
            print(f"{lease.duty}: token {lease.token}, {who}{recalled}, last done at {lease.done}")
        return True
    finally:
        await authority.close()
