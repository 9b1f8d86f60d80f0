"""Members of the quota simulation: what each knows, its register on the log, and what makes it safe."""

from __future__ import annotations

from dataclasses import dataclass, field

from sabledyke.quota_sharing.allocation import Demands, QuotaAllocator, QuotaPolicy, Timing


@dataclass(slots=True, frozen=True)
class Safeguards:
    """What a member keeps to; each may be left out, to show that it is needed.

    Attributes:
        counts_over_window: It counts the least that it published and the most that others did over a window,
            not the last.
        limits_poll_gap: It takes its floor alone where it has not polled for long.
        expires_confirmation: It takes its floor alone by the time that others count it as expired.
        waits_for_predecessor: A new incarnation waits until the share of a former one is certainly over.
        writes_conditionally: It writes a publication only over the one that it replaces.
    """

    counts_over_window: bool = True
    limits_poll_gap: bool = True
    expires_confirmation: bool = True
    waits_for_predecessor: bool = True
    writes_conditionally: bool = True


ALL_SAFEGUARDS = Safeguards()


@dataclass(slots=True)
class Register:
    """What the log holds of one member."""

    incarnation: int = 1
    number: int = 0
    demands: Demands = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Member:
    """A process.

    Attributes:
        name: Its name.
        clock_rate: How fast its clock runs.
        allocator: The shares of its incarnation.
        incarnation: Its incarnation.
        last_number: Number of its last publication.
        known_number: Number of the publication that stands, as far as it knows.
        known_at_ms: Since when it knows, on its clock.
        is_up: It runs.
        paused_until_ms: It does nothing until then.
        is_writing: A write waits for its answer.
        demand: What its clients want.
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
    """A publication on its way to the member's register."""

    member: Member
    incarnation: int
    number: int
    demands: Demands
    replaces: int
    took_effect: bool = False


class PartialAllocator(QuotaAllocator):
    """An allocator that keeps to some of its safeguards only."""

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
        own = self._publications[-1].demands.get(volume, 0.0)  # what was published last, and seen last
        others = sum(other.seen[-1][1].get(volume, 0.0) for other in self._sharing_members(now_ms))
        return own / (own + others) if own else 0.0
