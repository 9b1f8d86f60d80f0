"""A plugin of pytest that passes over exactly the tests that KNOWN-RED.txt lists.

``.ci/run`` loads it with ``-p tests.support.known_red``. A listed test is skipped, not deselected: syrupy
takes the approved snapshot of a deselected case for an unused one, and fails the run for that.
"""

from __future__ import annotations

from pathlib import Path

import pytest

LIST_NAME = "KNOWN-RED.txt"
SEPARATOR = " | "


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Skip the listed tests.

    Raises:
        pytest.UsageError: Where an entry names no test that was collected.
    """
    reasons = read_entries(config.rootpath / LIST_NAME)
    for item in items:
        reason = reasons.pop(item.nodeid, None)
        if reason is not None:
            item.add_marker(pytest.mark.skip(reason=f"{LIST_NAME}: {reason}"))
    if reasons:
        raise pytest.UsageError(f"{LIST_NAME} names no test here: {', '.join(reasons)}")


def read_entries(path: Path) -> dict[str, str]:
    """Return what is said of each listed test, by its id; none without such a file."""
    if not path.exists():
        return {}
    entries = {}
    for line in path.read_text().splitlines():
        test, _, rest = line.partition(SEPARATOR)
        entries[test] = rest
    return entries
