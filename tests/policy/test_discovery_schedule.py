"""Schedule of calls to discovery, which keeps all schedulers together from overloading it."""

from __future__ import annotations

from dataclasses import dataclass

from sabledyke.policy.actions import Action, WatchList
from sabledyke.policy.nodes import EndpointList, ListKind
from sabledyke.policy.scheduler import Scheduler
from tests.support.nodes import endpoint_change, endpoint_list, node_entry
from tests.support.scheduler_rig import SchedulerRig, actions_of

SCHEDULER_COUNT = 40
CALL_MS = 160.0  # time that discovery takes for a call
CALL_TIMEOUT_MS = 2000.0
STEP_MS = 10
FAILED_CALL = EndpointList(ListKind.FAILED, 0, ())


def test_the_list_is_watched_from_the_start_and_again_after_failures_with_backoff() -> None:
    rig = SchedulerRig(polls_endpoint_list=True)
    rig.advance(rig.scheduler.discovery.first_call_spread_ms)
    assert len(actions_of(rig.actions, WatchList)) == 1
    delays_ms = []
    for _ in range(4):
        rig.handle(FAILED_CALL)
        failed_ms = rig.now_ms
        call_count = len(actions_of(rig.actions, WatchList))
        while len(actions_of(rig.actions, WatchList)) == call_count:
            rig.advance(50)
        delays_ms.append(rig.now_ms - failed_ms)
    assert delays_ms[-1] > 2 * delays_ms[0]


@dataclass(slots=True, frozen=True)
class DiscoveryAnswer:
    """Result of a scheduler's call to discovery, and the time at which the scheduler gets it."""

    at_ms: float
    scheduler_index: int
    succeeds: bool


class SlowDiscovery:
    """Discovery that serves calls one after the other, including those that have timed out at the caller.

    Attributes:
        answers: Answers that are not delivered yet.
        failed_calls: Number of calls that have failed.
        served: Indices of the schedulers that have got a list.
    """

    def __init__(self) -> None:
        self.answers: list[DiscoveryAnswer] = []
        self.failed_calls = 0
        self.served: set[int] = set()
        self._free_at_ms = 0.0

    def call(self, now_ms: float, scheduler_index: int) -> None:
        """Accept a scheduler's call and schedule its answer."""
        self._free_at_ms = max(self._free_at_ms, now_ms) + CALL_MS
        timeout_at_ms = now_ms + CALL_TIMEOUT_MS
        succeeds = self._free_at_ms <= timeout_at_ms
        at_ms = min(self._free_at_ms, timeout_at_ms)
        self.answers.append(DiscoveryAnswer(at_ms, scheduler_index, succeeds))

    def deliver(self, now_ms: float, scheduler_index: int, rig: SchedulerRig) -> list[Action]:
        """Give a scheduler the answers that are due; return its actions."""
        actions = []
        for answer in list(self.answers):
            if answer.at_ms > now_ms or answer.scheduler_index != scheduler_index:
                continue
            self.answers.remove(answer)
            if answer.succeeds:
                self.served.add(scheduler_index)
                actions += rig.handle(endpoint_change())
            else:
                self.failed_calls += 1
                actions += rig.handle(FAILED_CALL)
        return actions


def test_schedulers_that_all_start_together_get_their_list_from_one_slow_discovery() -> None:
    """Guards against simultaneous calls and retries: discovery also serves calls that have timed out."""
    rigs = [
        SchedulerRig(scheduler_count=SCHEDULER_COUNT, polls_endpoint_list=True)
        for _ in range(SCHEDULER_COUNT)
    ]
    for index, rig in enumerate(rigs):
        rig.scheduler = Scheduler(rig.scheduler.context.settings, index)
        rig.timers.clear()
        rig.handle(endpoint_list(node_entry(1), kind=ListKind.CACHED))
    discovery = SlowDiscovery()
    for now_ms in range(1000, 12000, STEP_MS):
        for index, rig in enumerate(rigs):
            actions = rig.advance(now_ms - rig.now_ms)
            actions += discovery.deliver(now_ms, index, rig)
            for _ in actions_of(actions, WatchList):
                discovery.call(now_ms, index)
    assert len(discovery.served) == SCHEDULER_COUNT
    assert discovery.failed_calls <= SCHEDULER_COUNT / 4
