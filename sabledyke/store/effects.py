"""Effects that ``IntentManager`` returns from each call for its driver to carry out."""

from __future__ import annotations

from dataclasses import dataclass

AttemptId = tuple[int, int]  # a request and the number of an attempt


@dataclass(slots=True, frozen=True)
class SendAttempt:
    """Send the attempt, because its intent is durable."""

    attempt: AttemptId


@dataclass(slots=True, frozen=True)
class ExpireAttempt:
    """Do not send the attempt, because its intent did not become durable in time."""

    attempt: AttemptId


@dataclass(slots=True, frozen=True)
class BlockAttempt:
    """Do not send the attempt, because the write may have run outside the scope of its idempotency key.

    The earlier send was to another deduplication scope, or its deduplication window has passed.
    """

    attempt: AttemptId


@dataclass(slots=True, frozen=True)
class CompleteWrite:
    """Answer a write that a node has served.

    Attributes:
        ticket: The driver's number of the served answer.
        journaled: True if its entry is in the journal; otherwise the client is answered ``failed``.
    """

    ticket: int
    journaled: bool


@dataclass(slots=True, frozen=True)
class LogLine:
    """Log a line for the operators."""

    text: str


Effect = SendAttempt | ExpireAttempt | BlockAttempt | CompleteWrite | LogLine
