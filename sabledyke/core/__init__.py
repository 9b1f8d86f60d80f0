"""Requests, attempts and answers between front ends and storage nodes, independent of wire protocols."""

from sabledyke.core.core import Core
from sabledyke.core.open_request import ANSWER_GUARD_MS, ATTEMPT_GUARD_MS
from sabledyke.core.types import (
    Answer,
    AnswerStatus,
    AttemptResult,
    BodyStream,
    ClientRequest,
    EndpointSource,
    Transport,
)

__all__ = [
    "ANSWER_GUARD_MS",
    "ATTEMPT_GUARD_MS",
    "Answer",
    "AnswerStatus",
    "AttemptResult",
    "BodyStream",
    "ClientRequest",
    "Core",
    "EndpointSource",
    "Transport",
]
