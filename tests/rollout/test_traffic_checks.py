"""What the testbed checks of the writes that reach storage nodes."""

from __future__ import annotations

import pytest

from sabledyke.testbed.deployment import DEDUPLICATION_WINDOW_MS
from sabledyke.testbed.traffic_checks import DeduplicationCheck

IN_WINDOW_S = DEDUPLICATION_WINDOW_MS / 1000 / 2


@pytest.mark.parametrize(
    ("request_id", "shard", "after_s", "violations", "sent_again"),
    [
        ("c-1-0", 1, IN_WINDOW_S, 0, []),  # its scheduler sent it again, as the protocol allows
        ("c-1-1", 1, IN_WINDOW_S, 0, ["key"]),
        ("c-1-0", 2, IN_WINDOW_S, 1, []),
        ("c-1-0", 1, 3 * IN_WINDOW_S, 1, []),
    ],
)
def test_repeats_of_a_key_are_told_apart(
    request_id: str, shard: int, after_s: float, violations: int, sent_again: list[str]
) -> None:
    check = DeduplicationCheck()
    check.on_run("key", 1, 100.0, "c-1-0")
    check.on_run("key", shard, 100.0 + after_s, request_id)
    assert check.violations == violations
    assert check.sent_again_by_clients() == sent_again
    assert "c-1-0" in check.describe_repeats()
