"""``sabledyke store ...``: the operators' commands on a record, in service or not."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Mapping
from typing import Any

from sabledyke.config import ConfigError
from sabledyke.store import maintenance, section
from sabledyke.store.database_errors import DatabaseError

COMMANDS = ("check", "migrate", "audit", "reconcile", "backup", "restore", "export")


def main(said: Mapping[str, Any]) -> int:
    """Run one of them: 0 where all is well, 1 where something was found, 2 where it could not be done."""
    command = next(c for c in COMMANDS if said[c])
    try:
        return 0 if asyncio.run(_run(command, said)) else 1
    except (ConfigError, OSError) as fault:
        print(f"sabledyke: {fault}", file=sys.stderr)
        return 2


async def _run(command: str, said: Mapping[str, Any]) -> bool:
    target = section.load(said["--operator"]).record
    assert target is not None
    try:
        match command:
            case "check":
                return await maintenance.check(target, print)
            case "migrate":
                return await maintenance.migrate(target, print)
            case "audit":
                return await maintenance.audit(target, print)
            case "reconcile":
                return await maintenance.reconcile(target, print)
            case "backup":
                return await maintenance.backup(target, said["FILE"], print)
            case "restore":
                return await maintenance.restore(target, said["FILE"], print)
        return await _export(target, said)
    except DatabaseError as fault:
        raise ConfigError(f"store {target}: {fault}") from None


async def _export(target: section.Target, said: Mapping[str, Any]) -> bool:
    try:
        since = int(said["--since"] or 0)
    except ValueError:
        raise ConfigError(f"--since takes Unix milliseconds, not {said['--since']!r}") from None
    if said["FILE"] == "-":
        return await maintenance.export(target, sys.stdout.buffer, since, lambda _: None)
    with open(said["FILE"], "xb") as file:  # never over another file
        return await maintenance.export(target, file, since, print)
