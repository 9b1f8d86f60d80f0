"""``sabledyke store ...``: operators' commands on the record of writes, which may be in service."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Mapping
from typing import Any

from sabledyke.config import ConfigError
from sabledyke.store import maintenance, section
from sabledyke.store.database_errors import DatabaseError

COMMANDS = ("check", "migrate", "audit", "reconcile", "backup", "restore", "export")


def main(arguments: Mapping[str, Any]) -> int:
    """Run a sub-command of ``store``.

    Args:
        arguments: The command line, as docopt reads it.

    Returns:
        The exit code: 0 on success, 1 if the command finds a problem in the record, 2 on failure.
    """
    command = next(name for name in COMMANDS if arguments[name])
    try:
        return 0 if asyncio.run(_run(command, arguments)) else 1
    except (ConfigError, OSError) as error:
        print(f"sabledyke: {error}", file=sys.stderr)
        return 2


async def _run(command: str, arguments: Mapping[str, Any]) -> bool:
    target = section.load(arguments["--operator"]).record  # not None: ``load`` checks it
    assert target is not None
    try:
        return await _run_on(target, command, arguments)
    except DatabaseError as error:
        raise ConfigError(f"store {target}: {error}") from error


async def _run_on(target: section.Target, command: str, arguments: Mapping[str, Any]) -> bool:
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
            return await maintenance.backup(target, arguments["FILE"], print)
        case "restore":
            return await maintenance.restore(target, arguments["FILE"], print)
    return await _export(target, arguments)


async def _export(target: section.Target, arguments: Mapping[str, Any]) -> bool:
    since = arguments["--since"]
    try:
        since_ms = int(since or 0)
    except ValueError as error:
        raise ConfigError(f"--since takes Unix milliseconds, not {since!r}") from error
    path = arguments["FILE"]
    if path == "-":
        return await maintenance.export(target, sys.stdout.buffer, since_ms, lambda _: None)
    with open(path, "xb") as file:  # fails if the file exists
        return await maintenance.export(target, file, since_ms, print)
