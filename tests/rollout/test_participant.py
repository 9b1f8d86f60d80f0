"""Decisions of one member on its tickets."""

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


def test_ticket_age_counts_from_before_the_request_and_each_process_uses_its_own_clock() -> None:
    view, participant = fleet(READY, READY), Participant("n0", 1, request_validity_ms=100)
    request = participant.step(view, 0.0)
    assert request is not None
    assert isinstance(request.records[0], TicketRequest)
    for now, token, number, is_used in (
        (99, 1, 1, True),
        (101, 1, 1, False),
        (9, 0, 1, False),
        (9, 1, 0, False),
    ):
        attempt = replace(participant)
        view.tickets["n0"] = Ticket("n0", "p", 1, number, token, offset=70)
        change = attempt.step(view, now)
        assert change is not None, (now, token, number)
        assert (change.description == GOES_OUT) is is_used, (now, token, number)
        assert ("ticket/n0", 70) in change.expected_offsets
        # An unusable ticket is returned unused, and requested again.
        assert is_used or change.deleted_keys == ("ticket/n0",) and attempt.last_request is None
    tracker = ChangeTracker()
    for now in (0, 50, 101):
        tracker.observe(now, {"beat/n1": 7, "beat/n0": now})
    assert decide(view, 101, tracker) is not None
    assert tracker.unchanged_ms(101, "beat/n1") == 101
    marked = decide(replace(view, tickets={}), 101, tracker)
    assert marked is not None
    assert marked.records == (replace(view.members["n1"], state=MemberState.UNRESPONSIVE),)


@pytest.mark.parametrize(
    ("incarnation", "of", "leaves_again"),
    [
        (2, {}, True),
        (1, {}, False),
        (2, {"used": False}, False),
        (2, {"target": "1"}, False),
        (2, {"target": ""}, False),
    ],
)
def test_a_member_that_crashed_before_it_wrote_its_version_file_leaves_again(
    incarnation: int, of: dict[str, Any], *, leaves_again: bool
) -> None:
    view = fleet(READY, READY)
    view.tickets["n0"] = replace(Ticket("n0", "p", 1, 1, 1, "2", used=True, offset=70), **of)
    assert (Participant("n0", incarnation).unfinished(view, "1") is not None) is leaves_again
