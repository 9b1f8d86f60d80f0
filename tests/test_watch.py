"""The watch on discovery at rare moments, and how long a list may go unasked."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any

import pytest

from sabledyke import invariants
from sabledyke.net import endpoint_watch
from sabledyke.policy.actions import SetTimer
from sabledyke.policy.nodes import EndpointList, ListKind
from sabledyke.protocol import discovery
from tests import helpers
from tests.crossings import until
from tests.standins import Discovery
from tests.test_net import DEPLOYMENT, DRAINS, HOST


def listen_to(
    story: Callable[
        [endpoint_watch.Watch, Discovery, list[discovery.EndpointListing | None]], Awaitable[None]
    ],
    script: list[Any],
    **changes: Any,
) -> None:
    """Play a story with a watch on a scripted discovery."""

    async def run() -> None:
        found, seen = Discovery(), list[discovery.EndpointListing | None]()
        await found.open()
        found.hosts, found.script = [HOST], list(script)
        settings = replace(DEPLOYMENT, **changes)
        look = endpoint_watch.Watch(("127.0.0.1", found.port), settings, None, seen.append)
        async with asyncio.timeout(30):
            await story(look, found, seen)
        look.stop()
        found.die()

    asyncio.run(run())


@pytest.mark.parametrize("asks", [False, True])
def test_a_fault_of_ours_does_not_end_the_watch_for_good(
    asks: bool, capfd: pytest.CaptureFixture[str]
) -> None:
    async def story(
        look: endpoint_watch.Watch, found: Discovery, seen: list[discovery.EndpointListing | None]
    ) -> None:
        faults, tell = [RuntimeError("a fault of ours")], look._report

        def report(listing: discovery.EndpointListing | None) -> None:
            if listing is not None and faults:
                raise faults.pop()
            tell(listing)

        look._report = report
        look.watch(True)
        await until(lambda: seen)
        assert seen == [None] and not faults  # the module hears that the call failed
        if asks:
            look.watch(True)  # as it does then
        await until(lambda: len(seen) > 1)
        assert seen[1] is not None

    listen_to(story, [DRAINS], polls_endpoint_list=asks)
    assert "a fault of ours" in capfd.readouterr().err
    invariants.violations.clear()


@pytest.mark.parametrize("asked_before", [False, True])
def test_a_new_address_is_asked_at_once_and_the_old_one_tells_nothing_more(asked_before: bool) -> None:
    """A change counts as told 4 s after SIGHUP, whether or not the module has asked for a list yet."""

    async def story(
        look: endpoint_watch.Watch, found: Discovery, seen: list[discovery.EndpointListing | None]
    ) -> None:
        new = Discovery()
        await new.open()
        new.hosts = [HOST | {"health": "draining"}]
        if asked_before:
            look.watch(True)
            await until(lambda: seen)
            seen.clear()
        look.fetch()
        await until(lambda: len(found.calls) > asked_before)  # a call is out at the old address
        look.adopt(("127.0.0.1", new.port), replace(DEPLOYMENT, mean_units=3))
        await until(lambda: seen)
        for _ in range(50):
            await asyncio.sleep(0.001)
        told = [listing.update.entries[0].state.name for listing in seen if listing is not None]
        assert told == ["DRAINING"] and len(seen) == 1
        new.die()

    listen_to(story, [])


@pytest.mark.parametrize("hosts", [3, 30, 200, 3200])
def test_after_failed_calls_the_list_is_asked_for_before_a_drain_must_be_known(hosts: int) -> None:
    """Told 6 s after discovery can be reached, and 2 s of grace; a call takes up to 3 s, and 0.15 s go by."""
    rig = helpers.Rig(polls_endpoint_list=True, scheduler_count=hosts)
    for _ in range(60):
        told = rig.do(EndpointList(ListKind.FAILED, 0, ()))
        (timer,) = helpers.of(told, SetTimer)
        assert 0 < timer.delay_ms <= 6000 + 2000 - 3000 - 150 - 350
        rig.now += timer.delay_ms
    rig.scheduler.apply_settings(replace(rig.scheduler.context.settings, mean_units=3))
    (timer,) = helpers.of(rig.do(EndpointList(ListKind.FAILED, 0, ())), SetTimer)
    assert (
        timer.delay_ms <= rig.scheduler.discovery.first_call_spread_ms
    )  # new settings: the pauses begin anew
