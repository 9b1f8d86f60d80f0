"""One member's side of a ticket."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from sabledyke.rollout.change_tracker import ChangeTracker
from sabledyke.rollout.participant import GOES_OUT, Participant
from sabledyke.rollout.records import (
    MemberState,
    Ticket,
    TicketRequest,
)
from tests.rollout.support import READY, decide, fleet


def test_time_is_counted_from_before_the_ask_and_only_stands_still_on_one_clock() -> None:
    seen, participant = fleet(READY, READY), Participant("n0", 1, request_validity_ms=100)
    asks = participant.step(seen, 0.0)
    assert asks is not None
    assert isinstance(asks.records[0], TicketRequest)
    for now, token, number, goes in (
        (99, 1, 1, True),
        (101, 1, 1, False),
        (9, 0, 1, False),
        (9, 1, 0, False),
    ):
        mine = replace(participant)
        seen.tickets["n0"] = Ticket("n0", "p", 1, number, token, offset=70)
        change = mine.step(seen, now)
        assert change is not None, (now, token, number)
        assert (change.description == GOES_OUT) is goes, (now, token, number)
        assert ("ticket/n0", 70) in change.expected_offsets
        assert (
            goes or change.deleted_keys == ("ticket/n0",) and mine.last_request is None
        )  # given back, and asked for anew
    watch = ChangeTracker()
    for now in (0, 50, 101):
        watch.observe(now, {"beat/n1": 7, "beat/n0": now})
    assert decide(seen, 101, watch) is not None
    assert watch.unchanged_ms(101, "beat/n1") == 101
    silent = decide(replace(seen, tickets={}), 101, watch)
    assert silent is not None
    assert silent.records == (replace(seen.members["n1"], state=MemberState.SILENT),)


@pytest.mark.parametrize(
    ("incarnation", "of", "again"),
    [
        (2, {}, True),
        (1, {}, False),
        (2, {"used": False}, False),
        (2, {"target": "1"}, False),
        (2, {"target": ""}, False),
    ],
)
def test_who_died_before_its_starter_was_told_the_version_goes_once_more(
    incarnation: int, of: dict[str, Any], *, again: bool
) -> None:
    seen = fleet(READY, READY)
    seen.tickets["n0"] = replace(Ticket("n0", "p", 1, 1, 1, "2", used=True, offset=70), **of)
    assert (Participant("n0", incarnation).unfinished(seen, "1") is not None) is again
