"""The log's limit on lines of a kind."""

from __future__ import annotations

from sabledyke.log import Limiter


def test_lines_of_a_kind_that_come_too_often_are_counted_and_left_out() -> None:
    now_s = 0.0
    limiter = Limiter(lambda: now_s, burst=2, window=10)
    lines = [limiter.lines("a", str(number)) for number in range(5)]
    assert lines == [["0"], ["1"], [], [], []]
    assert limiter.lines("b", "x") == ["x"]
    now_s = 10.0
    assert limiter.lines("a", "5") == ["3 more like the last left out", "5"]
