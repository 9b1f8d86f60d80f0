"""Endpoint lists in discovery's JSON format: one node, its drain and its removal."""

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


def delta_list(host: dict[str, Any], version: int, **changes: Any) -> dict[str, Any]:
    """Return a delta that updates one node with these fields changed, and leaves all others unchanged."""
    return {"seq": version, "whole": False, "hosts": [host | changes]}


def complete_list(host: dict[str, Any], version: int) -> dict[str, Any]:
    """Return a complete list that contains only this node."""
    return {"seq": version, "whole": True, "hosts": [host]}


DRAINING = delta_list(HOST, 2, health="draining")
REMOVED = delta_list(HOST, 3, health="gone")
