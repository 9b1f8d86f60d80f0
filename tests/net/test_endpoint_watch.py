"""The list watch after failures, time-outs and changes of its address, and the delays between its calls."""

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
    """Timeouts of calls that expire only when a test requires it, however slow the machine is.

    Attributes:
        delays_s: The delays that the watch requested, in seconds.
    """

    def __init__(self) -> None:
        self.delays_s: list[float] = []
        self._latest: asyncio.Timeout | None = None

    def timeout(self, delay_s: float) -> asyncio.Timeout:
        """Return a timeout that never expires by itself, in place of ``asyncio.timeout``."""
        self.delays_s.append(delay_s)
        self._latest = asyncio.timeout(None)
        return self._latest

    def expire(self) -> None:
        """Let the latest timeout expire now."""
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
        service, reports = Discovery(), list[discovery.EndpointListing | None]()
        await service.open()
        service.hosts, service.script = [HOST], list(script)
        settings = replace(DEPLOYMENT, **changes)
        watch = endpoint_watch.EndpointWatch(("127.0.0.1", service.port), settings, None, reports.append)
        async with asyncio.timeout(30):
            await scenario(watch, service, reports)
        watch.stop()
        service.die()

    asyncio.run(run())


@pytest.mark.parametrize("polled", [False, True])
def test_a_fault_of_this_program_does_not_end_the_watch_permanently(
    *, polled: bool, capfd: pytest.CaptureFixture[str]
) -> None:
    async def scenario(
        watch: endpoint_watch.EndpointWatch,
        _service: Discovery,
        reports: list[discovery.EndpointListing | None],
    ) -> None:
        faults, inner_report = [RuntimeError("injected fault in a report")], watch.report

        def report(listing: discovery.EndpointListing | None) -> None:
            if listing is not None and faults:
                raise faults.pop()
            inner_report(listing)

        watch.report = report
        watch.watch(on=True)
        await until(lambda: reports)
        assert reports == [None]  # the core is notified of the failed call
        assert not faults
        if polled:
            watch.watch(on=True)  # the core restarts a polled watch after a failure
        await until(lambda: len(reports) > 1)
        assert reports[1] is not None

    play_watch(scenario, [DRAINING], polls_endpoint_list=polled)
    assert "injected fault in a report" in capfd.readouterr().err
    invariants.violations.clear()


@pytest.mark.parametrize("watched_before", [False, True])
def test_a_new_address_is_called_at_once_and_the_old_one_reports_nothing_more(
    *, watched_before: bool
) -> None:
    """A change counts as delivered 4 s after SIGHUP, even if the core has not requested a list before."""

    async def scenario(
        watch: endpoint_watch.EndpointWatch,
        service: Discovery,
        reports: list[discovery.EndpointListing | None],
    ) -> None:
        new = Discovery()
        await new.open()
        new.hosts = [HOST | {"health": "draining"}]
        if watched_before:
            watch.watch(on=True)
            await until(lambda: reports)
            reports.clear()
        watch.fetch()
        await until(lambda: len(service.calls) > watched_before)  # a call to the old address is in flight
        watch.apply_settings(("127.0.0.1", new.port), replace(DEPLOYMENT, mean_units=3))
        await until(lambda: reports)
        for _ in range(50):
            await asyncio.sleep(0.001)
        states = [listing.update.entries[0].state.name for listing in reports if listing is not None]
        assert states == ["DRAINING"]
        assert len(reports) == 1
        new.die()

    play_watch(scenario, [])


@pytest.mark.parametrize("hosts", [3, 30, 200, 3200])
def test_after_failed_calls_the_list_is_requested_before_a_drain_must_be_known(hosts: int) -> None:
    """After failed calls, the next call starts early enough for its list to arrive in time.

    A drain counts as known 6 s after discovery is reachable, plus 2 s of grace; of that a call takes up to
    3 s, and another 0.15 s pass.
    """
    rig = SchedulerRig(polls_endpoint_list=True, scheduler_count=hosts)
    for _ in range(60):
        actions = rig.handle(EndpointList(ListKind.FAILED, 0, ()))
        (timer,) = actions_of(actions, SetTimer)
        assert 0 < timer.delay_ms <= 6000 + 2000 - 3000 - 150 - 350
        rig.now_ms += timer.delay_ms
    rig.scheduler.apply_settings(replace(rig.scheduler.context.settings, mean_units=3))
    (timer,) = actions_of(rig.handle(EndpointList(ListKind.FAILED, 0, ())), SetTimer)
    # New settings reset the back-off.
    assert timer.delay_ms <= rig.scheduler.discovery.first_call_spread_ms


def test_a_call_that_times_out_is_repeated_before_missed_updates_count_as_delivered() -> None:
    for seed in range(200):
        watch_timeout, pause_s = WatchTimeout(seed), 0.0
        for timing, max_s in (
            (POLLED_DISCOVERY, max(6.0, POLLED_DISCOVERY.wait_s + 2)),
            (LOCAL_AGENT, 2.0),  # updates count as known at once, which leaves the 2 s of a drain
        ):
            assert timing.wait_s + timing.response_margin_s + watch_timeout.on_timeout(timing) <= max_s
            watch_timeout.on_response()
        pauses = [watch_timeout.on_timeout(POLLED_DISCOVERY) for _ in range(50)]
        assert max(pauses) <= 2 * POLLED_DISCOVERY.jitter_s
        for _ in range(9):
            pause_s = watch_timeout.on_failure(LOCAL_AGENT)
        assert pause_s == LOCAL_AGENT.backoff.max_s
    first_pauses = [WatchTimeout(seed).on_timeout(POLLED_DISCOVERY) for seed in range(200)]
    # The pauses of different hosts are spread evenly.
    assert all(30 < sum(k / 4 <= p < (k + 1) / 4 for p in first_pauses) < 71 for k in range(4))


@pytest.mark.parametrize(
    ("pushed", "script", "states"),
    [
        # A call is cut off: the watch resumes where it stopped.
        (True, [DRAINING, None, REMOVED], ["READY", "DRAINING", None, "GONE"]),
        (False, [DRAINING, None, REMOVED], []),
        # A repeated update is ignored, and reported once.
        (True, [DRAINING, DRAINING, REMOVED], ["READY", "DRAINING", "GONE"]),
        # Discovery is unresponsive before its first byte, or within an answer: the call is repeated, and
        # nothing is reported.
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
        # An older or out-of-order update is ignored, and the complete list is requested.
        (True, [REMOVED, DRAINING, complete_list(HOST, 4)], ["READY", "GONE", None, "READY"]),
        # An older complete list is accepted once a second call returns one too: discovery was restarted.
        (True, [REMOVED, complete_list(HOST, 1), complete_list(HOST, 1)], ["READY", "GONE", None, "READY"]),
        (
            True,
            [delta_list(HOST, 2, born_ms=5.0), delta_list(HOST, 3, born_ms="nan"), REMOVED],
            ["READY", "READY", None, "GONE"],
        ),
        # An invalid entry does not hide a drain in the same list, and no node counts as removed.
        (
            True,
            [{"seq": 2, "whole": True, "hosts": [{"host": 5}, DRAINING["hosts"][0]]}, complete_list(HOST, 2)],
            ["READY", "DRAINING", None, "READY"],
        ),
    ],
)
def test_pushed_lists_are_watched_without_a_request_and_a_bad_update_reverts_no_drain(
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
        agent, reports = Discovery(), list[discovery.EndpointListing | None]()
        agent.on_silence = timeouts.expire
        await agent.open()
        agent.hosts, agent.script, agent.indent = [HOST], list(script), 2
        settings = replace(DEPLOYMENT, polls_endpoint_list=not pushed)
        watch = endpoint_watch.EndpointWatch(("127.0.0.1", agent.port), settings, None, reports.append)
        watch.start()
        async with asyncio.timeout(10):
            while len(reports) < len(states):
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        watch.stop()
        agent.die()
        entries = [e for r in reports for e in ([None] if r is None else r.update.entries)]
        assert [None if e is None else e.state.name for e in entries] == states
        assert pushed or not agent.calls
        assert set(timeouts.delays_s) <= {LOCAL_AGENT.wait_s + LOCAL_AGENT.response_margin_s}
        assert bool(timeouts.delays_s) is pushed

    asyncio.run(run())
