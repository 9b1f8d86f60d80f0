"""What sharing limits out by demand costs: a request's part, a look at all members, the words themselves.

    python -m benchmarks.shares [MEMBERS] [VOLUMES]

Pure parts alone, in this process; bounded: some seconds.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable

import orjson

from sabledyke.compacted_log.records import Cell
from sabledyke.quota_sharing.allocation import QuotaAllocator, QuotaPolicy, Timing
from sabledyke.quota_sharing.demand import DemandMeter
from sabledyke.quota_sharing.publisher import decode_demands

ROUNDS = 2000


def timed(what: Callable[[int], object], rounds: int = ROUNDS) -> float:
    """Microseconds of one."""
    began = time.perf_counter()
    for n in range(rounds):
        what(n)
    return (time.perf_counter() - began) / rounds * 1e6


def run(members: int, volumes: int) -> None:
    """All of it."""
    times, told = Timing(), {volume: 10.0 + volume for volume in range(volumes)}
    shares, now = QuotaAllocator(QuotaPolicy(members), times), 0.0
    cell = Cell(1, orjson.dumps([1, {f"{volume:x}": rate for volume, rate in told.items()}]))
    for number in range(1, 20):
        shares.on_publishing(number, told, now, number - 1)
        shares.on_published(number, now)
        for _ in range(4):
            now += times.beat_ms / 4
            shares.on_poll(now - 1, now, {f"n{i}": (number, told) for i in range(members - 1)})
    assert shares.is_fresh(now)

    def anew(n: int) -> None:
        shares._cached_shares.clear()
        shares.share_of(n % volumes, now)

    first = timed(anew)
    known = timed(lambda n: shares.share_of(n % volumes, now))
    print(f"a part among {members} members: {first:.1f} us once a look and volume, {known:.2f} us after that")
    meter = DemandMeter(now)
    print(f"a request's count: {timed(lambda n: meter.add(now, n % volumes, 1.0, 100.0)):.2f} us")
    word = timed(lambda n: meter.next_demands(now + n), 200)
    print(f"a word of {volumes} volumes: {word:.0f} us, {len(cell.data)} bytes")
    found = {f"n{i}": (20, told) for i in range(members - 1)}
    look = timed(lambda n: shares.on_poll(now, now + 1, found), 200)
    read = timed(lambda _: decode_demands(cell), 200) * (members - 1)
    print(f"a look at {members} members, {volumes} volumes each: {read:.0f} us to read, {look:.0f} to take")


if __name__ == "__main__":
    numbers = [int(word) for word in sys.argv[1:]]
    run(numbers[0] if numbers else 100, numbers[1] if len(numbers) > 1 else 64)
