"""The resident memory of the process: which levels are logged, and what the console reports."""

from __future__ import annotations

import asyncio

from sabledyke.application.process_memory import MemoryLevel, resident_bytes
from tests.standins import send_request
from tests.support.console_calls import call, stats
from tests.support.server_rig import GET, INFO, Rig, play

LIMIT_BYTES = 100


def test_each_level_is_reported_once_until_the_memory_has_fallen_below_it() -> None:
    level = MemoryLevel()
    used = [10, 50, 60, 95, 92, 80, 91, 40, 55]
    assert [level.crossed(value, LIMIT_BYTES) for value in used] == [0, 0.5, 0, 0.9, 0, 0, 0.9, 0, 0.5]


def test_the_console_reports_connections_memory_and_why_connections_were_closed() -> None:
    async def scenario(rig: Rig) -> None:
        assert (await send_request(rig.port, GET.format(1, "a", INFO)))[0] == 200
        assert (await send_request(rig.port, "BAD\n\n"))[0] == 400
        reader, writer = await asyncio.open_connection("127.0.0.1", rig.port)
        while len(rig.server.frontends[0].clients) != 1:
            await asyncio.sleep(0.01)
        metrics = stats((await call(rig.server.console_port, "GET", "/admin/stats"))[1])
        assert metrics["svc.closed.client"] == 1
        assert metrics["svc.closed.bad_request"] == 1
        assert metrics["svc.clients"] == 1
        assert 0 < metrics["svc.resident_bytes"] <= 2 * resident_bytes()
        writer.close()

    play(scenario, console=True)
