"""Tests of the start: beside an older server, with an immediate stop, and within a disruption budget."""

from __future__ import annotations

import asyncio
import signal
from dataclasses import replace

import pytest

from sabledyke import invariants
from sabledyke.application.extensions import Extension
from sabledyke.application.server import Server
from sabledyke.config import Config
from tests.standins import Discovery, send_request
from tests.support.server_rig import DEPLOYMENT, GET, INFO, SHORT_SHUTDOWN, Rig, play
from tests.support.settings import FAST_SHUTDOWN


async def _do_nothing() -> None:
    return None


def test_a_new_version_takes_over_the_address_without_rejecting_a_request() -> None:
    async def scenario(rig: Rig) -> None:
        config = replace(rig.config, name="n0-new", listen=("127.0.0.1", rig.port))
        new = Server(config, None, FAST_SHUTDOWN)  # binding the same port requires SO_REUSEPORT
        await new.open()
        new.start()
        assert new.listeners[0].port == rig.port
        rig.server.begin_shutdown()
        ending = asyncio.create_task(rig.server.finish())
        answers = []
        for n in range(60):  # before, during and after the close of the old listener
            answers.append((await send_request(rig.port, GET.format(1, f"i{n}", INFO)))[0])
            await asyncio.sleep(0.005)
        await ending
        answers += [(await send_request(rig.port, GET.format(1, f"late{n}", INFO)))[0] for n in range(5)]
        assert answers == [200] * 65, answers  # no request was refused, cut off or left unread
        new.begin_shutdown()
        await new.finish()
        setattr(rig.server, "begin_shutdown", lambda: None)  # noqa: B010 - the rig would shut the server down again
        setattr(rig.server, "finish", _do_nothing)  # noqa: B010
        assert not invariants.violations

    play(scenario)


def test_a_server_stopped_before_its_listeners_open_opens_none() -> None:
    async def scenario(rig: Rig) -> None:
        new = Server(replace(rig.config, name="young"), None, FAST_SHUTDOWN)
        run = asyncio.create_task(new.run())
        await asyncio.sleep(0)
        new.begin_shutdown()
        async with asyncio.timeout(1):
            await run
        assert not new.listeners
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().remove_signal_handler(number)

    play(scenario)


@pytest.mark.parametrize(
    ("within_budget", "discovery_down", "has_list"),
    [(True, False, True), (True, True, False), (False, False, False)],
)
def test_a_server_started_within_a_budget_has_the_list_before_its_listeners_open(
    *, within_budget: bool, discovery_down: bool, has_list: bool
) -> None:
    """A start within a budget requests the list at once, and does not wait if discovery is unreachable.

    Other servers request it after a random delay of seconds, as many may start at the same time.
    """

    async def run() -> None:
        discovery, extension = Discovery(), Extension()
        await discovery.open()
        discovery.add("plain", 1, 0)
        settings = replace(DEPLOYMENT, scheduler_count=64)
        discovery_address = ("127.0.0.1", 1 if discovery_down else discovery.port)
        server = Server(
            Config("n0", ("127.0.0.1", 0), discovery_address, 1, 256, 64 << 20, None, settings),
            None,
            SHORT_SHUTDOWN,
        )
        extension.waits_for_budget = within_budget
        server.extensions.append(extension)
        ends = asyncio.create_task(server.run())
        while not server.listeners:
            await asyncio.sleep(0.001)
        assert (b"plain" in server.core.nodes) is has_list
        server.begin_shutdown()
        await ends
        discovery.die()

    asyncio.run(asyncio.wait_for(run(), 60))
