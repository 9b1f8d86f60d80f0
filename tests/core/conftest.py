"""Fixtures for the tests of the core."""

from __future__ import annotations

from collections import Counter

import pytest

from sabledyke import invariants


@pytest.fixture
def violations(monkeypatch: pytest.MonkeyPatch) -> Counter[str]:
    """Return a separate count of violated invariants, for tests that violate some on purpose."""
    counts = type(invariants.violations)()
    monkeypatch.setattr(invariants, "violations", counts)
    return counts
