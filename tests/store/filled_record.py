"""A record with served writes, for tests of the operators' commands."""

from __future__ import annotations

import asyncio
import sqlite3
from collections.abc import Callable
from pathlib import Path
from typing import Any

from tests.store.record_deployment import (
    RecordDeployment,
    record_deployment,
)

Check = Callable[[RecordDeployment, list[str]], Any]


def check_filled_record(tmp_path: Path, backend: str, check: Check) -> list[str]:
    """Fill a record with 30 served writes of two incarnations; return the lines that a check reports."""
    reported: list[str] = []

    async def run() -> None:
        async with record_deployment(tmp_path, backend) as deployment:
            for incarnation in range(2):
                await asyncio.gather(*(deployment.put(f"k{incarnation}-{n}", piece=n) for n in range(15)))
                await deployment.shut_down()
                if not incarnation:
                    await deployment.start_incarnation()
            await check(deployment, reported)

    asyncio.run(run())
    return reported


def change_record(deployment: RecordDeployment, sql: str) -> None:
    with sqlite3.connect(deployment.file) as db:
        db.execute(sql)
