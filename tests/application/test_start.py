"""How a server starts: beside an older one, told to stop at once, or in its turn."""

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


async def _over() -> None:
    return None


def test_a_new_version_takes_over_the_address_with_no_request_rejected() -> None:
    async def scenario(rig: Rig) -> None:
        config = replace(rig.config, name="n0-new", listen=("127.0.0.1", rig.port))
        new = Server(config, None, FAST_SHUTDOWN)  # binding the same port fails without SO_REUSEPORT
        await new.open()
        new.start()
        assert new.listeners[0].port == rig.port
        rig.server.leave()
        ending = asyncio.create_task(rig.server.finish())
        answers = []
        for n in range(60):  # before, during and after the old one's listener closes
            answers.append((await send_request(rig.port, GET.format(1, f"i{n}", INFO)))[0])
            await asyncio.sleep(0.005)
        await ending
        answers += [(await send_request(rig.port, GET.format(1, f"late{n}", INFO)))[0] for n in range(5)]
        assert answers == [200] * 65, answers  # none refused, closed or left unread
        new.leave()
        await new.finish()
        setattr(rig.server, "leave", lambda: None)  # noqa: B010 - the rig's own end: already over
        setattr(rig.server, "finish", _over)  # noqa: B010
        assert not invariants.violations

    play(scenario)


def test_a_server_stopped_before_its_listeners_open_opens_none() -> None:
    async def scenario(rig: Rig) -> None:
        new = Server(replace(rig.config, name="young"), None, FAST_SHUTDOWN)
        run = asyncio.create_task(new.run())
        await asyncio.sleep(0)
        new.leave()
        async with asyncio.timeout(1):
            await run
        assert not new.listeners
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().remove_signal_handler(number)

    play(scenario)


@pytest.mark.parametrize(
    ("in_turn", "down", "knows"), [(True, False, True), (True, True, False), (False, False, False)]
)
def test_a_server_started_within_a_budget_has_the_list_before_its_listeners_open(
    *, in_turn: bool, down: bool, knows: bool
) -> None:
    """Nobody waits for a discovery that cannot be called.

    Others ask by chance within seconds, as many may start together.
    """

    async def run() -> None:
        found, part = Discovery(), Extension()
        await found.open()
        found.add("plain", 1, 0)
        settings = replace(DEPLOYMENT, scheduler_count=64)
        here = ("127.0.0.1", 1 if down else found.port)
        server = Server(
            Config("n0", ("127.0.0.1", 0), here, 1, 256, 1 << 22, None, settings), None, SHORT_SHUTDOWN
        )
        part.waits_for_budget = in_turn
        server.parts.append(part)
        ends = asyncio.create_task(server.run())
        while not server.listeners:
            await asyncio.sleep(0.001)
        assert (b"plain" in server.core.nodes) is knows
        server.leave()
        await ends
        found.die()

    asyncio.run(asyncio.wait_for(run(), 60))
