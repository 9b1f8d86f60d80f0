"""Long answers that storage nodes give slowly reach the clients of the real program whole and in time."""

from __future__ import annotations

import asyncio

import pytest

from tests.support.paced_answers import (
    DEADLINES_S,
    FRAMINGS,
    LATE_ANSWER_S,
    PACES,
    SIZES_BYTES,
    PacedAnswer,
    ReadReport,
    play_answers,
)
from tests.support.selected_tests import selected_parameters


@pytest.fixture(scope="module")
def reports(
    request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory
) -> dict[PacedAnswer, ReadReport]:
    """Play the answers of the selected tests, all at the same time."""
    answers = [_answer(params) for params in selected_parameters(request) if params]
    return asyncio.run(play_answers(answers, tmp_path_factory.mktemp("paced")))


def _answer(params: object) -> PacedAnswer:
    assert isinstance(params, dict)
    deadline_s = float(params["deadline_s"])
    return PacedAnswer(str(params["framing"]), str(params["pace"]), deadline_s, SIZES_BYTES[deadline_s])


@pytest.mark.parametrize("deadline_s", DEADLINES_S)
@pytest.mark.parametrize("pace", PACES)
@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_long_answer_that_a_node_still_gives_is_not_cut_off(
    reports: dict[PacedAnswer, ReadReport], framing: str, pace: str, deadline_s: float
) -> None:
    report = reports[PacedAnswer(framing, pace, deadline_s, SIZES_BYTES[deadline_s])]
    assert report.status == 200, report
    assert report.first_byte_s <= deadline_s + LATE_ANSWER_S, report
    assert report.end == "whole", report
