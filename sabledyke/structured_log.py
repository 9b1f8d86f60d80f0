"""Structured logs through structlog: one JSON object a line, for installations that collect logs.

This module is imported only if the operator's file has ``[log] format = "json"``. Each line has ``kind``
(docs/ONCALL.md lists the kinds), ``event`` (the text), ``instance`` (the scheduler's name), ``life`` (its
incarnation, new with each start), ``mono`` and ``wall`` (monotonic and Unix time in ms), and the fields that
are specific to the line.
"""

from __future__ import annotations

import sys
import time
from uuid import uuid4

import orjson
import structlog

from sabledyke import log

INCARNATION_DIGITS = 12


def set_up(instance: str) -> str:
    """Write all further log lines as JSON objects.

    Args:
        instance: The name of this scheduler.

    Returns:
        The incarnation that every line contains.
    """
    incarnation = uuid4().hex[:INCARNATION_DIGITS]
    logger = structlog.wrap_logger(
        structlog.BytesLogger(sys.stderr.buffer),
        processors=[_add_times, structlog.processors.JSONRenderer(serializer=_to_json)],
    ).bind(instance=instance, life=incarnation)

    def write(kind: str, text: str, fields: dict[str, log.Field]) -> None:
        logger.info(text, kind=kind, **fields)

    log.set_writer(write)
    return incarnation


def _add_times(_: object, __: str, event: structlog.typing.EventDict) -> structlog.typing.EventDict:
    event["mono"] = round(time.monotonic() * 1000, 3)
    event["wall"] = round(time.time() * 1000, 3)
    return event


def _to_json(event: object, **_: object) -> bytes:
    return orjson.dumps(event)
