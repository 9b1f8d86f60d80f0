"""Tests of the rejection log: one line for many requests, with a field for each reason."""

from __future__ import annotations

from collections import Counter

import pytest

from sabledyke import log
from sabledyke.application.rejection_log import LOG_INTERVAL_MS, RejectionLog
from sabledyke.log import Field
from sabledyke.policy.actions import RejectReason


def test_new_rejections_are_logged_by_reason_and_a_few_seconds_apart(monkeypatch: pytest.MonkeyPatch) -> None:
    lines: list[tuple[str, dict[str, Field]]] = []
    monkeypatch.setattr(log, "_limiter", log.Limiter())
    monkeypatch.setattr(log, "_write", lambda _kind, text, fields: lines.append((text, fields)))
    rejections = Counter({RejectReason.LIMIT: 2})
    rejection_log = RejectionLog()
    rejection_log.report(0.0, rejections)
    rejections += Counter({RejectReason.LIMIT: 1, RejectReason.CROWD: 4})
    rejection_log.report(LOG_INTERVAL_MS - 1, rejections)
    assert lines == [("2 requests were rejected or failed: limit 2", {"limit": 2})]
    for _ in range(2):
        rejection_log.report(LOG_INTERVAL_MS, rejections)
    text = "5 requests were rejected or failed: crowd 4, limit 1"
    assert lines[1:] == [(text, {"crowd": 4, "limit": 1})]
    rejections[RejectReason.SHUTDOWN] += 1
    rejection_log.report_remaining(rejections)
    assert lines[2:] == [("1 requests were rejected or failed: shutdown 1", {"shutdown": 1})]
