"""Sound clients of the real program beside a crowd that takes all connections."""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from pathlib import Path
from random import Random

import pytest

from tests.standins import read_http
from tests.support.crowd import MIXED, crowd
from tests.support.loop_lag import loop_lag
from tests.transcripts.support import Deployment, Response, request, response, run_scenario, settings

SOUND_CLIENTS = 12
PLAY_S = 4.0
SOCKETS = 1024
MEMORY_MB = 192
LITTLE_MEMORY_MB = 64
NODES = 4
DEADLINE_S = 2.0
LATE_S = 0.5  # time after the deadline from which an answer counts as lost
ANY_OPEN_REQUESTS = 1_000_000
SOME_OPEN_REQUESTS = 340  # above half of this number of connections each one closes with its answer


async def _answer(_number: int, _request: bytes) -> Response:
    await asyncio.sleep(0.01)
    return response(200, b"ok")


async def _be_sound_client(port: int, number: int, outcomes: Counter[str]) -> None:
    """Send one request after the other on connections that are kept; count how each ended."""
    random = Random(number)
    loop = asyncio.get_running_loop()
    end_s = loop.time() + PLAY_S
    writer = None
    for count in itertools.count():
        if loop.time() > end_s:
            break
        if writer is None:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        text = request(ident=f"sound{number}-{count}").replace(b"20.0", b"%.1f" % DEADLINE_S)
        sent_s = loop.time()
        writer.write(text.replace(b"shard=0", b"shard=%d" % random.randrange(NODES)))
        try:
            async with asyncio.timeout(DEADLINE_S + LATE_S):
                _, headers, _ = await read_http(reader)
            outcomes["answered"] += 1
        except (asyncio.IncompleteReadError, ConnectionError, TimeoutError) as error:
            outcomes[f"{error!r} after {loop.time() - sent_s:.3f} s"] += 1
            headers = {"connection": "close"}
        if headers.get("connection") == "close":
            writer.transport.abort()
            writer = None
        await asyncio.sleep(random.uniform(0.0, 0.2))
    if writer is not None:
        writer.transport.abort()


@pytest.mark.parametrize(
    ("habit", "clients", "open_requests", "memory_mb"),
    [
        ("leave", 660, ANY_OPEN_REQUESTS, MEMORY_MB),
        ("leave", 660, SOME_OPEN_REQUESTS, MEMORY_MB),
        ("leave", 1500, ANY_OPEN_REQUESTS, MEMORY_MB),
        ("silent", 1500, ANY_OPEN_REQUESTS, MEMORY_MB),
        ("half", 660, ANY_OPEN_REQUESTS, MEMORY_MB),
        ("half", 1500, ANY_OPEN_REQUESTS, MEMORY_MB),
        ("nonsense", 1500, ANY_OPEN_REQUESTS, MEMORY_MB),
        (MIXED, 1500, SOME_OPEN_REQUESTS, MEMORY_MB),
        ("body", 650, ANY_OPEN_REQUESTS, LITTLE_MEMORY_MB),
        ("fields", 650, ANY_OPEN_REQUESTS, LITTLE_MEMORY_MB),
    ],
)
def test_a_sound_client_beside_a_crowd_gets_all_its_answers(
    tmp_path: Path, habit: str, clients: int, open_requests: int, memory_mb: int
) -> None:
    """Guards against closing the connections of sound clients while others could be closed."""

    async def scenario() -> None:
        config = settings(open_cap=open_requests)
        for profile in config["profiles"]:
            profile |= {"aim": 400, "hard_limit": 3000}
        nodes = [_answer] * NODES
        async with (
            loop_lag() as lag,
            Deployment(tmp_path, *nodes, config=config, sockets=SOCKETS, memory_mb=memory_mb) as deployment,
            crowd(deployment.front, clients, habit, 2 * PLAY_S),
        ):
            outcomes: Counter[str] = Counter()
            sound = [_be_sound_client(deployment.front, number, outcomes) for number in range(SOUND_CLIENTS)]
            await asyncio.gather(*sound)
            assert set(outcomes) == {"answered"}, (outcomes, lag)

    run_scenario(scenario())
