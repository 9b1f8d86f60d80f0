"""A fleet of processes keeps to its budgets, whatever breaks, and its exchange is as approved."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Awaitable, Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import replace
from pathlib import Path

import pytest
from syrupy.assertion import SnapshotAssertion

from sabledyke.testbed.fleet_release import Fleet, Setting, play, transcript
from tests.rollout.member_scenarios import dead, lost, prices, settings
from tests.rollout.node_scenarios import drained, retires, served, stays, unheard
from tests.rollout.release_scenarios import anew, back, mute, plain, stubborn, two, unanswered, under, young

Story = Callable[[Fleet], Awaitable[None]]


Runs = dict[tuple[str, str, int], tuple[str, str]]


BACKENDS, AT_ONCE = ("table", "etcd"), 5


CALM = Setting(lag=1000, ttl=5000, silent=20_000, valid=60_000)  # nothing is given up on a busy machine


GENTLE = Setting(4, clients=8, copies=2, silent=4000)


STORIES: dict[str, tuple[Setting, Story]] = {
    "plain": (CALM, plain),
    "back": (replace(CALM, soak=60_000), back),
    "stubborn": (CALM, stubborn),
    "lost": (CALM, lost),
    "settings": (CALM, settings),
    "young": (CALM, young),
    "mute": (Setting(4, silent=8000), mute),
    "part_goes": (replace(CALM, back=60_000), unanswered),
    "two": (Setting(4), two),
    "dead": (Setting(3, silent=1000), dead),
    "drained": (replace(GENTLE, silent=20_000, lag=1000), drained),
    "drained_kill": (GENTLE, lambda f: drained(f, ("kill", True, 0))),
    "drained_stall": (GENTLE, lambda f: drained(f, ("stall", True, 3.0))),
    "drained_two": (GENTLE, lambda f: drained(f, ("kill", False, 0), ("pause", True, 2.5))),
    "unheard_part": (replace(GENTLE, silent=1000), unheard),
    "anew": (Setting(4), anew),
    "prices": (replace(CALM, lag=20, ttl=1000, topics=("prices",), clean=0.5), prices),
    "served": (Setting(4, clients=8), served),
    "retires": (replace(CALM, size=4, clients=8, copies=2, sites=2, soak=100, silent=8000), retires),
    "stays": (Setting(4, clients=8, sites=2, soak=300), stays),
    "kill": (Setting(12, silent=8000, ttl=2000), lambda f: under(f, ("kill", True, 0), most=2)),
    "pause": (Setting(5), lambda f: under(f, ("pause", True, 2.5), most=2)),
    "third": (Setting(6), lambda f: under(f, ("kill", True, 0), ("kill", False, 0), most=3)),
    "stall": (Setting(4), lambda f: under(f, ("stall", True, 3.0), most=1)),
    "part": (Setting(4), lambda f: under(f, ("part", True, 3.0), most=1)),
    "part_to": (Setting(4), lambda f: under(f, ("part_to", True, 3.0), most=1)),
    "part_from": (Setting(4), lambda f: under(f, ("part_from", True, 3.0), most=1)),
}


ALL = [(b, n, seed) for seed, b in enumerate(BACKENDS, 1) for n in STORIES if "part" not in n or b == "etcd"]


SPOKEN = (
    "plain",
    "back",
    "stubborn",
    "lost",
    "settings",
    "retires",
    "unheard_part",
)  # whose whole exchange is the same in every run


def tell(key: tuple[str, str, int], folder: str) -> tuple[str, str]:
    """One of them, in a process of its own: its transcript, and what went wrong."""
    backend, name, seed = key
    setting, run_scenario = STORIES[name]
    said = [""]

    async def told(fleet: Fleet) -> None:
        await run_scenario(fleet)
        said[0] = transcript(await fleet.log(), fleet.parts)

    async def run() -> None:
        async with asyncio.timeout(400):
            fleet = await play(replace(setting, backend=backend), Path(folder), told, seed)
        assert set(fleet.statuses) <= ({0, -9} if fleet.held else {0}), fleet.statuses

    try:
        asyncio.run(run())
    except Exception:
        return said[0], traceback.format_exc()
    return said[0], ""


@pytest.fixture(scope="module")
def runs(tmp_path_factory: pytest.TempPathFactory) -> Runs:
    """All of them, some at a time, as most of it is waiting."""
    folders = [str(tmp_path_factory.mktemp("fleet")) for _ in ALL]
    with ProcessPoolExecutor(AT_ONCE) as pool:
        return dict(zip(ALL, pool.map(tell, ALL, folders), strict=True))


@pytest.mark.parametrize("backend, name, seed", ALL)
def test_processes_keep_to_the_budget_whatever_breaks(runs: Runs, backend: str, name: str, seed: int) -> None:
    assert not runs[backend, name, seed][1], runs[backend, name, seed][1]


@pytest.mark.parametrize("name", SPOKEN)
def test_the_whole_exchange_is_as_it_was_approved(runs: Runs, name: str, snapshot: SnapshotAssertion) -> None:
    """Approved on purpose: read the difference, then pytest --snapshot-update."""
    said = {runs[b, n, s][0] for b, n, s in ALL if n == name}
    assert len(said) == 1, said
    assert said.pop() == snapshot
