"""The operator's section ``[fleet]``: how limits and reserves are shared out among members. Checked whole."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Any

from msgspec import Meta

from sabledyke.quota_sharing.allocation import Policy, Times
from sabledyke.toml_tables import Table, convert


@dataclass(slots=True, frozen=True)
class Section:
    """What ``[fleet]`` says."""

    policy: Policy
    times: Times = Times()

    def __str__(self) -> str:
        return f"shares among {self.policy.members}, {self.policy.floor:.0%} of all evenly"


class FleetTable(Table, frozen=True, kw_only=True):
    """As the file has it."""

    members: Annotated[int, Meta(ge=1, le=1000)]
    floor: Annotated[float, Meta(ge=0.01, le=1)] = 0.2
    beat_ms: Annotated[float, Meta(ge=50, le=60_000)] = Times().beat
    drift: Annotated[float, Meta(ge=0, le=0.1)] = Times().drift


def read(data: dict[str, Any]) -> Section | None:
    """The section, checked; None where there is none."""
    if not data:
        return None
    said = convert(data, FleetTable, "fleet")
    return Section(Policy(said.members, said.floor), Times(said.beat_ms, said.drift))
