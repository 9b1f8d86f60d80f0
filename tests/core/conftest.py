"""Fixtures of the core's tests."""

from __future__ import annotations

from collections import Counter

import pytest

from sabledyke import invariants


@pytest.fixture
def violations(monkeypatch: pytest.MonkeyPatch) -> Counter[str]:
    """Counts of broken invariants, apart from those of the whole run, for tests that break some."""
    counts = type(invariants.violations)()
    monkeypatch.setattr(invariants, "violations", counts)
    return counts
