"""Members of the quota simulation: their state, their registers on the log, and their safeguards."""

from __future__ import annotations

from dataclasses import dataclass, field

from sabledyke.quota_sharing.allocation import Demands, QuotaAllocator, QuotaPolicy, Timing


@dataclass(slots=True, frozen=True)
class Safeguards:
    """Safeguards of a member; each can be disabled to show that it is necessary.

    Attributes:
        counts_over_window: The member counts its smallest and the others' largest published demand over a
            window, not the latest ones.
        limits_poll_gap: The member uses only its floor if its latest poll is too old.
        expires_confirmation: The member uses only its floor once other members may count it as expired.
        waits_for_predecessor: A new incarnation waits until the share of a former one has certainly expired.
        writes_conditionally: The member writes a publication only over the one that it replaces.
    """

    counts_over_window: bool = True
    limits_poll_gap: bool = True
    expires_confirmation: bool = True
    waits_for_predecessor: bool = True
    writes_conditionally: bool = True


ALL_SAFEGUARDS = Safeguards()


@dataclass(slots=True)
class Register:
    """The register of one member on the log."""

    incarnation: int = 1
    number: int = 0
    demands: Demands = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Member:
    """A simulated member of the fleet.

    Attributes:
        name: The member's name.
        clock_rate: The rate of the member's clock.
        allocator: The quota allocator of the current incarnation.
        incarnation: The number of the current incarnation.
        last_number: Number of the member's latest publication.
        known_number: Number of the publication in the register, as far as the member knows.
        known_at_ms: Time at which the member learned ``known_number``, on its own clock.
        is_up: True while the member runs.
        paused_until_ms: End of the member's pause.
        is_writing: True while a write waits for its answer.
        demand: The demand of the member's clients.
    """

    name: str
    clock_rate: float
    allocator: QuotaAllocator
    incarnation: int = 1
    last_number: int = 0
    known_number: int = 0
    known_at_ms: float = 0.0
    is_up: bool = True
    paused_until_ms: float = 0.0
    is_writing: bool = False
    demand: float = 0.0


@dataclass(slots=True, eq=False)
class Write:
    """A publication that is being written to the member's register."""

    member: Member
    incarnation: int
    number: int
    demands: Demands
    replaces: int
    took_effect: bool = False


class PartialAllocator(QuotaAllocator):
    """A quota allocator with only some of its safeguards."""

    def __init__(self, safeguards: Safeguards, policy: QuotaPolicy, timing: Timing) -> None:
        super().__init__(policy, timing)
        self._safeguards = safeguards

    def _is_polling_in_time(self, now_ms: float) -> bool:
        return not self._safeguards.limits_poll_gap or super()._is_polling_in_time(now_ms)

    def _is_known_to_all(self, now_ms: float) -> bool:
        return not self._safeguards.waits_for_predecessor or super()._is_known_to_all(now_ms)

    def _is_confirmed(self, now_ms: float) -> bool:
        return not self._safeguards.expires_confirmation or super()._is_confirmed(now_ms)

    def _demand_share(self, volume: int, now_ms: float) -> float:
        if self._safeguards.counts_over_window:
            return super()._demand_share(volume, now_ms)
        # The latest publications replace the window's smallest and largest ones.
        own = self._publications[-1].demands.get(volume, 0.0)
        others = sum(other.seen[-1][1].get(volume, 0.0) for other in self._sharing_members(now_ms))
        return own / (own + others) if own else 0.0
