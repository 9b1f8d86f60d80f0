"""Tests of the cache of session tickets."""

from __future__ import annotations

from sabledyke.tls.session_tickets import TicketCache


def test_tickets_are_newest_first_single_use_and_bounded() -> None:
    tickets: TicketCache[str] = TicketCache(max_per_node=2, max_total=5, max_age_ms=1000)
    for n in range(3):
        tickets.add(n, b"a", 1.0, 1, f"a{n}")
    assert [tickets.pop_newest(5, b"a", 1.0, 1) for _ in range(3)] == ["a2", "a1", None]
    tickets.add(0, b"a", 1.0, 1, "old")
    assert tickets.pop_newest(1000, b"a", 1.0, 1) is None
    assert tickets.ticket_count == 0
    tickets.add(0, b"a", 1.0, 1, "from before the restart")
    assert tickets.pop_newest(1, b"a", 2.0, 1) is None
    assert tickets.ticket_count == 0
    tickets.add(0, b"a", 1.0, 1, "older generation")
    tickets.add(0, b"b", 1.0, 2, "current generation")
    tickets.drop_older_generations(2)
    assert tickets.ticket_count == 1
    assert tickets.pop_newest(1, b"b", 1.0, 2) == "current generation"
    for n in range(100):
        tickets.add(n, b"%d" % n, 1.0, 2, "x")
    assert tickets.ticket_count == tickets.node_count == 5
    tickets.forget(b"99")
    assert tickets.ticket_count == 4
