"""The detector of drift: answers are compared only with writes whose outcome is certain."""

from __future__ import annotations

from sabledyke.store.drift import DriftDetector


def test_drift_compares_only_writes_with_certain_outcome() -> None:
    detector, piece = DriftDetector(max_known_pieces=2), (1, 2)
    detector.on_write_began(piece)
    assert not detector.can_compare(10, piece)
    detector.on_write_completed(5, piece, "a")
    assert detector.compare(20, 4, piece, "b", "box") is None  # the read was requested before the write ended
    assert detector.compare(20, 6, piece, "a", "box") is None
    assert detector.compared == 1
    detector.on_write_began(piece)
    detector.on_write_began(piece)
    detector.on_write_completed(30, piece, "c")
    detector.on_write_completed(31, piece, "d")  # of two concurrent writes, the last to end is compared
    found = detector.compare(40, 35, piece, "c", "box")
    assert found is not None
    assert (found.expected_digest, found.found_digest) == ("d", "c")
    assert detector.compare(41, 36, piece, "c", "box") is None  # drift is reported once for each write
    detector.on_write_began(piece)
    detector.on_write_completed(50, piece, None)
    assert not detector.can_compare(60, piece)
    for n in range(9):
        detector.on_write_began((1, n))
        detector.on_write_completed(n, (1, n), "x")
    assert detector.size == 2
