"""What is fine at one host and harmful when all do it: many modules, each with its seed, counted in sum."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace

from sabledyke import interface as api
from sabledyke.rules import Scheduler
from tests.helpers import SETTINGS, Rig, listing, node, of

HOSTS, EVERY = 40, 400.0  # hosts, and ms between one's requests for the box that is looked at
WORK = 2.0 / EVERY  # units a millisecond that each host asks of a box


def fleet(**changes: object) -> list[Rig]:
    """Hosts that have all seen warm boxes serve what they ask, just before box 1 is replaced by 3."""
    rigs = [Rig(node(1), node(2), hosts=HOSTS, **changes) for _ in range(HOSTS)]
    for i, rig in enumerate(rigs):
        rig.scheduler.random.seed(i)
        rig.wait(i * EVERY / HOSTS)
        for k in range(30):
            rid = rig.ask(shard=1 + k % 2)
            rig.end(rid, took=20, where=1 + k % 2)
            rig.wait(EVERY / 2)
    return rigs


def played(rigs: list[Rig], ms: float, act: Callable[[Rig, float], None]) -> Iterator[float]:
    """All hosts' clocks moved on together, each acting on it at its own offset; yields the time so far."""
    start = max(rig.now for rig in rigs)
    for rig in rigs:
        rig.wait(start - rig.now)
    for step in range(int(ms / EVERY)):
        for rig in rigs:
            act(rig, step * EVERY)
            rig.wait(EVERY)
        yield (step + 1) * EVERY


def test_a_new_box_gets_what_its_kind_bears_of_all_hosts_and_no_more() -> None:
    """Guards against a fleet of new boxes that idle: the least that any bears was 0.04 requests for each."""
    rigs = fleet(cold_units=3.0, tip_multiple=2.0, warm_up=17000.0)
    units: list[tuple[float, float]] = []

    def act(rig: Rig, at: float) -> None:
        rid = rig.ask(shard=1)
        if rig.sends(rid):
            units.append((at, 2.0))
            rig.end(rid, took=60, where=3)

    start = max(rig.now for rig in rigs)
    for rig in rigs:
        rig.wait(start - rig.now)
        rig.do(listing(replace(node(3, shard=1), started=start), node(2), kind=api.ListKind.FULL))
    for _ in played(rigs, 17000, act):
        pass
    full = WORK * HOSTS * SETTINGS.fall_window  # what all were served at a warm box in the window of the rule
    for begin in range(0, 15000, 1000):
        present = SETTINGS.cold_share + (1 - SETTINGS.cold_share) * begin / 17000
        sent = sum(u for at, u in units if begin <= at < begin + SETTINGS.fall_window)
        assert sent <= 1.5 * present * full, begin  # the rule: 2 times; and room for chance
    late = sum(u for at, u in units if 8000 <= at < 10000)
    assert late >= 0.2 * full  # half of it is warm by then; held to the least, it was 0.015


def test_all_hosts_that_start_together_get_their_list_from_one_slow_discovery() -> None:
    """Guards against calls that come at once and again at once: discovery works off those given up, too."""
    takes, patience = 160.0, 2000.0  # ms of discovery's time for a call; after which a caller has had enough
    rigs = [Rig(hosts=HOSTS, asks_list=True) for _ in range(HOSTS)]
    free, failed, told = 0.0, 0, set[int]()
    answers: list[tuple[float, int, bool]] = []  # when, which host, whether it is told
    for i, rig in enumerate(rigs):
        rig.scheduler = Scheduler(rig.scheduler.s, i)
        rig.timers.clear()
        rig.do(listing(node(1), kind=api.ListKind.CACHED))
    for step in range(1000, 12000, 10):
        for i, rig in enumerate(rigs):
            calls = of(rig.wait(step - rig.now), api.WatchList)
            for at, host, good in [a for a in answers if a[0] <= step and a[1] == i]:
                answers.remove((at, host, good))
                told |= {i} if good else set()
                failed += not good
                news = listing(kind=api.ListKind.DELTA) if good else api.NodeList(api.ListKind.FAILED, 0, ())
                calls += of(rig.do(news), api.WatchList)
            for _ in calls:
                free = max(free, step) + takes
                answers.append((min(free, step + patience), i, free <= step + patience))
    assert len(told) == HOSTS and failed <= HOSTS / 4
