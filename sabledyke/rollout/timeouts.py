"""How long the coordinator waits for members and storage nodes."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Timeouts:
    """Milliseconds on the coordinator's clock.

    Attributes:
        heartbeat_timeout_ms: A member without a heartbeat for so long counts as out.
        return_timeout_ms: Who went out must be ready again by then, or its plan halts.
        canary_soak_ms: How long a canary is observed before others follow.
        warm_up_ms: How long a node counts as out after it is listed again.
    """

    heartbeat_timeout_ms: float = 5000.0
    return_timeout_ms: float = 60_000.0
    canary_soak_ms: float = 10_000.0
    warm_up_ms: float = 10_000.0
