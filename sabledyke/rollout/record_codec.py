"""Stored form of the records of the fleet's topic: keys, and JSON objects with names of their own.

The stored names are a contract between all versions of the program that share a log: during a rolling
release, old and new versions read each other's records. They are therefore listed here one by one, apart from
the names of the dataclass fields, which may change. A reader ignores stored names that it does not know.
"""

from __future__ import annotations

from enum import Enum
from typing import Any

import orjson

from sabledyke.compacted_log.records import Message
from sabledyke.rollout.records import (
    EPOCH_KEY,
    Drain,
    DrainAcknowledgement,
    DrainPhase,
    Epoch,
    Member,
    MemberState,
    Plan,
    PlanStage,
    Record,
    Ticket,
    TicketRequest,
)

KEY_PREFIXES: dict[type[Record], str] = {
    Member: "member",
    Plan: "plan",
    TicketRequest: "ask",
    Ticket: "ticket",
    Drain: "drain",
    DrainAcknowledgement: "clear",
}
"""First segment of the key of each record type; the key of an ``Epoch`` is ``EPOCH_KEY``."""

STORED_NAMES: dict[type[Record], dict[str, str]] = {
    Member: {
        "name": "name",
        "incarnation": "life",
        "version": "version",
        "site": "site",
        "state": "state",
    },
    Plan: {
        "name": "name",
        "members": "members",
        "max_out": "most",
        "max_out_per_site": "per_site",
        "max_out_fraction": "share",
        "target": "to",
        "previous": "before",
        "canary": "canary",
        "settings": "settings",
        "nodes": "boxes",
        "removes_nodes": "gone",
        "retiring_site": "retire",
        "nodes_removed_next": "then",
        "step": "step",
        "stage": "stage",
        "released": "released",
        "deferred": "later",
        "reason": "why",
    },
    TicketRequest: {
        "name": "name",
        "plan": "plan",
        "incarnation": "life",
        "request_number": "number",
    },
    Ticket: {
        "name": "name",
        "plan": "plan",
        "incarnation": "life",
        "request_number": "number",
        "token": "token",
        "target": "to",
        "is_final": "last",
        "settings": "settings",
        "used": "going",
        "settings_result": "took",
    },
    Drain: {
        "name": "name",
        "plan": "plan",
        "token": "token",
        "node_started": "started",
        "begun_offset": "begun",
        "phase": "phase",
    },
    DrainAcknowledgement: {
        "name": "name",
        "incarnation": "life",
        "drains": "drains",
    },
    Epoch: {
        "name": "name",
        "token": "token",
    },
}
"""Stored name of each dataclass field, in stored order; ``offset`` is the record's position, not stored."""

STORED_ENUMS: dict[str, type[Enum]] = {"state": MemberState, "stage": PlanStage, "phase": DrainPhase}
"""Stored names whose values are members of an enumeration."""

_TYPES_BY_PREFIX = {prefix: record_type for record_type, prefix in KEY_PREFIXES.items()}


def key_of(record: Record) -> str:
    """Return the key of a record."""
    if isinstance(record, Epoch):
        return EPOCH_KEY
    return f"{KEY_PREFIXES[type(record)]}/{record.name}"


def encode(record: Record) -> bytes:
    """Encode a record as a JSON object of its stored names."""
    names = STORED_NAMES[type(record)]
    return orjson.dumps({stored: getattr(record, field) for field, stored in names.items()})


def decode(message: Message) -> Record | None:
    """Decode a record from its message.

    Returns:
        The record; None for a deleted key, and for a kind of record that this version does not know.
    """
    record_type = _type_of(message.key)
    if record_type is None or message.value is None:
        return None
    data: dict[str, Any] = orjson.loads(message.value)
    fields = {
        field: _decoded(stored, data[stored])
        for field, stored in STORED_NAMES[record_type].items()
        if stored in data
    }
    return record_type(**fields, offset=message.offset)


def _type_of(stored_key: str) -> type[Record] | None:
    if stored_key == EPOCH_KEY:
        return Epoch
    return _TYPES_BY_PREFIX.get(stored_key.partition("/")[0])


def _decoded(stored_name: str, value: Any) -> Any:
    if stored_name in STORED_ENUMS:
        return STORED_ENUMS[stored_name](value)
    return tuple(value) if isinstance(value, list) else value
