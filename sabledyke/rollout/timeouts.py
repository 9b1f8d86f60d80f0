"""Timeouts of the coordinator for members and storage nodes."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Timeouts:
    """Milliseconds on the coordinator's clock.

    Attributes:
        heartbeat_timeout_ms: Time without a heartbeat after which a member counts as out of service.
        return_timeout_ms: Time for a released member or drained node to return, after which its plan halts.
        canary_soak_ms: Time for which a canary is observed before others follow.
        warm_up_ms: Time for which a node still counts as out of service after it is listed again.
    """

    heartbeat_timeout_ms: float = 5000.0
    return_timeout_ms: float = 60_000.0
    canary_soak_ms: float = 10_000.0
    warm_up_ms: float = 10_000.0
