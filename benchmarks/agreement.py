"""Benchmark of the compacted log and of releases.

Measures a late reader, compaction, a decision of the coordinator, an idle member, the duration of a release,
and the effect of a release and of the retirement of a site on service to clients.

    python -m benchmarks.agreement [MESSAGES] [SIZE ...]

Ratios compare two measurements within one run. The etcd is the testbed's stand-in, in this process. A run
takes about six minutes with 1,000,000 messages and fleets of 5 and 12.
"""

from __future__ import annotations

import asyncio
import sys

from benchmarks.compacted_log import measure_log
from benchmarks.fleet_service import measure_idle_member, measure_release_time, measure_service
from benchmarks.rollout_decisions import measure_drain_decision, measure_ticket_decision

DEFAULT_MESSAGE_COUNT = 1_000_000
DEFAULT_FLEET_SIZES = [5, 12]
DECISION_MEMBER_COUNTS = (12, 200, 1000)


async def run(message_count: int, fleet_sizes: list[int]) -> None:
    """Run all measurements and print them."""
    for member_count in DECISION_MEMBER_COUNTS:
        measure_ticket_decision(member_count)
    measure_drain_decision(member_count=200, node_count=1000)
    await measure_log(message_count)
    await measure_idle_member()
    await measure_service(retires_site=False)
    await measure_service(retires_site=True)
    for size in fleet_sizes:
        await measure_release_time(size)


def main(arguments: list[str]) -> None:
    """Run with the number of messages and the fleet sizes from the command line."""
    numbers = [int(argument) for argument in arguments]
    message_count = numbers[0] if numbers else DEFAULT_MESSAGE_COUNT
    asyncio.run(run(message_count, numbers[1:] or DEFAULT_FLEET_SIZES))


if __name__ == "__main__":
    main(sys.argv[1:])
