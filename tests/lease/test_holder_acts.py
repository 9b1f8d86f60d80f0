"""Acts in the holder's state: when a lease may be released, and when it is left to expire."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from sabledyke.errors import ActUnresolvedError, LeaseLostError
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


def acting(now_ms: float = 0.0) -> HolderState:
    """Return a holder whose act is out."""
    state = holder.on_tick(HolderState("me"), TIMES, now_ms, 0.0).state
    state = holder.on_reply(state, TIMES, now_ms, state.request_number, FREE, 0.0).state
    state = holder.on_tick(state, TIMES, now_ms, 0.0).state
    assert isinstance(state.pending_request, Acquire)
    state = holder.on_reply(state, TIMES, now_ms, state.request_number, Granted(TOKEN), 0.0).state
    assert holder.may_begin_act(state, now_ms)
    return holder.on_act_begun(state, TIMES).state


def recall(state: HolderState, now_ms: float = 200.0) -> Transition:
    """Return what follows from a renewal that brings a recall."""
    state = holder.on_tick(state, TIMES, now_ms, 0.0).state
    return holder.on_reply(state, TIMES, now_ms, state.request_number, Renewed(recalled=True), 0.0)


def released(transition: Transition) -> bool:
    """Return whether the lease is released."""
    return [sent.request for sent in transition.requests] == [Release(TOKEN)]


def complete(state: HolderState, now_ms: float, *, is_completed: bool) -> Transition:
    """Return what follows from the end of the act, or of the wait for it."""
    return holder.on_act_completed(state, TIMES, now_ms, TOKEN, is_completed=is_completed)


@pytest.mark.parametrize("reason", ["stop", "recall"])
@pytest.mark.parametrize("is_completed", [True, False])
def test_a_lease_that_is_given_up_waits_for_the_act_and_is_released_only_if_that_ended(
    reason: str, *, is_completed: bool
) -> None:
    given_up = holder.on_stop(acting(), TIMES, 200.0) if reason == "stop" else recall(acting())
    assert given_up.events == [HolderEvent.WAITING_FOR_ACT]
    assert not released(given_up)
    assert not holder.may_begin_act(given_up.state, 200.0)
    assert holder.may_act(given_up.state, 200.0)  # for the steps of the act that is out
    after = complete(given_up.state, 300.0, is_completed=is_completed)
    assert released(after) is is_completed
    assert after.events == [HolderEvent.RELEASED if is_completed else HolderEvent.ABANDONED]
    assert after.state.phase is (Phase.STOPPED if reason == "stop" else Phase.WATCHING)


def test_an_act_without_an_answer_counts_until_the_end_of_its_lease() -> None:
    state = complete(acting(), 100.0, is_completed=False).state
    ends_ms = TIMES.acting_window_ms + TIMES.safety_margin_ms
    assert state.phase is Phase.HOLDING
    assert not holder.may_begin_act(state, 100.0)
    assert not released(holder.on_stop(state, TIMES, ends_ms - 1))
    assert released(holder.on_stop(state, TIMES, ends_ms))
    state = holder.on_tick(state, TIMES, 200.0, 0.0).state
    state = holder.on_reply(state, TIMES, 200.0, state.request_number, Renewed(), 0.0).state
    assert not holder.may_begin_act(state, ends_ms - 1)
    assert holder.may_begin_act(state, ends_ms)


def test_a_lease_that_was_left_to_expire_is_not_taken_up_again() -> None:
    state = complete(recall(acting()).state, 300.0, is_completed=False).state
    state = holder.on_tick(state, TIMES, 300.0, 0.0).state
    mine = LeaseStatus(LeaseVersion(TOKEN, 1), "me", is_free=False, ttl_ms=TIMES.ttl_ms)
    state = holder.on_reply(state, TIMES, 300.0, state.request_number, mine, 0.0).state
    assert state.phase is Phase.WATCHING


def test_a_holder_that_found_its_lease_again_and_hears_nothing_lets_it_expire() -> None:
    """Guards against renewals without replies, which keep a lease from everybody."""
    state = holder.on_tick(HolderState("me"), TIMES, 0.0, 0.0).state
    mine = LeaseStatus(LeaseVersion(TOKEN, 0), "me", is_free=False, ttl_ms=TIMES.ttl_ms)
    state = holder.on_reply(state, TIMES, 0.0, state.request_number, mine, 0.0).state
    requests = []
    for step in range(1, 100):
        state, sent, _ = holder.on_tick(state, TIMES, step * 50.0, 0.5)
        requests += [type(send.request) for send in sent]
    assert requests[0] is Renew
    assert set(requests[1:]) == {Inspect}
    assert not holder.may_act(state, 5000.0)


def test_a_call_takes_no_longer_than_its_lease_and_then_counts_as_out(tmp_path: Path) -> None:
    """Guards against a call that outlives the lease, and against a release while the service works on it."""

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
        with pytest.raises((ActUnresolvedError, LeaseLostError)):
            async with manager.act():
                await call(manager)
        assert loop.time() - began_s <= TIMES.ttl_ms / 1000
        await manager.stop()
        await task
        assert (await authority.list_leases())[0].holder == "me"  # it is not released
        await authority.close()
        await resource.close()

    asyncio.run(asyncio.wait_for(run(), TIMEOUT_S))


def test_no_act_begins_beside_another(tmp_path: Path) -> None:
    async def run() -> None:
        authority = SqlAuthority(Target(path=str(tmp_path / "leases")), TIMES.ttl_ms)
        await authority.open()
        manager = LeaseManager("sweep", "me", authority, TIMES, 1)
        task = asyncio.create_task(manager.run())
        await manager.leading.wait()
        async with manager.act() as lease:
            assert isinstance(lease, HeldLease)
            assert not manager.leading.is_set()
            with pytest.raises(LeaseLostError):
                async with manager.act():
                    pass
        assert manager.leading.is_set()
        await manager.stop()
        await task
        await authority.close()

    asyncio.run(asyncio.wait_for(run(), TIMEOUT_S))
