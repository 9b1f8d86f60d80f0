"""Structured logs through structlog: a JSON object a line, for installations that collect them.

Loaded only where the operator's file has ``[log] format = "json"``. Each line has ``kind`` (as docs/ONCALL.md
lists them), ``event`` (the text), ``instance`` (its name), ``life`` (a new one with each start), ``mono`` and
``wall`` (ms, steady and Unix), and the figures that come with it.
"""

from __future__ import annotations

import sys
import time
from uuid import uuid4

import orjson
import structlog

from sabledyke import log


def _times(_: object, __: str, event: structlog.typing.EventDict) -> structlog.typing.EventDict:
    event["mono"], event["wall"] = round(time.monotonic() * 1000, 3), round(time.time() * 1000, 3)
    return event


def set_up(instance: str) -> str:
    """Write all lines so from now on; the life that they carry."""
    life = uuid4().hex[:12]
    logger = structlog.wrap_logger(
        structlog.BytesLogger(sys.stderr.buffer),
        processors=[_times, structlog.processors.JSONRenderer(serializer=lambda e, **_: orjson.dumps(e))],
    ).bind(instance=instance, life=life)

    def write(kind: str, text: str, figures: dict[str, log.Field]) -> None:
        logger.info(text, kind=kind, **figures)

    log.set_writer(write)
    return life
