"""Benchmark of quota sharing: the quota of a request, a poll of all members, and the published demands.

    python -m benchmarks.shares [MEMBERS] [VOLUMES]

Measures only the code without I/O, in this process; a run takes some seconds.
"""

from __future__ import annotations

import sys
import time
from collections.abc import Callable, Mapping

import orjson

from sabledyke.compacted_log.records import Cell
from sabledyke.quota_sharing.allocation import QuotaAllocator, QuotaPolicy, Timing
from sabledyke.quota_sharing.demand import DemandMeter
from sabledyke.quota_sharing.publisher import decode_demands

DEFAULT_MEMBER_COUNT = 100
DEFAULT_VOLUME_COUNT = 64
ROUNDS = 2000
SLOW_ROUNDS = 200  # rounds of the slower operations
PUBLICATIONS = 19
POLLS_PER_PUBLICATION = 4

Demands = dict[int, float]


class SharedQuotas:
    """A member's allocator after several publications, when all members have polled each other's demands.

    Attributes:
        now_ms: The current time of the simulated clock.
        allocator: The allocator under measurement.
    """

    def __init__(self, member_count: int, demands: Demands) -> None:
        timing = Timing()
        self.now_ms = 0.0
        self.allocator = QuotaAllocator(QuotaPolicy(member_count), timing)
        self._others = [f"n{member}" for member in range(member_count - 1)]
        self._demands = demands
        for number in range(1, PUBLICATIONS + 1):
            self.allocator.on_publishing(number, demands, self.now_ms, number - 1)
            self.allocator.on_published(number, self.now_ms)
            for _ in range(POLLS_PER_PUBLICATION):
                self.now_ms += timing.beat_ms / POLLS_PER_PUBLICATION
                self.poll(self.published(number))
        assert self.allocator.may_exceed_floor(self.now_ms)

    def published(self, number: int) -> Mapping[str, tuple[int, Demands]]:
        """Return the publications with this number of all other members."""
        return {name: (number, self._demands) for name in self._others}

    def poll(self, found: Mapping[str, tuple[int, Demands]]) -> None:
        """Pass the result of a poll to the allocator."""
        self.allocator.on_poll(self.now_ms - 1, self.now_ms, found)


def run(member_count: int, volume_count: int) -> None:
    """Run all measurements and print one line for each."""
    demands = {volume: 10.0 + volume for volume in range(volume_count)}
    quotas = SharedQuotas(member_count, demands)
    measure_quota(quotas, member_count, volume_count)
    demand_map = {f"{volume:x}": rate for volume, rate in demands.items()}
    cell = Cell(1, orjson.dumps([1, demand_map]))
    measure_demands(quotas.now_ms, volume_count, cell)
    measure_poll(quotas, member_count, volume_count, cell)


def measure_quota(quotas: SharedQuotas, member_count: int, volume_count: int) -> None:
    """Print the time to determine a quota, for a volume's first request after a poll and for later ones."""

    def quota_of(number: int) -> None:
        quotas.allocator.share_of(number % volume_count, quotas.now_ms)

    found = quotas.published(PUBLICATIONS)
    first_us: list[float] = []
    for _ in range(ROUNDS // volume_count + 1):
        quotas.poll(found)  # invalidates the cached quotas
        first_us.append(time_us(quota_of, volume_count))
    mean_first_us = sum(first_us) / len(first_us)
    cached_us = time_us(quota_of)
    print(
        f"a part among {member_count} members: {mean_first_us:.1f} us once a look and volume,"
        f" {cached_us:.2f} us after that"
    )


def measure_demands(now_ms: float, volume_count: int, cell: Cell) -> None:
    """Print the time to count a request and to prepare a publication of the demands."""
    meter = DemandMeter(now_ms)
    count_us = time_us(lambda number: meter.add(now_ms, number % volume_count, 1.0, 100.0))
    print(f"a request's count: {count_us:.2f} us")
    publication_us = time_us(lambda number: meter.next_demands(now_ms + number), SLOW_ROUNDS)
    print(f"a word of {volume_count} volumes: {publication_us:.0f} us, {len(cell.data)} bytes")


def measure_poll(quotas: SharedQuotas, member_count: int, volume_count: int, cell: Cell) -> None:
    """Print the time of a poll of all members: to decode their demands and to pass them to the allocator."""
    found = quotas.published(PUBLICATIONS + 1)
    apply_us = time_us(lambda _: quotas.poll(found), SLOW_ROUNDS)
    decode_us = time_us(lambda _: decode_demands(cell), SLOW_ROUNDS) * (member_count - 1)
    print(
        f"a look at {member_count} members, {volume_count} volumes each: {decode_us:.0f} us to read,"
        f" {apply_us:.0f} to take"
    )


def time_us(call: Callable[[int], object], rounds: int = ROUNDS) -> float:
    """Return the mean time of a call in microseconds; the call gets the number of its round."""
    began_s = time.perf_counter()
    for number in range(rounds):
        call(number)
    return (time.perf_counter() - began_s) / rounds * 1e6


def main(arguments: list[str]) -> None:
    """Run with the numbers of members and volumes from the command line."""
    sizes = [int(argument) for argument in arguments]
    member_count = sizes[0] if sizes else DEFAULT_MEMBER_COUNT
    volume_count = sizes[1] if len(sizes) > 1 else DEFAULT_VOLUME_COUNT
    run(member_count, volume_count)


if __name__ == "__main__":
    main(sys.argv[1:])
