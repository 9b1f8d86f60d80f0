"""Endpoint lists as discovery states them: one node, its drain and its removal."""

from __future__ import annotations

from typing import Any

HOST = {
    "host": "plain",
    "dial": "127.0.0.1:1",
    "site": "a",
    "class": "m",
    "block": 0,
    "health": "ready",
    "share": 1.0,
    "born_ms": 0,
}


def change(host: dict[str, Any], version: int, **changes: Any) -> dict[str, Any]:
    """Return a list that states one node, changed so, and leaves the others as they are."""
    return {"seq": version, "whole": False, "hosts": [host | changes]}


def complete_list(host: dict[str, Any], version: int) -> dict[str, Any]:
    """Return a list of one node and no others."""
    return {"seq": version, "whole": True, "hosts": [host]}


DRAINS = change(HOST, 2, health="draining")
GONE = change(HOST, 3, health="gone")
