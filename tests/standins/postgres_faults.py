"""Faults of the stand-in for PostgreSQL: errors, cuts, and scripts that say when they happen."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

LAG_S = 0.05


class PostgresError(Exception):
    """What a client gets as ErrorResponse."""

    def __init__(self, sqlstate: str, text: str) -> None:
        super().__init__(text)
        self.sqlstate = sqlstate


class ConnectionCutError(Exception):
    """The connection ends here, without a message."""


@dataclass(slots=True, frozen=True)
class Point:
    """Where a script may act: before a message is acted upon, or after, before it is answered."""

    session: int
    number: int  # of the message in its session, from 1
    stage: str  # "before" or "after"
    what: str  # the statement, or the message's type


Script = Callable[[Point], Awaitable[None]]


async def no_fault(_: Point) -> None:
    """Act as the script of a server that is well."""


def fault_at(session: int, message: int, fault: str) -> Script:
    """Return a script that acts once, at this message of a session.

    Args:
        session: The number of the session.
        message: The number of the message in it.
        fault: ``cut before`` or ``cut after`` it, ``slow``, or the SQLSTATE of an error.
    """
    hit: list[Point] = []

    async def script(point: Point) -> None:
        if hit or (point.session, point.number) != (session, message):
            return
        if fault.startswith("cut"):
            if fault.endswith(point.stage) or point.what == "Sync":
                hit.append(point)
                raise ConnectionCutError
        elif point.stage == "before":
            hit.append(point)
            if fault == "slow":
                await asyncio.sleep(LAG_S)
            else:
                raise PostgresError(fault, "as the script says")

    return script
