"""What must always hold: asserted in debug runs, counted and logged under ``python -O``."""

from __future__ import annotations

from collections import Counter

from sabledyke import log

violations: Counter[str] = Counter()  # how often each was found not to hold, since the start


def check(holds: bool, name: str, detail: str = "") -> bool:
    """Return whether it holds; where it does not, stop a debug run, and count it in a release run."""
    if not holds:
        violations[name] += 1
        assert False, f"{name}: {detail}"  # noqa: B011 - it vanishes under -O, which is what it is for
        log.emit("invariant", f"{name} does not hold ({violations[name]} times so far) {detail}".rstrip())
    return holds
