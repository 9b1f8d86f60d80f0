"""Keyed writes and waiting attempts, as the intent table holds them. Times are Unix milliseconds."""

from __future__ import annotations

from dataclasses import dataclass

from sabledyke.policy.settings import RequestClass
from sabledyke.store.types import SendRecord


@dataclass(slots=True)
class TrackedWrite:
    """A keyed write that is open, or one whose earlier send may have run.

    Attributes:
        first_send: The first send of the write.
        retain_until_ms: Time until which the write stays in memory; the database retains it longer.
        durable: True if the intent is in the database.
        may_have_run: True if a completed attempt may have run.
        in_flight: Number of attempts that were sent and have not ended.
    """

    first_send: SendRecord
    retain_until_ms: float
    durable: bool = False
    may_have_run: bool = False
    in_flight: int = 0

    @property
    def was_sent(self) -> bool:
        """True if an attempt is in flight, or an earlier one may have run."""
        return self.may_have_run or self.in_flight > 0


@dataclass(slots=True, frozen=True)
class WaitingAttempt:
    """An attempt that waits for the intent of its write to be durable.

    Attributes:
        name: The name of the write.
        send: Time and place of the send, as the intent records them.
        deadline_ms: Time at which the attempt expires.
        request_class: The class of the request.
    """

    name: str
    send: SendRecord
    deadline_ms: float
    request_class: RequestClass
