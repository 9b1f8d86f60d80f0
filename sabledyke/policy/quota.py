"""Token buckets of volumes, for the reservation that a plan guarantees and for the limit that the plan sets.

Each scheduler holds a share of both buckets: an even share among the schedulers that the volume uses, or the
share that quota sharing assigned to the scheduler. All shares together never exceed what the plan grants.
"""

from __future__ import annotations

from math import inf

from sabledyke.policy.context import Context
from sabledyke.policy.events import Request
from sabledyke.policy.settings import Settings
from sabledyke.policy.state import PendingRequest, VolumeState

MS_PER_SECOND = 1000
# Time for which a smaller share stays in force after the last request that stated it.
SHARE_RETENTION_MS = 60_000.0


class VolumeQuotas:
    """Token buckets of all volumes, by volume and plan."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self.volumes: dict[tuple[int, int], VolumeState] = {}
        self._handed_over_at_ms = inf

    def hand_over(self, now_ms: float) -> None:
        """Stops refilling the limits, as another process replaces this one; a later call changes nothing.

        The successor may already be running, with buckets that fill from its start. The tokens that it gains
        are deducted from those that this process may still spend: both together stay within each limit.
        """
        self._handed_over_at_ms = min(self._handed_over_at_ms, now_ms)

    def apply_settings(self, old: Settings, new: Settings) -> None:
        """Replaces the plan of each volume with the new plan at the same position."""
        for volume in self.volumes.values():
            volume.plan = new.plans[old.plans.index(volume.plan)]

    def volume_of(self, request: Request) -> VolumeState:
        """Returns the state of the request's volume, with its share updated and its buckets refilled.

        Each plan of a volume has buckets of its own: a request that names another plan takes no tokens from
        those of this plan.
        """
        key = request.volume, request.plan_index
        share = request.quota_share or 1 / max(1.0, request.scheduler_count)
        volume = self.volumes.get(key)
        if volume is None:
            volume = self._create(request, share)
            self.volumes[key] = volume
        if share < volume.quota_share and not request.quota_share:
            self._context.log(
                f"volume {request.volume:x} comes through {request.scheduler_count:g} hosts from now on"
            )
        self._update_share(volume, share, assigned=bool(request.quota_share))
        self.refill(volume)
        return volume

    def _update_share(self, volume: VolumeState, share: float, *, assigned: bool) -> None:
        """Adopts an assigned share, or the smallest share that requests stated recently.

        The share grows only after the smaller one has not been stated for ``SHARE_RETENTION_MS``: when the
        number of schedulers drops, the others may still use the larger number and have tokens saved. This
        also ends the effect of a number that only a single client stated.
        """
        now_ms = self._context.now_ms
        expired = now_ms >= volume.share_stated_ms + SHARE_RETENTION_MS
        if share > volume.quota_share and not assigned and not expired:
            return
        if share > volume.quota_share:
            self.refill(volume)  # the elapsed time counts at the smaller share
        volume.quota_share = share
        volume.share_stated_ms = now_ms

    def reserve(self, volume: VolumeState, units: float) -> bool:
        """Takes the units from the volume's reservation if it covers them; returns whether it does."""
        covered = volume.reserved_tokens >= units and volume.plan.reservation > 0
        if covered:
            volume.reserved_tokens -= units
        return covered

    def refund_reservation(self, pending: PendingRequest) -> None:
        """Puts back the units that a request took from the reservation, if no attempt of it was started."""
        if pending.reserved and not pending.attempts_started:
            pending.volume.reserved_tokens += pending.request.units

    def charge_limit(self, pending: PendingRequest) -> None:
        """Takes the units of a request's first attempt from the volume's limit."""
        if pending.volume.plan.limit > 0:
            pending.volume.limit_tokens -= pending.request.units

    def wait_for_limit_ms(self, pending: PendingRequest) -> float:
        """Returns the time until the limit allows this request: 0 if it does now, inf if it never will."""
        volume = pending.volume
        plan = volume.plan
        units = pending.request.units
        self.refill(volume)
        if plan.limit <= 0 or pending.attempts_started or volume.limit_tokens >= units:
            return 0.0
        if units > plan.limit_burst * volume.quota_share or self._handed_over_at_ms < inf:
            return inf
        return (units - volume.limit_tokens) / (plan.limit * volume.quota_share) * MS_PER_SECOND

    def refill(self, volume: VolumeState) -> None:
        """Refills both buckets of a volume up to the present."""
        plan = volume.plan
        now_ms = self._context.now_ms
        elapsed = (now_ms - volume.refilled_ms) / MS_PER_SECOND * volume.quota_share
        reserved = volume.reserved_tokens + plan.reservation * elapsed
        volume.reserved_tokens = min(reserved, self._reservation_capacity(volume))
        self._refill_limit(volume)
        volume.refilled_ms = now_ms

    def _refill_limit(self, volume: VolumeState) -> None:
        plan = volume.plan
        now_ms = self._context.now_ms
        filled_until_ms = min(now_ms, self._handed_over_at_ms)
        elapsed = max(0.0, filled_until_ms - volume.refilled_ms) / MS_PER_SECOND * volume.quota_share
        successor_elapsed = (now_ms - filled_until_ms) / MS_PER_SECOND * volume.quota_share
        capacity = plan.limit_burst * volume.quota_share - plan.limit * successor_elapsed
        volume.limit_tokens = max(0.0, min(volume.limit_tokens + plan.limit * elapsed, capacity))

    def evict_full(self, idle_since_ms: float) -> None:
        """Drops idle volumes with full buckets, as new records would have the same state."""
        for key, volume in list(self.volumes.items()):
            if volume.refilled_ms >= idle_since_ms:
                continue
            self.refill(volume)
            reservation_full = volume.reserved_tokens >= self._reservation_capacity(volume)
            if reservation_full and volume.limit_tokens >= volume.plan.limit_burst * volume.quota_share:
                del self.volumes[key]

    def _create(self, request: Request, share: float) -> VolumeState:
        """Returns a new volume state.

        The limit's bucket starts empty, as an earlier incarnation or other schedulers may have used the limit
        up. The reservation's bucket starts with the tokens of the scheduler's uptime.
        """
        context = self._context
        plan = context.settings.plans[request.plan_index]
        uptime_s = (context.now_ms - context.started_at_ms) / MS_PER_SECOND
        reserved = context.settings.max_units + plan.reservation * share * uptime_s
        return VolumeState(plan, share, reserved, 0.0, context.now_ms, share_stated_ms=context.now_ms)

    def _reservation_capacity(self, volume: VolumeState) -> float:
        return volume.plan.reservation * volume.quota_share + self._context.settings.max_units
