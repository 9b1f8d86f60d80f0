"""Which connection is closed for a new one at the limit, and what finding it costs."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import inf
from typing import cast

import pytest

from sabledyke.net.client_connection import ClientConnection
from sabledyke.net.eviction import MAX_WAIT_S, PARTIAL_GRACE_S, UNUSED_GRACE_S, Evictor

NOW_S = 100.0
AGED_S = NOW_S - 1.0


@dataclass
class FakeStream:
    def closed(self) -> bool:
        return False


@dataclass(eq=False)
class FakeClient:
    """A connection in a given state; ``looks`` counts how often it was looked at."""

    name: str
    last_activity_s: float = AGED_S
    last_input_s: float = AGED_S
    idle: bool = True
    never_requested: bool = True
    busy: bool = False
    has_unprocessed_input: bool = False
    has_unread_request: bool = False
    finished_at_s: float = inf
    looks: list[str] = field(default_factory=list)

    @property
    def stream(self) -> FakeStream:
        return FakeStream()


def make_evictor(*clients: FakeClient) -> Evictor:
    return Evictor(cast(list[ClientConnection], list(clients)))


def chosen_names(evictor: Evictor, now_s: float = NOW_S) -> list[str]:
    names = []
    while (client := evictor.choose(now_s)) is not None:
        names.append(cast(FakeClient, client).name)
    return names


def test_connections_without_a_complete_request_are_closed_first_and_busy_ones_never() -> None:
    evictor = make_evictor(
        FakeClient("between", never_requested=False),
        FakeClient("partial", idle=False, last_input_s=AGED_S + 0.1),
        FakeClient("older partial", idle=False),
        FakeClient("busy", busy=True, idle=False),
        FakeClient("arrived", has_unread_request=True),
        FakeClient("unused", last_activity_s=AGED_S + 0.1),
        FakeClient("older unused"),
        FakeClient("finished", finished_at_s=AGED_S, has_unread_request=True),
        FakeClient("reading its answer", finished_at_s=NOW_S, has_unread_request=True),
    )
    assert chosen_names(evictor) == ["finished", "older unused", "unused", "older partial", "partial"]


def test_connections_between_requests_are_closed_if_there_are_no_others() -> None:
    evictor = make_evictor(
        FakeClient("between", never_requested=False), FakeClient("busy", busy=True, idle=False)
    )
    assert not evictor.awaits_candidates
    assert chosen_names(evictor) == ["between"]


@pytest.mark.parametrize("idle", [True, False])
def test_young_connections_are_awaited_and_sound_ones_kept_meanwhile(*, idle: bool) -> None:
    young = FakeClient("young", last_activity_s=NOW_S, last_input_s=NOW_S, idle=idle)
    evictor = make_evictor(FakeClient("between", never_requested=False), young)
    assert chosen_names(evictor) == []
    assert evictor.awaits_candidates
    grace_s = UNUSED_GRACE_S if idle else PARTIAL_GRACE_S
    assert chosen_names(evictor, NOW_S + grace_s + 0.01) == ["young"]


def test_clients_that_keep_sending_parts_of_requests_hold_up_new_ones_for_a_limited_time() -> None:
    slow = FakeClient("slow", idle=False)
    evictor = make_evictor(FakeClient("between", never_requested=False), slow)
    names = []
    for step in range(30):
        now_s = NOW_S + step * 0.05
        slow.last_input_s = now_s
        names.append((now_s, chosen_names(evictor, now_s)))
    waiting = [now_s for now_s, chosen in names if not chosen]
    assert max(waiting) - NOW_S <= MAX_WAIT_S
    assert [chosen for _, chosen in names if chosen][0] == ["between", "slow"]


def test_a_crowd_is_looked_through_once_for_many_evictions() -> None:
    class CountedClient(FakeClient):
        @property
        def busy(self) -> bool:
            self.looks.append(self.name)
            return False

        @busy.setter
        def busy(self, _: bool) -> None:
            return

    clients = [CountedClient(str(number)) for number in range(600)]
    evictor = make_evictor(*clients)
    for _ in range(300):
        assert evictor.choose(NOW_S) is not None
    assert sum(len(client.looks) for client in clients) < 2 * len(clients)
