"""Parsing of a storage node's HTTP response: the outcome of an attempt, and the node's load metrics."""

from __future__ import annotations

from sabledyke import log
from sabledyke.policy.events import Outcome
from sabledyke.protocol import platform_names as names
from sabledyke.protocol.client_request import parse_pairs
from sabledyke.protocol.http import HttpMessage

MAX_REPORTED_VALUE = 1e9
"""Largest valid value of a usage metric or of a field of a load report."""

_INVALID_REPORT = (-1.0,)
_REPORT_PREFIX = "TEXT"


def read_outcome(message: HttpMessage) -> Outcome:
    """Return the outcome of the attempt; any attempt but a rejected one may have run."""
    if message.status == 200:
        return Outcome.OK
    if message.status in (503, 504) and message.headers.get(names.REJECTED) == "1":
        return Outcome.REJECTED
    return Outcome.ERROR


def read_usage(message: HttpMessage, header: str) -> int | None:
    """Return the usage metric in a header of a response; an invalid one is logged and ignored.

    Returns:
        The metric; None if it is missing or invalid.
    """
    text = message.headers.get(header)
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if 0 <= value <= MAX_REPORTED_VALUE:
        return int(value)
    log.emit("box", f"ignored an invalid usage metric: {header} {text[:20]!r}")
    return None


class LoadReportParser:
    """Parses load reports with the fields that the settings name."""

    def __init__(self, field_names: tuple[str, ...]) -> None:
        self._field_names = field_names

    def parse(self, message: HttpMessage) -> tuple[float, ...]:
        """Return the load report of a response; an invalid one is logged and ignored.

        Returns:
            The values in the order of the settings' fields; empty if the report is missing or invalid.
        """
        text = message.headers.get(names.LOAD_REPORT, "")
        if not text or not self._field_names:
            return ()
        values = self._values(text)
        if all(0 <= value <= MAX_REPORTED_VALUE for value in values):
            return values
        log.emit("box", f"ignored an invalid load report: {text[:60]!r}")
        return ()

    def _values(self, text: str) -> tuple[float, ...]:
        """Return the values of all fields; nodes use the settings' names or the simulator's, never both."""
        fields = parse_pairs(text.removeprefix(_REPORT_PREFIX))
        try:
            return tuple(float(_reported(fields, name)) for name in self._field_names)
        except (KeyError, ValueError):
            return _INVALID_REPORT


def _reported(fields: dict[str, str], name: str) -> str:
    if name in fields:
        return fields[name]
    return fields[names.SIMULATOR_LOAD_FIELDS.get(name, name)]
