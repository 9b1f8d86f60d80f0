"""What members write between decisions: heartbeats, and the load of each volume by their clients.

Both are registers of ``HEARTBEATS_TOPIC``: a heartbeat under the member's name, loads under that name after a
prefix.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import orjson

from sabledyke.rollout.canary_analysis import AnswerCount

LOAD_KEY_PREFIX = "load/"
MAX_PUBLISHED_LOADS = 400
"""Volumes that one member writes the load of."""
MAX_COUNTED_VOLUMES = 4 * MAX_PUBLISHED_LOADS


@dataclass(slots=True, frozen=True)
class Heartbeat:
    """One member's last heartbeat.

    Attributes:
        count: Its answers so far.
        values: All that was written, which differs from one heartbeat to the next.
    """

    count: AnswerCount
    values: tuple[int, ...]


def encode_heartbeat(count: AnswerCount, now_ms: float) -> bytes:
    """Encode a heartbeat; the time only tells it from the one before."""
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
        """Count units of a volume; a volume too many is not counted."""
        name = f"{volume:016x}"
        if name in self._units or len(self._units) < MAX_COUNTED_VOLUMES:
            self._units[name] = self._units.get(name, 0.0) + units

    def encode_and_reset(self, seconds: float) -> bytes:
        """Encode the busiest volumes' units per second, and count from 0 again."""
        units = self._units
        self._units = {}
        busiest = sorted(units, key=lambda volume: -units[volume])[:MAX_PUBLISHED_LOADS]
        return orjson.dumps({volume: round(units[volume] / seconds, 3) for volume in busiest})
