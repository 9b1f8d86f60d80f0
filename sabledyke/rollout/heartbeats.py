"""Registers that members write periodically: heartbeats, and the load of each volume by their clients.

Both are registers of ``HEARTBEATS_TOPIC``: a heartbeat has the member's name as its key, and loads have that
name after ``LOAD_KEY_PREFIX``.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import orjson

from sabledyke.rollout.canary_analysis import AnswerCount

LOAD_KEY_PREFIX = "load/"
MAX_PUBLISHED_LOADS = 400
"""Number of volumes whose load one member publishes."""
MAX_COUNTED_VOLUMES = 4 * MAX_PUBLISHED_LOADS


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """The last heartbeat of a member.

    Attributes:
        count: Answers of the member so far.
        values: All values as written, which differ between any two heartbeats.
    """

    count: AnswerCount
    values: tuple[int, ...]


def encode_heartbeat(count: AnswerCount, now_ms: float) -> bytes:
    """Encode a heartbeat; the time serves only to make it differ from the previous one."""
    return orjson.dumps([count.incarnation, count.answered, count.failed, round(now_ms)])


def decode_heartbeat(value: bytes) -> Heartbeat:
    """Decode a heartbeat; values that a newer version adds are kept."""
    values = tuple(orjson.loads(value))
    incarnation, answered, failed = values[:3]
    return Heartbeat(AnswerCount(incarnation, answered, failed), values)


def decode_heartbeats(registers: Mapping[str, bytes]) -> dict[str, Heartbeat]:
    """Decode the heartbeats among the registers of the topic, by member."""
    return {
        key: decode_heartbeat(value)
        for key, value in registers.items()
        if not key.startswith(LOAD_KEY_PREFIX)
    }


def decode_loads(registers: Mapping[str, bytes]) -> dict[str, dict[str, float]]:
    """Decode the loads among the registers of the topic: units per second by volume, by member."""
    return {
        key.removeprefix(LOAD_KEY_PREFIX): orjson.loads(value)
        for key, value in registers.items()
        if key.startswith(LOAD_KEY_PREFIX)
    }


class VolumeLoads:
    """Counts the units that clients request of each volume between two heartbeats."""

    def __init__(self) -> None:
        """Create a counter that starts at 0."""
        self._units: dict[str, float] = {}

    def add(self, volume: int, units: float) -> None:
        """Count units of a volume; volumes beyond ``MAX_COUNTED_VOLUMES`` are not counted."""
        name = f"{volume:016x}"
        if name in self._units or len(self._units) < MAX_COUNTED_VOLUMES:
            self._units[name] = self._units.get(name, 0.0) + units

    def encode_and_reset(self, seconds: float) -> bytes:
        """Encode the units per second of the busiest volumes, and reset all counts to 0."""
        units = self._units
        self._units = {}
        busiest = sorted(units, key=lambda volume: -units[volume])[:MAX_PUBLISHED_LOADS]
        return orjson.dumps({volume: round(units[volume] / seconds, 3) for volume in busiest})
