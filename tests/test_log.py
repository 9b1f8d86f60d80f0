"""The rate limit of log lines of a kind."""

from __future__ import annotations

import pytest

from sabledyke import log
from sabledyke.log import Limiter


def test_lines_of_a_kind_above_the_limit_are_suppressed_and_counted() -> None:
    now_s = 0.0
    limiter = Limiter(lambda: now_s, burst=2, window=10)
    lines = [limiter.lines("a", str(number)) for number in range(5)]
    assert lines == [["0"], ["1"], [], [], []]
    assert limiter.lines("b", "x") == ["x"]
    now_s = 10.0
    assert limiter.lines("a", "5") == ["3 more lines of this kind suppressed", "5"]


def test_failures_of_a_kind_hide_no_change(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against failures of a lease authority that suppress the later line on the lease's release."""
    lines: list[str] = []
    monkeypatch.setattr(log, "_limiter", Limiter())
    monkeypatch.setattr(log, "_write", lambda _kind, text, _fields: lines.append(text))
    for _ in range(2 * log.MAX_LINES_PER_WINDOW):
        log.emit("lease", "the authority did not answer")
    for _ in range(2 * log.MAX_LINES_PER_WINDOW):
        log.emit_change("lease", "released", "sweep: released")
    log.emit_change("lease", "granted", "sweep: granted")
    assert lines.count("sweep: released") == log.MAX_LINES_PER_WINDOW
    assert lines[-1] == "sweep: granted"
