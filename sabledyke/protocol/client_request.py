"""Parsing of a client's HTTP request: its method, the location of its data, and its cost."""

from __future__ import annotations

import re
from dataclasses import dataclass

from sabledyke.protocol import platform_names as names
from sabledyke.protocol.http import HttpError, HttpMessage

_METHODS = ("GET", "PUT")  # read and write
_HEX_ID = re.compile(r"[0-9a-fA-F]{1,16}")
_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{0,9})?")
_INTEGER = re.compile(r"-?[0-9]{1,9}")


@dataclass(slots=True)
class DataLocation:
    """Location of the piece of data that a request reads or writes.

    Attributes:
        volume: Id of the volume.
        key: Key of the piece of data within the volume.
    """

    volume: int
    key: int

    @classmethod
    def parse(cls, target: str) -> DataLocation:
        """Parse the location from a request's target.

        Raises:
            HttpError: The target does not end in a volume id and a data key.
        """
        segments = target.partition("?")[0].split("/")
        if len(segments) < 3 or not (_HEX_ID.fullmatch(segments[-1]) and _HEX_ID.fullmatch(segments[-2])):
            raise HttpError(
                "path does not end in a volume id and a data key, in up to 16 hexadecimal digits each"
            )
        return cls(int(segments[-2], 16), int(segments[-1], 16))


@dataclass(slots=True)
class RequestCost:
    """Cost and deadline of a request, as the client states them.

    Attributes:
        units: Cost in units.
        host_count: Number of hosts that share the volume.
        shard: The shard that holds the data; negative if the client does not know it.
        deadline_ms: Time that the client waits for the answer, in milliseconds.
    """

    units: float
    host_count: float
    shard: int
    deadline_ms: float

    @classmethod
    def parse(cls, headers: dict[str, str]) -> RequestCost:
        """Parse the cost from a request's headers.

        Raises:
            HttpError: A value is malformed or out of range, or the deadline is missing.
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
        HttpError: The method is neither GET nor PUT, or a read has a body.
    """
    if message.method not in _METHODS:
        raise HttpError(f"method must be GET or PUT, not {message.method[:20]}", 405)
    if message.method == "GET" and message.body:
        raise HttpError("a read must not have a body")


def parse_pairs(text: str) -> dict[str, str]:
    """Return the pairs of a header value of the form ``key=value, key=value`` as a dictionary."""
    return dict(pair.strip().partition("=")[::2] for pair in text.split(","))
