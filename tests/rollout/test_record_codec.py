"""Encoding and decoding of stored records."""

from __future__ import annotations

from sabledyke.compacted_log.records import Message
from sabledyke.rollout.fleet_view import view_of
from sabledyke.rollout.record_codec import decode, encode, key_of
from sabledyke.rollout.records import (
    Drain,
    DrainAcknowledgement,
    Epoch,
    Record,
    Ticket,
)
from tests.rollout.support import OUT, READY, fleet
from tests.rollout.test_node_drain import DRAINED_PHASE


def test_records_are_read_as_they_were_written() -> None:
    view = fleet(
        READY, OUT, max_out=2, max_out_per_site=1, max_out_fraction=0.5, released=("n1",), canary=True
    )
    view.tickets["n0"] = Ticket("n0", "p", 3, 4, 5, "2", used=True, offset=71)
    records: list[Record] = [*view.members.values(), *view.plans.values(), *view.requests.values()]
    view.drains["b"], view.acknowledgements["n0"] = (
        Drain("b", "p", 3, 7.5, 60, DRAINED_PHASE, 72),
        DrainAcknowledgement("n0", 3, (60, 4), 73),
    )
    records += [
        *view.tickets.values(),
        *view.drains.values(),
        *view.acknowledgements.values(),
        Epoch("c", 1, 1),
    ]
    state = {key_of(r): Message(r.offset, key_of(r), encode(r), "w", 1, 1) for r in records}
    state["later/x"] = Message(99, "later/x", b"{}", "w", 1, 1)  # a key of a newer version
    assert view_of(state, 100) == view
    assert decode(Message(1, "member/n0", None, "w", 1, 1)) is None
    assert all(view.offset_of(key_of(r)) == r.offset for r in records)
