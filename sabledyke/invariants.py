"""Checks of invariants: a violation raises in debug runs, and is counted and logged under ``python -O``."""

from __future__ import annotations

from collections import Counter

from sabledyke import log

violations: Counter[str] = Counter()
"""Number of violations of each invariant since the start of the process, by its name."""


def check(condition: object, name: str, detail: str = "") -> bool:
    """Check that an invariant holds.

    Args:
        condition: The condition that must be true.
        name: The invariant's name, for the log and the count of violations.
        detail: The state that was found instead.

    Returns:
        True if the invariant holds.

    Raises:
        AssertionError: The invariant does not hold, in a debug run.
    """
    if not condition:
        report_violation(name, detail)
    return bool(condition)


def report_violation(name: str, detail: str = "") -> None:
    """Report that an invariant does not hold.

    Args:
        name: The invariant's name, for the log and the count of violations.
        detail: The state that was found instead.

    Raises:
        AssertionError: Always, in a debug run.
    """
    violations[name] += 1
    if __debug__:
        raise AssertionError(f"{name}: {detail}")
    log.emit("invariant", f"{name} does not hold ({violations[name]} times so far) {detail}".rstrip())
