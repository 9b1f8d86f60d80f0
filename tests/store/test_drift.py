"""Which answers are compared with what was written."""

from __future__ import annotations

from sabledyke.store.drift import DriftDetector


def test_drift_compares_only_what_is_certain() -> None:
    watch, piece = DriftDetector(max_known_pieces=2), (1, 2)
    watch.on_write_began(piece)
    assert not watch.can_compare(10, piece)
    watch.on_write_completed(5, piece, "a")
    assert watch.compare(20, 4, piece, "b", "box") is None  # asked before the write had ended
    assert watch.compare(20, 6, piece, "a", "box") is None
    assert watch.compared == 1
    watch.on_write_began(piece)
    watch.on_write_began(piece)
    watch.on_write_completed(30, piece, "c")
    watch.on_write_completed(31, piece, "d")  # two at a time: the last to end is what is known
    found = watch.compare(40, 35, piece, "c", "box")
    assert found is not None
    assert (found.expected_digest, found.found_digest) == ("d", "c")
    assert watch.compare(41, 36, piece, "c", "box") is None  # reported once
    watch.on_write_began(piece)
    watch.on_write_completed(50, piece, None)
    assert not watch.can_compare(60, piece)
    for n in range(9):
        watch.on_write_began((1, n))
        watch.on_write_completed(n, (1, n), "x")
    assert watch.size == 2
