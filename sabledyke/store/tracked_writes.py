"""What the intent table holds of each keyed write and attempt that waits. Times are Unix milliseconds."""

from __future__ import annotations

from dataclasses import dataclass

from sabledyke.policy.settings import RequestClass
from sabledyke.store.types import SendRecord


@dataclass(slots=True)
class TrackedWrite:
    """A keyed write that is open, or one whose earlier send may have run.

    Attributes:
        first_send: Its first send.
        retain_until_ms: Until when it stays in memory; the database retains it longer.
        durable: Whether its intent is in the database.
        may_have_run: Whether an attempt that ended may have run.
        in_flight: Attempts whose outcome is not known.
    """

    first_send: SendRecord
    retain_until_ms: float
    durable: bool = False
    may_have_run: bool = False
    in_flight: int = 0

    @property
    def was_sent(self) -> bool:
        """Whether an attempt was sent, or is being sent."""
        return self.may_have_run or self.in_flight > 0


@dataclass(slots=True, frozen=True)
class WaitingAttempt:
    """An attempt that waits for the intent of its write to be durable.

    Attributes:
        name: The write's name.
        send: What is recorded of this send.
        deadline_ms: When the attempt expires.
        request_class: The class of its request.
    """

    name: str
    send: SendRecord
    deadline_ms: float
    request_class: RequestClass
