"""Parsing of what a client's HTTP request says about itself: its data, and its cost."""

from __future__ import annotations

import re
from dataclasses import dataclass

from sabledyke.protocol import platform_names as names
from sabledyke.protocol.http import HttpError, HttpMessage

_METHODS = ("GET", "PUT")  # a read and a write
_HEX_ID = re.compile(r"[0-9a-fA-F]{1,16}")
_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?")
_INTEGER = re.compile(r"-?[0-9]{1,9}")


@dataclass(slots=True)
class DataLocation:
    """The piece of data that a request is for.

    Attributes:
        volume: Its volume.
        key: Its number within the volume.
    """

    volume: int
    key: int

    @classmethod
    def parse(cls, target: str) -> DataLocation:
        """Read the location from a request's target.

        Raises:
            HttpError: The target names none.
        """
        segments = target.partition("?")[0].split("/")
        if len(segments) < 3 or not (_HEX_ID.fullmatch(segments[-1]) and _HEX_ID.fullmatch(segments[-2])):
            raise HttpError("path names no volume and piece of data")
        return cls(int(segments[-2], 16), int(segments[-1], 16))


@dataclass(slots=True)
class RequestCost:
    """What a request costs and how long its client waits, as the client states it.

    Attributes:
        units: Cost in units.
        host_count: Number of hosts that share the volume.
        shard: The shard that holds the data; negative where the client does not know.
        deadline_ms: How long the client waits.
    """

    units: float
    host_count: float
    shard: int
    deadline_ms: float

    @classmethod
    def parse(cls, headers: dict[str, str]) -> RequestCost:
        """Read the cost from a request's headers.

        Raises:
            HttpError: A value is missing, malformed or out of range.
        """
        info = parse_pairs(headers.get(names.REQUEST_COST, ""))
        units_text = info.get(names.COST_UNITS, "1")
        host_count_text = info.get(names.COST_HOST_COUNT, "1")
        deadline_text = headers.get(names.DEADLINE_S, "")
        shard_text = info.get(names.COST_SHARD, "-1")
        decimals = (units_text, host_count_text, deadline_text)
        if not all(map(_DECIMAL.fullmatch, decimals)) or not _INTEGER.fullmatch(shard_text):
            raise HttpError("malformed IO-Info or Req-Deadline")
        cost = cls(float(units_text), float(host_count_text), int(shard_text), 1000 * float(deadline_text))
        if cost.units <= 0 or cost.deadline_ms <= 0 or cost.host_count < 1:
            raise HttpError("IO-Info or Req-Deadline out of range")
        return cost


def check_method(message: HttpMessage) -> None:
    """Check that a request is a read or a write.

    Raises:
        HttpError: It is neither, or a read with a body.
    """
    if message.method not in _METHODS:
        raise HttpError(f"no method for a read or write: {message.method[:20]}", 405)
    if message.method == "GET" and message.body:
        raise HttpError("a read with a body")


def parse_pairs(text: str) -> dict[str, str]:
    """Return the values of a header of the form ``key=value, key=value``, by key."""
    return dict(pair.strip().partition("=")[::2] for pair in text.split(","))
