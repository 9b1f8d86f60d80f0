"""States of the lease model, and the configurations in which it is explored."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from itertools import product
from typing import NamedTuple

from sabledyke.lease.holder_state import HolderState
from sabledyke.lease.types import LeaseReply, LeaseRequest, LeaseTimes, LeaseVersion

SLOW = 1
FAST = 2
DRIFT = (FAST - SLOW) / (FAST + SLOW)
"""Bound on clock drift: ``SLOW`` and ``FAST`` deviate from their mean by this fraction of it."""
TIMES = LeaseTimes(ttl_ms=4, renew_interval_ms=2, safety_margin_ms=0, max_clock_drift=DRIFT)
RECALL_TIMES = LeaseTimes(ttl_ms=4, renew_interval_ms=1, safety_margin_ms=0, max_clock_drift=DRIFT)
"""Times with which a holder may renew, and be notified of a recall, while an operation is in flight."""
TIMES_WITHOUT_DRIFT = LeaseTimes(
    ttl_ms=TIMES.ttl_ms, renew_interval_ms=TIMES.renew_interval_ms, safety_margin_ms=0, max_clock_drift=0
)
"""Times of a holder that assumes that clocks do not drift; the model shows that this is unsafe."""
MAX_STATES = 30_000_000
RESTART_MARK = "+"
"""Suffix of a holder identifier, repeated once for each incarnation of the instance after its first."""


class FaultBudget(NamedTuple):
    """Remaining number of times that each fault may occur; ``lab`` prints the names of the fields.

    Attributes:
        losses: Lost messages, lost answers to operations, and reset connections of operations.
        late: Requests that arrive after their instance has stopped waiting for the reply.
        pauses: Pauses of instances.
        deaths: Crashes of instances, each followed by an immediate restart.
        restarts: Restarts of an authority that tracks expiry.
        acts: Operations that begin.
        stops: Requests to an instance to shut down.
        returns: Restarts of stopped instances, as new incarnations.
        recalls: Recalls of the lease by an operator.
    """

    losses: int = 0
    late: int = 0
    pauses: int = 0
    deaths: int = 0
    restarts: int = 0
    acts: int = 0
    stops: int = 0
    returns: int = 0
    recalls: int = 0


class ModelOperation(NamedTuple):
    """An operation of an instance at the service that executes it.

    Attributes:
        token: Token of the lease under which the operation began.
        remaining: Time until its call times out, on its instance's clock. It does not run after that.
        is_running: True while the service executes it.
        is_awaited: True while the holder waits for its answer.
    """

    token: int
    remaining: float
    is_running: bool = True
    is_awaited: bool = True


class Message(NamedTuple):
    """A request or reply in flight; a reply for which its instance no longer waits is dropped at once.

    Attributes:
        instance: Number of the instance that sent the request.
        incarnation: Holder identifier of the incarnation that sent the request.
        is_awaited: True while the instance waits for the reply.
        payload: The request, or its reply.
    """

    instance: int
    incarnation: str
    is_awaited: bool
    payload: LeaseRequest | LeaseReply


class Instance(NamedTuple):
    """One instance; the times of its holder are relative to the current time.

    Attributes:
        holder: State of its holder.
        clock_rate: Time by which its clock advances in a tick.
        is_paused: True while it is paused; its clock still advances.
        operation: Its last operation, as long as it runs or its answer is awaited.
    """

    holder: HolderState
    clock_rate: int
    is_paused: bool = False
    operation: ModelOperation | None = None


class ModelState(NamedTuple):
    """A state of the fleet and the authority.

    Attributes:
        instances: The instances, by number.
        version: Version of the lease at the authority.
        holder_id: Identifier of its holder at the authority, "" for none.
        expires_in: Time until an authority that tracks expiry frees the lease, on the authority's clock.
        in_flight: Messages between instances and the authority.
        budget: Faults that may still occur.
        is_recalled: True if an operator has recalled the lease.
    """

    instances: tuple[Instance, ...]
    version: LeaseVersion
    holder_id: str
    expires_in: float
    in_flight: tuple[Message, ...]
    budget: FaultBudget
    is_recalled: bool = False


@dataclass(slots=True, frozen=True)
class ModelConfig:
    """Configuration of a fleet whose states are explored.

    Attributes:
        clock_rates: Rate of each instance's clock.
        authority_tracks_expiry: True if the authority frees expired leases itself, as etcd does; a database
            table does not.
        authority_clock_rate: Rate of the authority's clock.
        times: Times of the lease.
        budget: Faults that may occur.
        max_states: Number of states at which the search stops.
    """

    clock_rates: tuple[int, ...] = (SLOW, FAST, FAST)
    authority_tracks_expiry: bool = False
    authority_clock_rate: int = FAST
    times: LeaseTimes = TIMES
    budget: FaultBudget = FaultBudget()
    max_states: int = MAX_STATES


def _can_happen(fault: str, *, authority_tracks_expiry: bool) -> bool:
    """Return whether a fault has an effect: a database restart does not change the rows of a table."""
    return authority_tracks_expiry or fault != "restarts"


# Small fleets, each explored completely: two instances with one fault, three instances with no or one fault.
NETWORK_FAULTS = ("losses", "late", "pauses", "deaths", "restarts")
TWO_INSTANCE_CONFIGS = [
    ModelConfig((SLOW, FAST), tracks_expiry, budget=FaultBudget(**{fault: 1}))
    for tracks_expiry, fault in product((False, True), NETWORK_FAULTS)
    if _can_happen(fault, authority_tracks_expiry=tracks_expiry)
]
THREE_INSTANCE_CONFIGS = [
    ModelConfig((SLOW, FAST, FAST), tracks_expiry, budget=budget)
    for tracks_expiry in (False, True)
    for budget in (
        FaultBudget(),
        *(
            FaultBudget(**{fault: 1})
            for fault in NETWORK_FAULTS
            if _can_happen(fault, authority_tracks_expiry=tracks_expiry)
        ),
    )
]


def _both_authorities(budgets: Iterable[FaultBudget]) -> list[ModelConfig]:
    return [
        ModelConfig(
            (SLOW, FAST),
            tracks_expiry,
            times=RECALL_TIMES if budget.recalls else TIMES,
            budget=budget,
        )
        for tracks_expiry, budget in product((False, True), budgets)
    ]


# Two instances, one operation, and the events after which a holder releases its lease. The answer to the
# operation may be among the losses.
RELEASE_CONFIGS = _both_authorities((FaultBudget(acts=1, stops=1), FaultBudget(acts=1, recalls=1)))
RELEASE_WITH_FAULT_CONFIGS = _both_authorities(
    (
        FaultBudget(acts=1, stops=1, returns=1),
        FaultBudget(acts=1, stops=1, losses=1),
        FaultBudget(acts=1, recalls=1, losses=1),
        FaultBudget(acts=1, stops=1, recalls=1),
        FaultBudget(acts=1, stops=1, pauses=1),
    )
)
