"""A pytest plugin that skips exactly the tests that KNOWN-RED.txt lists.

``.ci/run`` loads it with ``-p tests.support.known_red``. Listed tests are skipped and not deselected, because
syrupy would report the approved snapshots of deselected tests as unused and fail the run.
"""

from __future__ import annotations

from pathlib import Path

import pytest

LIST_NAME = "KNOWN-RED.txt"
SEPARATOR = " | "


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as skipped.

    Raises:
        pytest.UsageError: If an entry names a test that was not collected.
    """
    reasons = read_entries(config.rootpath / LIST_NAME)
    for item in items:
        reason = reasons.pop(item.nodeid, None)
        if reason is not None:
            item.add_marker(pytest.mark.skip(reason=f"{LIST_NAME}: {reason}"))
    if reasons:
        raise pytest.UsageError(f"{LIST_NAME} names no test here: {', '.join(reasons)}")


def read_entries(path: Path) -> dict[str, str]:
    """Return the reason text of each listed test by its node id; empty if the file does not exist."""
    if not path.exists():
        return {}
    entries = {}
    for line in path.read_text().splitlines():
        test, _, rest = line.partition(SEPARATOR)
        entries[test] = rest
    return entries
