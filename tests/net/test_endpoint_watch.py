"""The watch on discovery at rare moments, and how long a list may go without a request for it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest

from sabledyke import invariants
from sabledyke.net import endpoint_watch
from sabledyke.policy.actions import SetTimer
from sabledyke.policy.nodes import EndpointList, ListKind
from sabledyke.protocol import discovery
from sabledyke.protocol.watch_timeout import LOCAL_AGENT, POLLED_DISCOVERY, WatchTimeout
from tests.standins import Discovery
from tests.support.endpoint_lists import DRAINING, HOST, REMOVED, complete_list, delta_list
from tests.support.request_steps import until
from tests.support.scheduler_rig import SchedulerRig, actions_of
from tests.support.server_rig import DEPLOYMENT


class CallTimeouts:
    """Timeouts of calls that expire when a test says so, and not by the time that a busy machine takes.

    Attributes:
        delays_s: The delays that were asked for.
    """

    def __init__(self) -> None:
        self.delays_s: list[float] = []
        self._latest: asyncio.Timeout | None = None

    def timeout(self, delay_s: float) -> asyncio.Timeout:
        """Return a timeout without an end, in place of ``asyncio.timeout``."""
        self.delays_s.append(delay_s)
        self._latest = asyncio.timeout(None)
        return self._latest

    def expire(self) -> None:
        """Let the latest one expire now."""
        assert self._latest is not None
        self._latest.reschedule(asyncio.get_running_loop().time())


def play_watch(
    scenario: Callable[
        [endpoint_watch.EndpointWatch, Discovery, list[discovery.EndpointListing | None]], Awaitable[None]
    ],
    script: list[Any],
    **changes: Any,
) -> None:
    """Play a scenario with a watch on a scripted discovery."""

    async def run() -> None:
        service, seen = Discovery(), list[discovery.EndpointListing | None]()
        await service.open()
        service.hosts, service.script = [HOST], list(script)
        settings = replace(DEPLOYMENT, **changes)
        watch = endpoint_watch.EndpointWatch(("127.0.0.1", service.port), settings, None, seen.append)
        async with asyncio.timeout(30):
            await scenario(watch, service, seen)
        watch.stop()
        service.die()

    asyncio.run(run())


@pytest.mark.parametrize("asks", [False, True])
def test_a_fault_of_ours_does_not_end_the_watch_for_good(
    *, asks: bool, capfd: pytest.CaptureFixture[str]
) -> None:
    async def scenario(
        watch: endpoint_watch.EndpointWatch, _service: Discovery, seen: list[discovery.EndpointListing | None]
    ) -> None:
        faults, tell = [RuntimeError("a fault of ours")], watch.report

        def report(listing: discovery.EndpointListing | None) -> None:
            if listing is not None and faults:
                raise faults.pop()
            tell(listing)

        watch.report = report
        watch.watch(on=True)
        await until(lambda: seen)
        assert seen == [None]  # the module hears that the call failed
        assert not faults
        if asks:
            watch.watch(on=True)  # as it does then
        await until(lambda: len(seen) > 1)
        assert seen[1] is not None

    play_watch(scenario, [DRAINING], polls_endpoint_list=asks)
    assert "a fault of ours" in capfd.readouterr().err
    invariants.violations.clear()


@pytest.mark.parametrize("asked_before", [False, True])
def test_a_new_address_is_polled_at_once_and_the_old_one_reports_nothing_more(*, asked_before: bool) -> None:
    """A change counts as told 4 s after SIGHUP, whether or not the module has asked for a list yet."""

    async def scenario(
        watch: endpoint_watch.EndpointWatch, service: Discovery, seen: list[discovery.EndpointListing | None]
    ) -> None:
        new = Discovery()
        await new.open()
        new.hosts = [HOST | {"health": "draining"}]
        if asked_before:
            watch.watch(on=True)
            await until(lambda: seen)
            seen.clear()
        watch.fetch()
        await until(lambda: len(service.calls) > asked_before)  # a call is out at the old address
        watch.adopt(("127.0.0.1", new.port), replace(DEPLOYMENT, mean_units=3))
        await until(lambda: seen)
        for _ in range(50):
            await asyncio.sleep(0.001)
        states = [listing.update.entries[0].state.name for listing in seen if listing is not None]
        assert states == ["DRAINING"]
        assert len(seen) == 1
        new.die()

    play_watch(scenario, [])


@pytest.mark.parametrize("hosts", [3, 30, 200, 3200])
def test_after_failed_calls_the_list_is_requested_before_a_drain_must_be_known(hosts: int) -> None:
    """Told 6 s after discovery can be reached, and 2 s of grace; a call takes up to 3 s, and 0.15 s go by."""
    rig = SchedulerRig(polls_endpoint_list=True, scheduler_count=hosts)
    for _ in range(60):
        actions = rig.handle(EndpointList(ListKind.FAILED, 0, ()))
        (timer,) = actions_of(actions, SetTimer)
        assert 0 < timer.delay_ms <= 6000 + 2000 - 3000 - 150 - 350
        rig.now_ms += timer.delay_ms
    rig.scheduler.apply_settings(replace(rig.scheduler.context.settings, mean_units=3))
    (timer,) = actions_of(rig.handle(EndpointList(ListKind.FAILED, 0, ())), SetTimer)
    assert (
        timer.delay_ms <= rig.scheduler.discovery.first_call_spread_ms
    )  # new settings: the pauses begin anew


def test_a_silent_call_is_repeated_before_what_it_missed_counts_as_delivered() -> None:
    for seed in range(200):
        line, at = WatchTimeout(seed), 0.0
        for terms, max_ms in (
            (POLLED_DISCOVERY, max(6.0, POLLED_DISCOVERY.wait_s + 2)),
            (LOCAL_AGENT, 2.0),
        ):  # at once, 2 s to drain
            assert terms.wait_s + terms.response_margin_s + line.on_timeout(terms) <= max_ms
            line.on_response()
        pauses = [line.on_timeout(POLLED_DISCOVERY) for _ in range(50)]
        assert max(pauses) <= 2 * POLLED_DISCOVERY.jitter_s
        for _ in range(9):
            at = line.on_failure(LOCAL_AGENT)
        assert at == LOCAL_AGENT.backoff.max_s
    spread = [WatchTimeout(seed).on_timeout(POLLED_DISCOVERY) for seed in range(200)]
    assert all(30 < sum(k / 4 <= p < (k + 1) / 4 for p in spread) < 71 for k in range(4))  # not in step


@pytest.mark.parametrize(
    ("pushed", "script", "states"),
    [
        (True, [DRAINING, None, REMOVED], ["READY", "DRAINING", None, "GONE"]),  # taken up where it was cut
        (False, [DRAINING, None, REMOVED], []),
        # repeated: set aside, and said once
        (True, [DRAINING, DRAINING, REMOVED], ["READY", "DRAINING", "GONE"]),
        # Silent from the first byte on, after a change, in the middle of an answer: asked anew, and no more.
        (True, [bytearray(), DRAINING, bytearray(), REMOVED], ["READY", "DRAINING", "GONE"]),
        (
            True,
            [DRAINING, bytearray(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{"), REMOVED],
            ["READY", "DRAINING", "GONE"],
        ),
        (
            True,
            [DRAINING, b'{"seq": 3, "whole": false, "hosts": [', REMOVED],
            ["READY", "DRAINING", None, "GONE"],
        ),
        # Older than what is held, or out of order: set aside, and the whole list is asked for.
        (True, [REMOVED, DRAINING, complete_list(HOST, 4)], ["READY", "GONE", None, "READY"]),
        # An older whole list is taken once a second call brings one too: it counts from the start.
        (True, [REMOVED, complete_list(HOST, 1), complete_list(HOST, 1)], ["READY", "GONE", None, "READY"]),
        (
            True,
            [delta_list(HOST, 2, born_ms=5.0), delta_list(HOST, 3, born_ms="nan"), REMOVED],
            ["READY", "READY", None, "GONE"],
        ),
        # One garbled entry hides no drain beside it, and nobody is taken for gone.
        (
            True,
            [{"seq": 2, "whole": True, "hosts": [{"host": 5}, DRAINING["hosts"][0]]}, complete_list(HOST, 2)],
            ["READY", "DRAINING", None, "READY"],
        ),
    ],
)
def test_pushed_lists_are_watched_unrequested_and_a_bad_update_undoes_no_drain(
    *,
    pushed: bool,
    script: list[dict[str, Any] | bytes | None],
    states: list[str | None],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    timeouts = CallTimeouts()
    monkeypatch.setattr(
        endpoint_watch, "asyncio", SimpleNamespace(**vars(asyncio) | {"timeout": timeouts.timeout})
    )

    async def run() -> None:
        agent, seen = Discovery(), list[discovery.EndpointListing | None]()
        agent.on_silence = timeouts.expire
        await agent.open()
        agent.hosts, agent.script, agent.indent = [HOST], list(script), 2
        settings = replace(DEPLOYMENT, polls_endpoint_list=not pushed)
        watch = endpoint_watch.EndpointWatch(("127.0.0.1", agent.port), settings, None, seen.append)
        watch.start()
        async with asyncio.timeout(10):
            while len(seen) < len(states):
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        watch.stop()
        agent.die()
        entries = [e for s in seen for e in ([None] if s is None else s.update.entries)]
        assert [None if e is None else e.state.name for e in entries] == states
        assert pushed or not agent.calls
        assert set(timeouts.delays_s) <= {LOCAL_AGENT.wait_s + LOCAL_AGENT.response_margin_s}
        assert bool(timeouts.delays_s) is pushed

    asyncio.run(run())
