"""Endpoint lists as discovery states them: one node, its drain and its removal."""

from __future__ import annotations

from typing import Any


def change(host: dict[str, Any], version: int, whole: bool = False, **of: Any) -> dict[str, Any]:
    return {"seq": version, "whole": whole, "hosts": [host | of]}


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


DRAINS = change(HOST, 2, health="draining")


GONE = change(HOST, 3, health="gone")
