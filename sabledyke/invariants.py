"""What must always hold: asserted in debug runs, counted and logged under ``python -O``."""

from __future__ import annotations

from collections import Counter

from sabledyke import log

violations: Counter[str] = Counter()
"""How often each invariant was found not to hold since the start, by name."""


def check(condition: object, name: str, detail: str = "") -> bool:
    """Check that an invariant holds.

    Args:
        condition: What must be true.
        name: The invariant's name, for the log and the count of violations.
        detail: What was found instead.

    Returns:
        Whether it holds.

    Raises:
        AssertionError: It does not, in a debug run.
    """
    if not condition:
        report_violation(name, detail)
    return bool(condition)


def report_violation(name: str, detail: str = "") -> None:
    """Report that an invariant does not hold.

    Args:
        name: The invariant's name, for the log and the count of violations.
        detail: What was found instead.

    Raises:
        AssertionError: In a debug run.
    """
    violations[name] += 1
    if __debug__:
        raise AssertionError(f"{name}: {detail}")
    log.emit("invariant", f"{name} does not hold ({violations[name]} times so far) {detail}".rstrip())
