"""The operator's section ``[rollout]``: site and version of this member, intervals and timeouts.

Plan files are read in ``plan_file``.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Any

from msgspec import Meta

from sabledyke.rollout.timeouts import Timeouts
from sabledyke.toml_tables import NAME_RULE, Table, convert, is_valid_name

UpToAMinuteMs = Annotated[float, Meta(gt=0, le=60_000)]
UpToAnHourMs = Annotated[float, Meta(gt=0, le=3_600_000)]
UpToADayMs = Annotated[float, Meta(gt=0, le=86_400_000)]


@dataclass(slots=True, frozen=True)
class Section:
    """Settings of ``[rollout]``.

    Attributes:
        site: Site of this member.
        version: Version that this member runs.
        version_file: File that names the version to start next, for the supervisor of this member.
        poll_interval_ms: Interval between polls of the log while a plan is in progress.
        heartbeat_interval_ms: Interval between heartbeats.
        request_validity_ms: Time after its request within which a ticket may be used.
        timeouts: Timeouts of the coordinator.
    """

    site: str = ""
    version: str = ""
    version_file: str = ""
    poll_interval_ms: float = 200.0
    heartbeat_interval_ms: float = 1000.0
    request_validity_ms: float = 10_000.0
    timeouts: Timeouts = Timeouts()

    def __str__(self) -> str:
        return f"site {self.site or '-'}, version {self.version or '-'}"


DEFAULTS = Section()


class RolloutTable(Table, frozen=True, kw_only=True):
    """Keys of the section in the operator's file."""

    site: str = ""
    version: str = ""
    wants: str = ""
    every_ms: UpToAMinuteMs = DEFAULTS.poll_interval_ms
    beat_ms: UpToAMinuteMs = DEFAULTS.heartbeat_interval_ms
    valid_ms: UpToAnHourMs = DEFAULTS.request_validity_ms
    silent_ms: UpToAnHourMs = DEFAULTS.timeouts.heartbeat_timeout_ms
    back_ms: UpToADayMs = DEFAULTS.timeouts.return_timeout_ms
    soak_ms: UpToADayMs = DEFAULTS.timeouts.canary_soak_ms

    def __post_init__(self) -> None:
        check_names(site=self.site, version=self.version)
        if self.silent_ms < 2 * self.beat_ms:
            raise ValueError("silent_ms must be twice beat_ms or more")


def check_names(**values: str) -> None:
    """Check that values are valid names.

    Args:
        values: The values by their keys.

    Raises:
        ValueError: A value is not a valid name; the message names its key.
    """
    for key, value in values.items():
        if not is_valid_name(value):
            raise ValueError(f"{key} {NAME_RULE}")


def read(data: dict[str, Any]) -> Section | None:
    """Return the section, or None if the file has none.

    Raises:
        OperatorError: The section is invalid.
    """
    if not data:
        return None
    table = convert(data, RolloutTable, "rollout")
    return Section(
        site=table.site,
        version=table.version,
        version_file=table.wants,
        poll_interval_ms=table.every_ms,
        heartbeat_interval_ms=table.beat_ms,
        request_validity_ms=table.valid_ms,
        timeouts=Timeouts(
            heartbeat_timeout_ms=table.silent_ms,
            return_timeout_ms=table.back_ms,
            canary_soak_ms=table.soak_ms,
        ),
    )
