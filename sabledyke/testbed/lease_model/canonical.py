"""The canonical form of a state of the lease model, which contains only what can still have an effect.

Times are relative to the current time, versions and tokens are replaced by their ranks, and messages without
an effect are dropped. ``symmetry`` selects one of the states that differ only in the numbering of instances.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from math import ceil

from sabledyke.lease.holder_state import HOLDING_PHASES, HolderState, OperationStatus
from sabledyke.lease.types import (
    UNACQUIRED,
    Acquire,
    Granted,
    LeaseReply,
    LeaseRequest,
    LeaseStatus,
    LeaseVersion,
    Release,
    Renew,
)
from sabledyke.testbed.lease_model.state import TIMES, Instance, Message, ModelState
from sabledyke.testbed.lease_model.symmetry import representative
from sabledyke.testbed.state_updates import ranks

TIME_HORIZON_MS = 64.0
"""Times that differ from the current time by more than this are equivalent."""
ROUNDING_DIGITS = 6


def canonical(state: ModelState) -> ModelState:
    """Return the canonical form of a state, which represents all states with the same behaviour."""
    in_flight = _effective_messages(state)
    version_ranks = _VersionRanks(_versions(state, in_flight))
    ranked = ModelState(
        instances=tuple(_canonical_instance(instance, version_ranks) for instance in state.instances),
        version=version_ranks.version(state.version),
        holder_id=state.holder_id,
        expires_in=_normalized(state.expires_in) if state.holder_id else 0.0,
        in_flight=tuple(
            Message(
                message.instance,
                message.incarnation,
                message.is_awaited,
                version_ranks.payload(message.payload),
            )
            for message in in_flight
        ),
        budget=state.budget,
        is_recalled=state.is_recalled,
    )
    return representative(ranked)


def _effective_messages(state: ModelState) -> tuple[Message, ...]:
    """Return the messages that can still have an effect.

    Of the requests for which an instance no longer waits, only the newest one that writes can have one.
    """
    newest: dict[tuple[int, bool], Message] = {}
    for message in state.in_flight:
        if message.is_awaited or isinstance(message.payload, Acquire | Renew | Release):
            newest[message.instance, message.is_awaited] = message
    return tuple(newest[key] for key in sorted(newest))


def _versions(state: ModelState, in_flight: tuple[Message, ...]) -> Iterator[LeaseVersion]:
    """Return the versions in a state; a token without a beat counts as a version with beat 0."""
    yield UNACQUIRED
    yield state.version
    for instance in state.instances:
        if instance.holder.seen_version:
            yield instance.holder.seen_version
        if instance.holder.phase in HOLDING_PHASES:
            yield LeaseVersion(instance.holder.token, 0)
        if isinstance(instance.holder.pending_request, Release):
            yield LeaseVersion(instance.holder.pending_request.token, 0)
        if instance.holder.abandoned_token:
            yield LeaseVersion(instance.holder.abandoned_token, 0)
        if instance.operation is not None:
            yield LeaseVersion(instance.operation.token, 0)
    for message in in_flight:
        match message.payload:
            case Acquire(version) | LeaseStatus(version):
                yield version
            case Renew(token) | Release(token) | Granted(token):
                yield LeaseVersion(token, 0)


class _VersionRanks:
    """Ranks of the tokens in a state, and of the beats of each token."""

    def __init__(self, versions: Iterator[LeaseVersion]) -> None:
        beats: dict[int, set[int]] = {}
        for token, beat in versions:
            beats.setdefault(token, set()).add(beat)
        self.tokens = ranks(beats.keys())
        self._beats = {token: ranks(of_token) for token, of_token in beats.items()}

    def version(self, version: LeaseVersion) -> LeaseVersion:
        token, beat = version
        return LeaseVersion(self.tokens[token], self._beats[token][beat])

    def payload(self, payload: LeaseRequest | LeaseReply) -> LeaseRequest | LeaseReply:
        return self.request(payload) if isinstance(payload, LeaseRequest) else self._reply(payload)

    def request(self, request: LeaseRequest) -> LeaseRequest:
        match request:
            case Acquire(version):
                return Acquire(self.version(version))
            case Renew(token):
                return Renew(self.tokens[token])
            case Release(token):
                return Release(self.tokens[token])
        return request

    def _reply(self, reply: LeaseReply) -> LeaseReply:
        match reply:
            case LeaseStatus(version):
                return replace(reply, version=self.version(version))
            case Granted(token):
                return Granted(self.tokens[token])
        return reply


def _canonical_instance(instance: Instance, version_ranks: _VersionRanks) -> Instance:
    """Reset the fields that the holder's phase does not read, and round times up to the next tick."""
    holder = instance.holder
    rate = instance.clock_rate
    request = holder.pending_request
    is_waiting = request is not None
    is_holding = holder.phase in HOLDING_PHASES
    is_operation_in_flight = holder.operation_status is not OperationStatus.COMPLETED
    operation = instance.operation
    if operation is not None:
        operation = operation._replace(
            token=version_ranks.tokens[operation.token],
            remaining=_at_tick(max(operation.remaining, 0.0), rate),
        )
    is_acting = is_holding and holder.may_operate_until_ms > 0
    has_seen = holder.seen_version is not None
    canonical_holder = HolderState(
        holder_id=holder.holder_id,
        phase=holder.phase,
        token=version_ranks.tokens[holder.token] if is_holding else 0,
        may_operate_until_ms=_at_tick(holder.may_operate_until_ms, rate)
        if is_acting
        else min(holder.may_operate_until_ms, -TIME_HORIZON_MS),
        operating=is_acting,
        operation_status=holder.operation_status,
        operation_covered_until_ms=_at_tick(max(holder.operation_covered_until_ms, 0.0), rate)
        if is_operation_in_flight
        else 0.0,
        abandoned_token=version_ranks.tokens[holder.abandoned_token] if holder.abandoned_token else 0,
        seen_version=version_ranks.version(holder.seen_version) if holder.seen_version else None,
        seen_free=holder.seen_free,
        unchanged_since_ms=_normalized(max(holder.unchanged_since_ms, -TIMES.ttl_ms)) if has_seen else 0.0,
        pending_request=version_ranks.request(request) if request is not None else None,
        requested_at_ms=_normalized(holder.requested_at_ms) if is_waiting else 0.0,
        next_request_at_ms=0.0 if is_waiting else _at_tick(max(holder.next_request_at_ms, 0.0), rate),
    )
    return Instance(canonical_holder, rate, instance.is_paused, operation)


def _normalized(time: float) -> float:
    """Return the number in the one form that has the same ``repr`` each time: 4.0 for 4, and 0.0 for -0.0."""
    return float(time) + 0.0


def _at_tick(time: float, rate: int) -> float:
    """Return the first reading, at or after this time, of a clock that advances by ``rate`` in each tick."""
    return float(ceil(round(time / rate, ROUNDING_DIGITS)) * rate)
