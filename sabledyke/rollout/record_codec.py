"""How records of the fleet's topic are stored: keys, and JSON objects with names of their own.

The stored names are a contract with every version of the program that shares a log: a rolling release has
old and new versions read each other's records. They are therefore listed here one by one, apart from the
names of the dataclass fields, which may change. A reader ignores stored names that it does not know.
"""

from __future__ import annotations

from enum import Enum
from typing import Any

import orjson

from sabledyke.compacted_log.records import Message
from sabledyke.rollout.records import (
    EPOCH,
    Ask,
    Clear,
    Drain,
    Epoch,
    Member,
    Phase,
    Plan,
    Record,
    Stage,
    State,
    Ticket,
)

KEY_PREFIXES: dict[type[Record], str] = {
    Member: "member",
    Plan: "plan",
    Ask: "ask",
    Ticket: "ticket",
    Drain: "drain",
    Clear: "clear",
}
"""Record types by the first segment of their key; an ``Epoch`` has the whole key ``EPOCH``."""

STORED_NAMES: dict[type[Record], dict[str, str]] = {
    Member: {
        "name": "name",
        "life": "life",
        "version": "version",
        "site": "site",
        "state": "state",
    },
    Plan: {
        "name": "name",
        "members": "members",
        "most": "most",
        "per_site": "per_site",
        "share": "share",
        "to": "to",
        "before": "before",
        "canary": "canary",
        "settings": "settings",
        "boxes": "boxes",
        "gone": "gone",
        "retire": "retire",
        "then": "then",
        "step": "step",
        "stage": "stage",
        "released": "released",
        "later": "later",
        "why": "why",
    },
    Ask: {
        "name": "name",
        "plan": "plan",
        "life": "life",
        "number": "number",
    },
    Ticket: {
        "name": "name",
        "plan": "plan",
        "life": "life",
        "number": "number",
        "token": "token",
        "to": "to",
        "last": "last",
        "settings": "settings",
        "going": "going",
        "took": "took",
    },
    Drain: {
        "name": "name",
        "plan": "plan",
        "token": "token",
        "started": "started",
        "begun": "begun",
        "phase": "phase",
    },
    Clear: {
        "name": "name",
        "life": "life",
        "drains": "drains",
    },
    Epoch: {
        "name": "name",
        "token": "token",
    },
}
"""Dataclass field to stored name, in stored order. ``offset`` is the record's place, and is not stored."""

STORED_ENUMS: dict[str, type[Enum]] = {"state": State, "stage": Stage, "phase": Phase}
"""Stored names whose values are members of an enumeration."""

_TYPES_BY_PREFIX = {prefix: record_type for record_type, prefix in KEY_PREFIXES.items()}


def key(record: Record) -> str:
    """Return the key that a record stands under."""
    if isinstance(record, Epoch):
        return EPOCH
    return f"{KEY_PREFIXES[type(record)]}/{record.name}"


def pack(record: Record) -> bytes:
    """Encode a record as a JSON object of its stored names."""
    names = STORED_NAMES[type(record)]
    return orjson.dumps({stored: getattr(record, field) for field, stored in names.items()})


def read(message: Message) -> Record | None:
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
    if stored_key == EPOCH:
        return Epoch
    return _TYPES_BY_PREFIX.get(stored_key.partition("/")[0])


def _decoded(stored_name: str, value: Any) -> Any:
    if stored_name in STORED_ENUMS:
        return STORED_ENUMS[stored_name](value)
    return tuple(value) if isinstance(value, list) else value
