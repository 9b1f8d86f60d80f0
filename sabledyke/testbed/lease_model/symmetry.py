"""Symmetry reduction: one state represents all that differ only in the numbering of instances of one rate."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from itertools import permutations

from sabledyke.lease.types import (
    Acquire,
    Granted,
    LeaseReply,
    LeaseRequest,
    LeaseStatus,
    Release,
    Renew,
    Renewed,
)
from sabledyke.testbed.lease_model.state import RESTART_MARK, Instance, ModelState

SortKey = tuple[object, ...]
Renaming = Callable[[str], str]
NEVER_SEEN = (-1, -1)
NOT_ITS_LEASE = -1
NO_OPERATION = ()


def representative(state: ModelState) -> ModelState:
    """Return the state in which the instances of each clock rate are sorted by their sort keys.

    If two instances have equal sort keys, return the state with the smallest ``repr`` among all orders.
    """
    rates = [instance.clock_rate for instance in state.instances]
    if len(set(rates)) == len(rates):
        return state
    keys = [_sort_key(state, number) for number in range(len(rates))]
    if len({*zip(rates, keys, strict=True)}) < len(rates):
        orders = [order for order in permutations(range(len(rates))) if [rates[i] for i in order] == rates]
        return min((_reordered(state, order) for order in orders), key=repr)
    sorted_numbers = {
        rate: iter(sorted((key, number) for number, key in enumerate(keys) if rates[number] == rate))
        for rate in rates
    }
    order = tuple(next(sorted_numbers[rate])[1] for rate in rates)
    return state if order == tuple(range(len(rates))) else _reordered(state, order)


def _sort_key(state: ModelState, number: int) -> SortKey:
    """Return a sortable form of the parts of a state that concern one instance, without its number."""
    instance = state.instances[number]
    holder = instance.holder
    messages = tuple(
        (message.is_awaited, message.incarnation.count(RESTART_MARK), *_payload_key(message.payload))
        for message in state.in_flight
        if message.instance == number
    )
    is_its_lease = state.holder_id.rstrip(RESTART_MARK) == str(number)
    return (
        instance.is_paused,
        holder.holder_id.count(RESTART_MARK),
        holder.phase.value,
        holder.token,
        holder.may_operate_until_ms,
        holder.operating,
        holder.operation_status.value,
        holder.operation_covered_until_ms,
        holder.abandoned_token,
        instance.operation or NO_OPERATION,
        holder.seen_version or NEVER_SEEN,
        holder.seen_free,
        holder.unchanged_since_ms,
        holder.requested_at_ms,
        holder.next_request_at_ms,
        _payload_key(holder.pending_request),
        messages,
        state.holder_id.count(RESTART_MARK) if is_its_lease else NOT_ITS_LEASE,
    )


def _payload_key(payload: LeaseRequest | LeaseReply | None) -> tuple[str, tuple[int, ...]]:
    """Return a sortable form of a message, without the holder identifiers in it."""
    match payload:
        case Acquire(version):
            return "try_acquire", version
        case LeaseStatus(version, _, is_free):
            return "status", (*version, is_free)
        case Renew(token) | Release(token) | Granted(token):
            return type(payload).__name__, (token,)
        case Renewed(recalled):
            return "renewed", (recalled,)
    return type(payload).__name__, ()


def _reordered(state: ModelState, order: tuple[int, ...]) -> ModelState:
    """Return the state with instance ``order[i]`` at place ``i``, and identifiers with the new numbers."""
    places = {str(old): new for new, old in enumerate(order)}

    def renamed(holder_id: str) -> str:
        if not holder_id:
            return ""
        number = holder_id.rstrip(RESTART_MARK)
        return f"{places[number]}{holder_id[len(number) :]}"

    in_flight = [
        message._replace(
            instance=places[str(message.instance)],
            incarnation=renamed(message.incarnation),
            payload=_renamed_payload(message.payload, renamed),
        )
        for message in state.in_flight
    ]
    return state._replace(
        instances=tuple(_renamed_instance(state.instances[old], renamed) for old in order),
        holder_id=renamed(state.holder_id),
        in_flight=tuple(sorted(in_flight, key=lambda message: (message.instance, message.is_awaited))),
    )


def _renamed_instance(instance: Instance, renamed: Renaming) -> Instance:
    holder_id = renamed(instance.holder.holder_id)
    if holder_id == instance.holder.holder_id:
        return instance
    return instance._replace(holder=replace(instance.holder, holder_id=holder_id))


def _renamed_payload(payload: LeaseRequest | LeaseReply, renamed: Renaming) -> LeaseRequest | LeaseReply:
    if not isinstance(payload, LeaseStatus):
        return payload
    return replace(payload, holder=renamed(payload.holder))
