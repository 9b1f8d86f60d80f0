"""The operator's section ``[fleet]``: the division of limits and reservations among members."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Any

from msgspec import Meta

from sabledyke.quota_sharing.allocation import DEFAULT_TIMING, QuotaPolicy, Timing
from sabledyke.toml_tables import Table, convert


@dataclass(slots=True, frozen=True)
class Section:
    """Settings of the section ``[fleet]``."""

    policy: QuotaPolicy
    timing: Timing = DEFAULT_TIMING

    def __str__(self) -> str:
        return f"shares among {self.policy.members}, {self.policy.floor_fraction:.0%} of all evenly"


class FleetTable(Table, frozen=True, kw_only=True):
    """Section ``[fleet]`` in the form of the operator's file."""

    members: Annotated[int, Meta(ge=1, le=1000)]
    floor: Annotated[float, Meta(ge=0.01, le=1)] = 0.2
    beat_ms: Annotated[float, Meta(ge=50, le=60_000)] = DEFAULT_TIMING.beat_ms
    drift: Annotated[float, Meta(ge=0, le=0.1)] = DEFAULT_TIMING.clock_drift


def read(data: dict[str, Any]) -> Section | None:
    """Read and check the section; return None if it is missing.

    Raises:
        OperatorError: The section is invalid.
    """
    if not data:
        return None
    table = convert(data, FleetTable, "fleet")
    return Section(QuotaPolicy(table.members, table.floor), Timing(table.beat_ms, table.drift))
