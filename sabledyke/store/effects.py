"""What the driver of the record is to do: the effects that ``IntentManager`` returns from each call."""

from __future__ import annotations

from dataclasses import dataclass

AttemptId = tuple[int, int]  # a request and the number of an attempt


@dataclass(slots=True, frozen=True)
class SendAttempt:
    """The intent is durable: send the attempt."""

    attempt: AttemptId


@dataclass(slots=True, frozen=True)
class ExpireAttempt:
    """Do not send the attempt: its intent could not be made durable in time."""

    attempt: AttemptId


@dataclass(slots=True, frozen=True)
class BlockAttempt:
    """Do not send the attempt: the write may have run where, or when, its idempotency key does not reach."""

    attempt: AttemptId


@dataclass(slots=True, frozen=True)
class CompleteWrite:
    """Answer a write that a node has served.

    Attributes:
        ticket: Which served answer, as the driver numbered it.
        journaled: Whether the journal has its entry; where it has not, the client is answered ``failed``.
    """

    ticket: int
    journaled: bool


@dataclass(slots=True, frozen=True)
class LogLine:
    """Log a line for the on-call staff."""

    text: str


Effect = SendAttempt | ExpireAttempt | BlockAttempt | CompleteWrite | LogLine
