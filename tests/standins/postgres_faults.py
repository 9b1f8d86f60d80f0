"""Faults of the PostgreSQL stand-in: errors, aborted connections, and scripts that inject them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

SLOW_STATEMENT_S = 0.05


class PostgresError(Exception):
    """An error that is sent to the client as ErrorResponse."""

    def __init__(self, sqlstate: str, text: str) -> None:
        super().__init__(text)
        self.sqlstate = sqlstate


class ConnectionCutError(Exception):
    """The server closes the connection without a message."""


@dataclass(slots=True, frozen=True)
class FaultPoint:
    """A point at which a script may inject a fault: before a message is processed, or before its response.

    Attributes:
        session: Number of the session.
        number: Number of the message in its session, from 1.
        stage: ``before`` the message is processed, or ``after`` that and before the response.
        label: The statement, or the type of the message.
    """

    session: int
    number: int
    stage: str
    label: str


Script = Callable[[FaultPoint], Awaitable[None]]


async def no_fault(_: FaultPoint) -> None:
    """Inject no fault."""


def fault_at(session: int, message: int, fault: str) -> Script:
    """Return a script that injects one fault, at this message of a session.

    Args:
        session: The number of the session.
        message: The number of the message in the session.
        fault: ``cut before`` or ``cut after`` the message, ``slow``, or the SQLSTATE of an error.
    """
    hit: list[FaultPoint] = []

    async def script(point: FaultPoint) -> None:
        if hit or (point.session, point.number) != (session, message):
            return
        if fault.startswith("cut"):
            if fault.endswith(point.stage) or point.label == "Sync":
                hit.append(point)
                raise ConnectionCutError
        elif point.stage == "before":
            hit.append(point)
            if fault == "slow":
                await asyncio.sleep(SLOW_STATEMENT_S)
            else:
                raise PostgresError(fault, "error injected by the test")

    return script
