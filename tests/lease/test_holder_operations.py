"""Operations in the holder's state: conditions to release a lease, or to let it expire."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from sabledyke.errors import LeaseLostError, OperationUnresolvedError
from sabledyke.lease import holder, leader_tasks
from sabledyke.lease.holder_state import HolderEvent, HolderState, Phase, Transition
from sabledyke.lease.manager import HeldLease, LeaseManager
from sabledyke.lease.section import Endpoint, LeaderTask
from sabledyke.lease.sql_authority import SqlAuthority
from sabledyke.lease.types import (
    Acquire,
    Granted,
    Inspect,
    LeaseStatus,
    LeaseVersion,
    Release,
    Renew,
    Renewed,
)
from sabledyke.store.section import Target
from sabledyke.testbed.fenced_resource import FencedResource
from tests.lease.support import TIMEOUT_S, TIMES

TOKEN = 7
FREE = LeaseStatus(LeaseVersion(TOKEN - 1, 0), "", is_free=True)


def holder_in_operation(now_ms: float = 0.0) -> HolderState:
    """Return the state of a holder with an operation in flight."""
    state = holder.on_tick(HolderState("me"), TIMES, now_ms, 0.0).state
    state = holder.on_reply(state, TIMES, now_ms, state.request_number, FREE, 0.0).state
    state = holder.on_tick(state, TIMES, now_ms, 0.0).state
    assert isinstance(state.pending_request, Acquire)
    state = holder.on_reply(state, TIMES, now_ms, state.request_number, Granted(TOKEN), 0.0).state
    assert holder.may_begin_operation(state, now_ms)
    return holder.on_operation_begun(state, TIMES).state


def recall(state: HolderState, now_ms: float = 200.0) -> Transition:
    """Return the transition of a renewal whose reply contains a recall."""
    state = holder.on_tick(state, TIMES, now_ms, 0.0).state
    return holder.on_reply(state, TIMES, now_ms, state.request_number, Renewed(recalled=True), 0.0)


def released(transition: Transition) -> bool:
    """Return whether the transition releases the lease."""
    return [sent.request for sent in transition.requests] == [Release(TOKEN)]


def complete(state: HolderState, now_ms: float, *, is_completed: bool) -> Transition:
    """Return the transition at the end of the operation, or of the wait for its answer."""
    return holder.on_operation_completed(state, TIMES, now_ms, TOKEN, is_completed=is_completed)


@pytest.mark.parametrize("reason", ["stop", "recall"])
@pytest.mark.parametrize("is_completed", [True, False])
def test_a_release_waits_for_the_operation_and_happens_only_if_it_has_completed(
    reason: str, *, is_completed: bool
) -> None:
    releasing = (
        holder.on_stop(holder_in_operation(), TIMES, 200.0)
        if reason == "stop"
        else recall(holder_in_operation())
    )
    assert releasing.events == [HolderEvent.WAITING_FOR_OPERATION]
    assert not released(releasing)
    assert not holder.may_begin_operation(releasing.state, 200.0)
    assert holder.may_operate(releasing.state, 200.0)  # for the steps of the operation in flight
    after = complete(releasing.state, 300.0, is_completed=is_completed)
    assert released(after) is is_completed
    assert after.events == [HolderEvent.RELEASED if is_completed else HolderEvent.ABANDONED]
    assert after.state.phase is (Phase.STOPPED if reason == "stop" else Phase.WATCHING)


def test_an_operation_without_an_answer_counts_until_the_end_of_its_lease() -> None:
    state = complete(holder_in_operation(), 100.0, is_completed=False).state
    ends_ms = TIMES.operating_window_ms + TIMES.safety_margin_ms
    assert state.phase is Phase.HOLDING
    assert not holder.may_begin_operation(state, 100.0)
    assert not released(holder.on_stop(state, TIMES, ends_ms - 1))
    assert released(holder.on_stop(state, TIMES, ends_ms))
    state = holder.on_tick(state, TIMES, 200.0, 0.0).state
    state = holder.on_reply(state, TIMES, 200.0, state.request_number, Renewed(), 0.0).state
    assert not holder.may_begin_operation(state, ends_ms - 1)
    assert holder.may_begin_operation(state, ends_ms)


def test_a_lease_that_was_left_to_expire_is_not_resumed() -> None:
    state = complete(recall(holder_in_operation()).state, 300.0, is_completed=False).state
    state = holder.on_tick(state, TIMES, 300.0, 0.0).state
    mine = LeaseStatus(LeaseVersion(TOKEN, 1), "me", is_free=False, ttl_ms=TIMES.ttl_ms)
    state = holder.on_reply(state, TIMES, 300.0, state.request_number, mine, 0.0).state
    assert state.phase is Phase.WATCHING


def test_a_resumed_lease_expires_if_its_renewals_get_no_replies() -> None:
    """Guards against renewals without replies, which keep a lease alive that no instance can use."""
    state = holder.on_tick(HolderState("me"), TIMES, 0.0, 0.0).state
    mine = LeaseStatus(LeaseVersion(TOKEN, 0), "me", is_free=False, ttl_ms=TIMES.ttl_ms)
    state = holder.on_reply(state, TIMES, 0.0, state.request_number, mine, 0.0).state
    requests = []
    for step in range(1, 100):
        state, sent, _ = holder.on_tick(state, TIMES, step * 50.0, 0.5)
        requests += [type(send.request) for send in sent]
    assert requests[0] is Renew
    assert set(requests[1:]) == {Inspect}
    assert not holder.may_operate(state, 5000.0)


def test_a_call_is_limited_by_its_lease_and_then_counts_as_in_flight(tmp_path: Path) -> None:
    """Guards against a call that outlives its lease, and against a release while the service works on it."""

    async def run() -> None:
        resource = FencedResource(operation_duration_ms=5000)
        await resource.open()
        authority = SqlAuthority(Target(path=str(tmp_path / "leases")), TIMES.ttl_ms)
        await authority.open()
        manager = LeaseManager("sweep", "me", authority, TIMES, 1)
        task = asyncio.create_task(manager.run())
        await manager.leading.wait()
        call = leader_tasks.action_of(
            LeaderTask("sweep", "call", 1000, endpoint=Endpoint("127.0.0.1", resource.port, "/")), None
        )
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        with pytest.raises((OperationUnresolvedError, LeaseLostError)):
            async with manager.operation():
                await call(manager)
        assert loop.time() - began_s <= TIMES.ttl_ms / 1000
        await manager.stop()
        await task
        assert (await authority.list_leases())[0].holder == "me"  # not released
        await authority.close()
        await resource.close()

    asyncio.run(asyncio.wait_for(run(), TIMEOUT_S))


def test_no_operation_begins_while_another_is_in_flight(tmp_path: Path) -> None:
    async def run() -> None:
        authority = SqlAuthority(Target(path=str(tmp_path / "leases")), TIMES.ttl_ms)
        await authority.open()
        manager = LeaseManager("sweep", "me", authority, TIMES, 1)
        task = asyncio.create_task(manager.run())
        await manager.leading.wait()
        async with manager.operation() as lease:
            assert isinstance(lease, HeldLease)
            assert not manager.leading.is_set()
            with pytest.raises(LeaseLostError):
                async with manager.operation():
                    pass
        assert manager.leading.is_set()
        await manager.stop()
        await task
        await authority.close()

    asyncio.run(asyncio.wait_for(run(), TIMEOUT_S))
